// Removes rows that nobody needs any more, a few at a time: old changes, old
// operations and expired idempotency claims.
#pragma once

#include "table_port.hpp"

#include "verbenahold/control_commands.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold {

class row_collector {
public:
    using commands = std::vector<control_command>;

    // Changes that are always kept.
    static constexpr std::uint64_t kept_changes = 2'000;
    // A daemon that lost contact for an hour catches up from change rows, so
    // younger ones are kept however many there are.
    static constexpr auto kept_change_age = std::chrono::hours(1);
    // An operator's client that repeats an operation does so within minutes; a
    // day leaves time to find out by hand.
    static constexpr auto kept_operation_age = std::chrono::hours(24);
    // A removed claim allows its key to run again, so claims are kept far
    // longer than any caller retries.
    static constexpr auto kept_claim_age = std::chrono::hours(24);
    // One page of rows is looked at in each interval. 10,000 changes a day
    // leave up to 20,000 operation rows, which is a round of 200 pages in 400 s
    // at two reads and at most one write in 2 s.
    static constexpr duration step_interval = std::chrono::seconds(2);
    static constexpr int page_rows = 100;

    row_collector(table_port& table, std::chrono::seconds unix_time_at_zero);

    // Looks at the next page, if it is time and `active` (the lease is held).
    void on_tick(bool active, time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] bool busy() const { return m_busy; }

private:
    enum class stage : std::uint8_t { changes, operations, claims };

    void read_head(time_point now, commands& out);
    void scan(std::uint64_t head, time_point now, commands& out);
    void on_page(const rows_read& answer, std::uint64_t head, time_point now, commands& out);
    [[nodiscard]] bool is_old(const stored_row& row, std::uint64_t head, time_point now) const;
    void advance(const rows_read& answer, bool reached_kept);

    table_port& m_table;
    std::chrono::seconds m_unix_time_at_zero;
    stage m_stage = stage::changes;
    std::string m_after;
    bool m_busy = false;
    time_point m_next{};
};

}  // namespace verbenahold
