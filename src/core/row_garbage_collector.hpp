// Removes rows whose retention time has passed, one page at a time: old changes,
// old operations and old idempotency claims. The latest `retained_changes` changes
// and their operations are kept regardless of age.
#pragma once

#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold {

class row_garbage_collector {
public:
    using commands = std::vector<control_command>;

    // Number of latest changes that are always kept, with their operations.
    static constexpr std::uint64_t retained_changes = 2'000;
    // Changes younger than this are kept whatever their number, so that a
    // daemon that was disconnected for an hour can catch up from them.
    static constexpr auto change_retention = std::chrono::hours(1);
    // An operator's client repeats an operation within minutes; a day leaves
    // time to look up an outcome by hand.
    static constexpr auto operation_retention = std::chrono::hours(24);
    // Once a claim is removed, a request with its idempotency key can run
    // again, so claims are kept far longer than any caller retries.
    static constexpr auto claim_retention = std::chrono::hours(24);
    // One page of rows is examined per interval, with two reads and at most one
    // write. 10,000 changes a day leave up to 20,000 operation rows, which are
    // 200 pages or a round of 400 s.
    static constexpr duration page_interval = std::chrono::seconds(2);
    static constexpr int page_rows = 100;

    row_garbage_collector(table_client& table, std::chrono::seconds unix_time_at_zero);

    // Examines the next page if one is due. `active` means that this process
    // may act under the lease for row removal.
    void on_tick(bool active, time_point now, commands& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] bool call_open() const { return m_call_open; }

private:
    enum class stage : std::uint8_t { changes, operations, claims };

    void read_head(time_point now, commands& out);
    void read_page(std::uint64_t head, time_point now, commands& out);
    void on_page(const rows_read& answer, std::uint64_t head, time_point now, commands& out);
    [[nodiscard]] bool is_removable(const stored_row& row, std::uint64_t head, time_point now) const;
    void advance(const rows_read& answer, bool reached_kept);

    table_client& m_table;
    std::chrono::seconds m_unix_time_at_zero;
    stage m_stage = stage::changes;
    std::string m_last_key;
    bool m_call_open = false;
    time_point m_next_page{};
};

}  // namespace verbenahold
