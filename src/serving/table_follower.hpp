// Keeps a copy of one table of the platform's store: loads all rows once, then
// applies changes. A few daemons, the store readers, wait for changes with long
// polls; the others get the changes from them and poll the store rarely.
#pragma once

#include "http_client.hpp"
#include "wire_protocol.hpp"

#include <deque>
#include <functional>
#include <map>

namespace verbenahold::serving {

// Duration of a long poll at the store. A dead connection is detected after this
// time plus the slack, which bounds how late changes arrive.
inline constexpr duration change_wait = std::chrono::milliseconds(1'500);
inline constexpr duration change_wait_slack = std::chrono::milliseconds(500);
// Time limit of other store calls.
inline constexpr duration store_call_limit = std::chrono::milliseconds(1'500);
// How often a daemon that is no store reader polls the store itself, in case the
// changes from other daemons are incomplete.
inline constexpr duration non_reader_poll_period = std::chrono::seconds(10);
// The same for a daemon that stands by: active daemons tell it of changes, and these
// polls are the only calls whose number grows with the number of hosts.
inline constexpr duration standby_poll_period = std::chrono::seconds(30);
// Exponential backoff after a failed call, initial and maximum delay. Refused
// calls are charged as well.
inline constexpr duration min_store_retry_delay = std::chrono::milliseconds(150);
inline constexpr duration max_store_retry_delay = std::chrono::milliseconds(900);
// Between two polls that a daemon of an earlier release causes, as its versions can't be
// compared.
inline constexpr duration min_hinted_poll_interval = std::chrono::milliseconds(500);
// Number of removed rows that are kept as tombstones for daemons that ask for
// changes.
inline constexpr std::size_t max_removed_rows = 500;

// The changes of a table since a given version.
struct table_changes {
    std::vector<store_row> rows;
    // The rows are the complete table; rows that are missing are removed.
    bool whole = false;
    store_position position;
};

class table_follower {
public:
    using rows = std::map<std::string, store_row>;
    // Called with all rows and with those that changed since the last call.
    using change_callback = std::function<void(const rows&, const std::vector<store_row>& changed)>;

    // Called when the store has come back from an older copy, before the rows change.
    using era_callback = std::function<void(std::uint64_t era)>;

    table_follower(store_table table, const std::string& store_address, const wire_protocol& wire, http_client& calls,
                   loop_timers& timers, change_callback on_change);

    void set_on_new_era(era_callback on_new_era) { m_on_new_era = std::move(on_new_era); }
    // Loads the table from the store after `delay`, unless other daemons sent it
    // before.
    void start(duration delay);
    // How often the store is polled while this daemon is no store reader.
    void set_poll_period(duration period) { m_poll_period = period; }
    // Sets whether this daemon is a store reader and polls for changes all the
    // time.
    void set_store_reader(bool waits);
    // Applies changes from another daemon if they are newer than this copy.
    void apply_changes(const table_changes& changes);
    // The changes that a daemon at `position` needs.
    [[nodiscard]] table_changes changes_since(const store_position& position) const;
    // Another daemon may know of later changes, but can't tell: polls the store soon.
    void poll_on_hint();
    // Calls back with all rows, as if each had changed.
    void repeat_rows();

    // The newest transaction that the rows include; zero before any.
    [[nodiscard]] const store_position& position() const { return m_position; }
    [[nodiscard]] std::uint64_t version() const { return m_position.version; }
    [[nodiscard]] bool is_loaded() const { return m_position.version > 0; }
    // The table is loaded and the last store call succeeded.
    [[nodiscard]] bool is_store_reachable() const { return is_loaded() && !m_failing; }
    // When a call last failed; the current time while calls are failing.
    [[nodiscard]] std::optional<time_point> last_trouble() const;

private:
    void load(const std::string& first_key);
    void await_changes(duration wait);
    // Polls the store at once if this daemon is a store reader, else after the
    // poll period.
    void schedule_next_poll();
    void on_page(const store_page& page);
    void call(const http_request& request, duration limit, std::function<void(const store_page&)> done);
    void on_answer(const call_result& result, const std::function<void(const store_page&)>& done);
    void on_failure(std::string_view reason);
    // Takes in changes that the store gave out after `asked_from`.
    void on_changes(const store_page& page, const store_position& asked_from);
    // Loads the table anew: at once, but with growing pauses if the polls after that fail too.
    void reload();
    void replace(rows fresh, const store_position& position);
    void merge(const std::vector<store_row>& newer, std::uint64_t version);
    void note_removed(const store_row& row);

    store_table m_table;
    const std::string& m_store_address;
    const wire_protocol& m_wire;
    http_client& m_calls;
    loop_timers& m_timers;
    change_callback m_on_change;
    era_callback m_on_new_era;
    rows m_rows;
    rows m_loading;
    // Position of the first page: rows on it may have changed since, before later pages.
    std::optional<store_position> m_loading_position;
    std::deque<store_row> m_removed;
    // Oldest version since which all changes are known; daemons with an older one
    // get the complete table.
    std::uint64_t m_oldest_diff_version = 0;
    store_position m_position;
    // Reloads since the last changes.
    unsigned m_reloads = 0;
    time_point m_hinted_poll_at{};
    duration m_retry_delay = min_store_retry_delay;
    duration m_poll_period = non_reader_poll_period;
    loop_timers::subscription m_next_call{};
    bool m_calling = false;
    bool m_is_store_reader = true;
    bool m_failing = false;
    std::optional<time_point> m_last_failure;
};

std::string_view table_label(store_table table);

}  // namespace verbenahold::serving
