// Follows one table of the platform's store: read whole once, then by what has
// changed since. Another daemon's copy may bring it forward when the store
// can't be reached.
#pragma once

#include "http_caller.hpp"
#include "wire_protocol.hpp"

#include <functional>
#include <map>

namespace verbenahold::serving {

// How long the store holds a call for changes. A connection that fell silent
// is noticed after this and the slack, so it bounds how late changes come.
inline constexpr duration change_wait = std::chrono::milliseconds(1'500);
inline constexpr duration change_wait_slack = std::chrono::milliseconds(500);
// Time limit of other calls.
inline constexpr duration store_call_limit = std::chrono::milliseconds(1'500);
// Pause before the next call after a failure, first and longest; calls are
// paid for also when they are refused.
inline constexpr duration first_store_pause = std::chrono::milliseconds(150);
inline constexpr duration longest_store_pause = std::chrono::milliseconds(900);
// The store counts as in trouble for this long after a call failed.
inline constexpr duration store_trouble_memory = std::chrono::seconds(3);

class table_follower {
public:
    using rows = std::map<std::string, store_row>;
    // All rows, and the keys of those that changed since the last call.
    using change_callback = std::function<void(const rows&, const std::vector<store_row>& changed)>;

    table_follower(store_table table, const std::string& store_address, const wire_protocol& wire, http_caller& calls,
                   loop_timers& timers, change_callback on_change);

    void start();
    // Takes another daemon's rows if they are newer.
    void adopt(rows newer, std::uint64_t version);

    [[nodiscard]] const rows& current() const { return m_rows; }
    // Version of the newest transaction that the rows include; 0 before any.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] bool is_loaded() const { return m_version > 0; }
    // A call failed lately.
    [[nodiscard]] bool in_trouble() const;

private:
    void load(const std::string& first_key);
    void await_changes();
    void on_page(const store_page& page);
    void on_changes(const store_page& page);
    void call(const http_request& request, duration limit, std::function<void(const store_page&)> done);
    void pause_and_retry(std::string_view reason, bool reload);
    void replace(rows fresh, std::uint64_t version);

    store_table m_table;
    const std::string& m_store_address;
    const wire_protocol& m_wire;
    http_caller& m_calls;
    loop_timers& m_timers;
    change_callback m_on_change;
    rows m_rows;
    rows m_loading;
    std::uint64_t m_version = 0;
    duration m_pause = first_store_pause;
    bool m_failing = false;
    std::optional<time_point> m_last_failure;
};

std::string_view table_label(store_table table);

}  // namespace verbenahold::serving
