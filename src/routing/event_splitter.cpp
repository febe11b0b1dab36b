#include "event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace verbenahold::serving {

namespace {

// Length of the first event in `text`, including its blank line; 0 if it is
// incomplete.
std::size_t event_length(std::string_view text) {
    std::size_t line_begin = 0;
    while (line_begin < text.size()) {
        const auto line_end = text.find('\n', line_begin);
        if (line_end == std::string_view::npos) {
            return 0;
        }
        auto line = text.substr(line_begin, line_end - line_begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            return line_end + 1;
        }
        line_begin = line_end + 1;
    }
    return 0;
}

// Reads the fields of an event that matter here.
stream_event parse_event(std::string text) {
    stream_event event;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find('\n', begin), text.size());
        auto line = std::string_view(text).substr(begin, end - begin);
        begin = end + 1;
        event.has_data = event.has_data || line.starts_with("data");
        if (event.id || !line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{}) {
            event.id = id;
        }
    }
    event.bytes = std::move(text);
    return event;
}

}  // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    m_partial.append(bytes);
    std::vector<stream_event> events;
    std::size_t begin = 0;
    while (const auto length = event_length(std::string_view(m_partial).substr(begin))) {
        events.push_back(parse_event(m_partial.substr(begin, length)));
        begin += length;
    }
    m_partial.erase(0, begin);
    return events;
}

}  // namespace verbenahold::serving
