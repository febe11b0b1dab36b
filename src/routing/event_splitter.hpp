// Splits the bytes of an event stream into complete events, so that another server
// can continue an answer that ended in the middle of an event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

// One event, including the blank line at its end.
struct stream_event {
    std::string bytes;
    // The event's id, if it is an integer.
    std::optional<std::int64_t> id;
    // False for comments alone.
    bool has_data = false;
};

class event_splitter {
public:
    // Maximum length of an event; a longer one is an error of the server.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    // Appends `bytes` and returns the events that are now complete, in order.
    std::vector<stream_event> feed(std::string_view bytes);
    // Number of buffered bytes, which belong to an incomplete event.
    [[nodiscard]] std::size_t pending() const { return m_partial.size(); }
    [[nodiscard]] bool overflowed() const { return m_partial.size() > max_event_bytes; }
    // Discards the buffered part of an event.
    void reset() { m_partial.clear(); }

private:
    std::string m_partial;
};

}  // namespace verbenahold::serving
