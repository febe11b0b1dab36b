// Follows one table of the platform's store: read whole once, then by what has
// changed since. A few daemons wait at the store for changes; the others take
// them from these and ask the store seldom.
#pragma once

#include "http_caller.hpp"
#include "wire_protocol.hpp"

#include <deque>
#include <functional>
#include <map>

namespace verbenahold::serving {

// How long the store holds a call for changes. A connection that fell silent
// is noticed after this and the slack, so it bounds how late changes come.
inline constexpr duration change_wait = std::chrono::milliseconds(1'500);
inline constexpr duration change_wait_slack = std::chrono::milliseconds(500);
// Time limit of other calls.
inline constexpr duration store_call_limit = std::chrono::milliseconds(1'500);
// How often a daemon that doesn't wait for changes asks the store itself, in
// case that what it hears from others is incomplete.
inline constexpr duration standby_period = std::chrono::seconds(10);
// Pause before the next call after a failure, first and longest; calls are
// paid for also when they are refused.
inline constexpr duration first_store_pause = std::chrono::milliseconds(150);
inline constexpr duration longest_store_pause = std::chrono::milliseconds(900);
// Removed rows that are remembered for daemons that ask what has changed.
inline constexpr std::size_t most_removed_rows = 500;

// What changed in a table since some version.
struct table_changes {
    std::vector<store_row> rows;
    // The rows are all that there are; others are gone.
    bool whole = false;
    std::uint64_t version = 0;
};

class table_follower {
public:
    using rows = std::map<std::string, store_row>;
    // All rows, and those that changed since the last call.
    using change_callback = std::function<void(const rows&, const std::vector<store_row>& changed)>;

    table_follower(store_table table, const std::string& store_address, const wire_protocol& wire, http_caller& calls,
                   loop_timers& timers, change_callback on_change);

    void start();
    // Whether this daemon waits at the store for changes.
    void set_waiting(bool waits);
    // Takes another daemon's changes if they lead further.
    void adopt(const table_changes& changes);
    // What another daemon at `version` lacks.
    [[nodiscard]] table_changes changes_since(std::uint64_t version) const;

    // Version of the newest transaction that the rows include; 0 before any.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] bool is_loaded() const { return m_version > 0; }
    // The last call succeeded.
    [[nodiscard]] bool in_reach() const { return is_loaded() && !m_failing; }
    // When a call last failed; now while calls fail.
    [[nodiscard]] std::optional<time_point> last_trouble() const;

private:
    void load(const std::string& first_key);
    void await_changes(duration wait);
    // Calls the store again, now or at the next period.
    void go_on();
    void on_page(const store_page& page);
    void call(const http_request& request, duration limit, std::function<void(const store_page&)> done);
    void on_failure(std::string_view reason);
    void replace(rows fresh, std::uint64_t version);
    void merge(const std::vector<store_row>& newer, std::uint64_t version);
    void note_removed(const store_row& row);

    store_table m_table;
    const std::string& m_store_address;
    const wire_protocol& m_wire;
    http_caller& m_calls;
    loop_timers& m_timers;
    change_callback m_on_change;
    rows m_rows;
    rows m_loading;
    std::deque<store_row> m_removed;
    // Changes before this version are no longer known one by one.
    std::uint64_t m_history_begins = 0;
    std::uint64_t m_version = 0;
    duration m_pause = first_store_pause;
    loop_timers::subscription m_next_call{};
    bool m_calling = false;
    bool m_waits = true;
    bool m_failing = false;
    std::optional<time_point> m_last_failure;
};

std::string_view table_label(store_table table);

}  // namespace verbenahold::serving
