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
struct parsed_log_line {
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
parsed_log_line parse_log_line(std::string_view text, std::string_view host);

struct request_explanation {
    // Lines about the request, ordered by time.
    std::vector<parsed_log_line> lines;
    // Cause of the outcome, in one sentence; empty if there are no lines.
    std::string cause;
};

request_explanation explain_outcome(std::span<const parsed_log_line> lines, std::string_view request);

// Formats the log lines, one a line, followed by the cause.
std::string describe(const request_explanation& explanation);

}  // namespace verbenahold::serving
