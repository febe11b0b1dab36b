// The configuration that a daemon uses. Its version only increases. Changes come from
// the table service or from peers. Also tracks whether the version is confirmed to be
// current.
#pragma once

#include "membership.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/records.hpp"

#include <deque>
#include <optional>
#include <random>

namespace verbenahold {

class config_view {
public:
    explicit config_view(daemon_id self, std::uint64_t seed);

    void on_table_head(std::uint64_t version, time_point now, std::vector<entry_command>& out);
    void on_table_changes(const config_delta& delta, time_point now, std::vector<entry_command>& out);
    void on_table_failed(table_operation operation, time_point now);
    void on_fetch(const daemon_id& from, const config_fetch& message, const membership& members,
                  std::vector<entry_command>& out) const;
    void on_delta(const daemon_id& from, const config_delta& delta, time_point now, std::vector<entry_command>& out);
    // Polls the newest version in the table, checks the versions that members
    // announce, and fetches missing changes.
    void on_tick(const membership& members, time_point now, std::vector<entry_command>& out);

    [[nodiscard]] const shared_config& current() const;
    // True if the version was confirmed within the last confirmation_limit (5 s):
    // by the table, or by a peer that announces the same version and is itself
    // confirmed. While the table fails, an unconfirmed peer suffices.
    [[nodiscard]] bool is_confirmed(time_point now) const;
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    // Returns false if a change between the current version and the delta's is
    // missing.
    bool adopt(const config_delta& delta, std::vector<entry_command>& out);
    void adopt_snapshot(const config_delta& delta);
    bool adopt_changes(const config_delta& delta);
    [[nodiscard]] config_delta changes_after(std::uint64_t version) const;
    [[nodiscard]] config_delta snapshot() const;
    void confirm(time_point as_of);
    void poll_head(time_point now, std::vector<entry_command>& out);
    void check_members(const membership& members, time_point now, std::vector<entry_command>& out);
    void fetch_changes(const membership& members, time_point now, std::vector<entry_command>& out);

    daemon_id m_self;
    std::mt19937_64 m_random;
    shared_config m_current;
    // The latest changes in version order: all those after m_change_log_start.
    std::deque<config_change> m_change_log;
    std::uint64_t m_change_log_start = 0;
    // Highest version announced by the table or by a live member.
    std::uint64_t m_highest_known_version = 0;
    std::optional<time_point> m_confirmed_as_of;
    // Send time of the outstanding read of the head, if any.
    std::optional<time_point> m_head_requested_at;
    time_point m_next_poll{};
    // Deadline of the outstanding fetch of changes, if any.
    std::optional<time_point> m_fetch_deadline;
    // Fetches alternate between the table and a peer, since a peer may not answer.
    bool m_fetch_from_table_next = true;
    bool m_table_failing = false;
    bool m_started = false;
    time_point m_next_member_check{};
};

}  // namespace verbenahold
