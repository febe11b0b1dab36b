// A lease that is held through one row of the table service. may_act() is true
// in at most one process at a time, and each takeover raises the fencing
// number.
#pragma once

#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

class lease {
public:
    using commands = std::vector<control_command>;

    // How often the holder renews the lease, and how often candidates read it.
    static constexpr duration renew_interval = std::chrono::seconds(2);
    // The holder may act for this long after its last confirmed renewal,
    // counted from when the renewal was sent, which is before it took effect.
    static constexpr duration act_duration = std::chrono::seconds(4);
    // Another process takes the lease over after it has seen no renewal for
    // this long on its own clock. Longer than act_duration, so that the previous
    // holder has stopped acting by then.
    static constexpr duration takeover_timeout = std::chrono::seconds(6);
    // How often a process reads the row if it is not a candidate.
    static constexpr duration non_candidate_interval = std::chrono::seconds(30);

    lease(table_client& table, std::string row_key, const daemon_id& self);

    // Candidates read the row every renew_interval, other processes every
    // non_candidate_interval: frequent reads by hundreds of processes would use up
    // the table's rate limit.
    void set_candidate(bool candidate) { m_candidate = candidate; }
    void on_tick(time_point now, commands& out);
    // Releases the lease, so that another process can take it at once. This
    // process does not take it again.
    void release(time_point now, commands& out);
    // Stops acting at once; called when a higher fencing number was seen.
    void step_down(time_point now);

    [[nodiscard]] bool may_act(time_point now) const;
    [[nodiscard]] bool held() const { return m_held; }
    // True while a call to the table is open.
    [[nodiscard]] bool call_open() const { return m_call_open; }
    // Fencing number of the last known holder, 0 if there was none yet.
    [[nodiscard]] std::uint64_t fence() const { return m_row.fence; }
    [[nodiscard]] const std::string& holder() const { return m_row.holder; }
    [[nodiscard]] const std::string& row_key() const { return m_key; }
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct row {
        std::string holder;
        std::uint64_t fence = 0;
        std::uint64_t renewal = 0;
        std::uint64_t revision = 0;

        bool operator==(const row&) const = default;
    };

    void read(time_point now, commands& out);
    void on_read(const rows_read& answer, time_point now, commands& out);
    void write(row next, time_point now, commands& out);
    void on_written(const rows_transacted& answer, const row& written, time_point sent, time_point now, commands& out);
    // Handles the row's state, known from a read or from a confirmed write.
    void apply_row(const row& current, time_point now, commands& out);
    void try_take_over(time_point now, commands& out);
    // Each write has a renewal number of its own, so that a read shows which
    // of several unanswered writes took effect.
    std::uint64_t next_renewal_number();

    table_client& m_table;
    std::string m_key;
    std::string m_self;
    bool m_candidate = true;
    bool m_call_open = false;
    bool m_held = false;
    bool m_released = false;
    row m_row;
    // When the row was first seen in the state m_row.
    std::optional<time_point> m_row_since;
    // When the last confirmed renewal was sent.
    std::optional<time_point> m_confirmed_at;
    // This process's last write whose outcome is not known yet, and when it
    // was sent.
    std::optional<row> m_unconfirmed;
    time_point m_unconfirmed_sent_at{};
    std::uint64_t m_last_renewal = 0;
    std::optional<time_point> m_next_call;
};

}  // namespace verbenahold
