// The control core makes all decisions of one control process and does no I/O:
// operators' changes, leases, orders to engines and removal of old rows.
#pragma once

#include "verbenahold/control_commands.hpp"
#include "verbenahold/control_events.hpp"
#include "verbenahold/types.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace verbenahold {

struct control_settings {
    daemon_id self;
    zone_name zone;
    // Unix time at time_point zero. Used only for the age of rows, so a
    // difference of a few minutes between hosts is harmless.
    std::chrono::seconds unix_time_at_zero{};
};

class control_core {
public:
    explicit control_core(control_settings settings);
    ~control_core();
    control_core(const control_core&) = delete;
    control_core& operator=(const control_core&) = delete;
    control_core(control_core&&) noexcept;
    control_core& operator=(control_core&&) noexcept;

    // Handles one event at `now` and appends the resulting commands to `out`.
    // `now` must not decrease from call to call.
    void handle(const control_event& event, time_point now, std::vector<control_command>& out);

    // When the next tick is due, if any.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    // Figures for metrics and tests.
    struct figures {
        std::uint64_t config_version = 0;
        std::size_t open_operations = 0;
        std::size_t held_leases = 0;
        std::size_t open_orders = 0;
    };
    [[nodiscard]] figures read_figures() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

}  // namespace verbenahold
