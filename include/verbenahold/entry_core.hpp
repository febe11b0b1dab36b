// All decisions of one entry daemon in one object without I/O.
#pragma once

#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"
#include "verbenahold/types.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace verbenahold {

// What a daemon learns from its settings at start.
struct entry_settings {
    daemon_id self;
    zone_name zone;
    endpoint peer_endpoint;
    endpoint caller_endpoint;
    std::uint64_t seed = 1;
};

class entry_core {
public:
    explicit entry_core(entry_settings settings);
    ~entry_core();
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;
    entry_core(entry_core&&) noexcept;
    entry_core& operator=(entry_core&&) noexcept;

    // Handles one event at `now` and appends what follows from it to `out`.
    // `now` never goes back between calls.
    void handle(const entry_event& event, time_point now, std::vector<entry_command>& out);

    // When the core wants the next tick, if any.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    // True when the daemon knows the members of the host list, has a confirmed
    // configuration and takes work.
    [[nodiscard]] bool ready(time_point now) const;

    // Figures for status pages and tests.
    struct figures {
        std::uint64_t config_version = 0;
        std::size_t live_members = 0;
        std::size_t owned_servers = 0;
        std::size_t open_requests = 0;
        std::size_t running_attempts = 0;
        std::size_t queued_attempts = 0;
    };
    [[nodiscard]] figures read_figures() const;

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

}  // namespace verbenahold
