// Collects the log lines that several daemons wrote about one request and derives
// the cause of its outcome.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace verbenahold::serving {

// One line of a daemon's log.
struct logged_line {
    // The name before the timestamp, if there is one.
    std::string host;
    // As written, "YYYY-MM-DD HH:MM:SS,mmm". Sorts by time when compared as text.
    std::string time;
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    // Value of the first field with this name; empty if there is none.
    [[nodiscard]] std::string_view value(std::string_view name) const;
};

// Parses a line of a log. The event is empty if `text` is no log line. `host` is
// used if the line doesn't name one.
logged_line parse_logged_line(std::string_view text, std::string_view host);

struct request_story {
    // Lines about the request, ordered by time.
    std::vector<logged_line> lines;
    // Cause of the outcome, in one sentence; empty if there are no lines.
    std::string cause;
};

request_story tell_request_story(std::span<const logged_line> lines, std::string_view request);

// Formats the log lines, one a line, followed by the cause.
std::string describe(const request_story& story);

}  // namespace verbenahold::serving
