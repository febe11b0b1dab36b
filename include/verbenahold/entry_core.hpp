// The decision logic of one entry daemon, without I/O: it takes events and
// returns commands for the shell to carry out.
#pragma once

#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"
#include "verbenahold/types.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace verbenahold {

// What the core takes from the daemon's settings at start.
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

    // Handles one event at `now` and appends the resulting commands to `out`.
    // `now` must not decrease between calls.
    void handle(const entry_event& event, time_point now, std::vector<entry_command>& out);

    // When the core needs its next tick, if at all.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    // True when the daemon has joined the membership, has a confirmed
    // configuration and is not draining.
    [[nodiscard]] bool is_ready(time_point now) const;

    // Current counts for status pages and tests.
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
    class impl;
    std::unique_ptr<impl> m_impl;
};

}  // namespace verbenahold
