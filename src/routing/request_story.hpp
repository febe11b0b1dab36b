// What the log lines of several daemons say of one request, and why it ended as
// it did.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace verbenahold::serving {

// One line of a daemon's log.
struct logged_line {
    // What precedes the time of day: the name of the host, where it is given.
    std::string host;
    // "YYYY-MM-DD HH:MM:SS,mmm", as it was written; orders as text.
    std::string time;
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    // Value of the first field of that name; empty if there is none.
    [[nodiscard]] std::string_view value(std::string_view name) const;
};

// Nothing but an empty event for text that is not such a line. `host` stands in
// where the line names none.
logged_line parse_logged_line(std::string_view text, std::string_view host);

struct request_story {
    // Lines of the request in order of time.
    std::vector<logged_line> lines;
    // Why it ended as it did, in one sentence; empty if no line names it.
    std::string cause;
};

request_story tell_request_story(std::span<const logged_line> lines, std::string_view request);

// The story as text: a line for each decision and the cause.
std::string describe(const request_story& story);

}  // namespace verbenahold::serving
