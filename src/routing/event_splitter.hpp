// Cuts the bytes of an event stream into whole events, so that an answer which
// ends in the middle of one can be continued by another server.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

// One event with the blank line that ends it.
struct stream_event {
    std::string bytes;
    // Its id, if it has a whole number as one.
    std::optional<std::int64_t> id;
};

class event_splitter {
public:
    // Longest event that is kept; a longer one is a fault of the server.
    static constexpr std::size_t longest_event = 1U << 20U;

    // The events that `bytes` completes, in order.
    std::vector<stream_event> feed(std::string_view bytes);
    // Bytes of an event that is not complete.
    [[nodiscard]] std::size_t pending() const { return m_partial.size(); }
    [[nodiscard]] bool overflowed() const { return m_partial.size() > longest_event; }
    // Forgets the part of an event that has come.
    void reset() { m_partial.clear(); }

private:
    std::string m_partial;
};

}  // namespace verbenahold::serving
