#include "explain_command.hpp"

#include "request_explanation.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <istream>
#include <ostream>
#include <string_view>
#include <vector>

namespace verbenahold {

namespace {

// Events of other requests and of servers that are included because they may
// explain a failure.
constexpr std::array<std::string_view, 4> explaining_events{"forwarded", "attempt failed", "server entry gone",
                                                            "no report from server"};

void read_lines(std::istream& source, const std::string& host, const std::string& request,
                std::vector<serving::parsed_log_line>& lines) {
    for (std::string text; std::getline(source, text);) {
        auto line = serving::parse_log_line(text, host);
        const bool explains =
            std::find(explaining_events.begin(), explaining_events.end(), line.event) != explaining_events.end();
        if (explains || line.value("request") == request) {
            lines.push_back(std::move(line));
        }
    }
}

// The file name without directory and extension.
std::string stem_of(const std::string& file) {
    const auto name = file.substr(file.find_last_of('/') + 1);
    return name.substr(0, name.find('.'));
}

}  // namespace

bool explain_request(const std::string& request, std::span<const std::string> files, std::istream& input,
                     std::ostream& output, std::ostream& errors) {
    std::vector<serving::parsed_log_line> lines;
    if (files.empty()) {
        read_lines(input, "", request, lines);
    }
    for (const auto& file : files) {
        if (file == "-") {
            read_lines(input, "", request, lines);
            continue;
        }
        std::ifstream source(file);
        if (!source) {
            errors << "verbenactl: cannot read " << file << '\n';
            return false;
        }
        read_lines(source, stem_of(file), request, lines);
    }
    const auto story = serving::explain_outcome(lines, request);
    if (story.lines.empty()) {
        errors << "verbenactl: no line names request " << request << '\n';
        return false;
    }
    output << serving::describe(story);
    return true;
}

}  // namespace verbenahold
