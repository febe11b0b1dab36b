// One lease row in the table service: at most one process at a time believes
// that it may act, and each takeover raises the fencing number.
#pragma once

#include "table_port.hpp"

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

    // The holder renews in this interval.
    static constexpr duration renew_interval = std::chrono::seconds(2);
    // A holder acts only while its last confirmed renewal is younger. Counted
    // from when the renewal was sent, which is not after it took effect.
    static constexpr duration act_limit = std::chrono::seconds(4);
    // A challenger takes the lease after it has seen no renewal for this long
    // on its own clock; longer than act_limit, so that the old holder has
    // stopped by then.
    static constexpr duration takeover_wait = std::chrono::seconds(6);
    // How often a process looks at the row that is not among its candidates.
    static constexpr duration bystander_interval = std::chrono::seconds(30);

    lease(table_port& table, std::string row_key, const daemon_id& self);

    // Candidates look at the row each renew_interval, others rarely: with
    // hundreds of processes, the reads of all would take the table's whole
    // rate.
    void set_candidate(bool candidate) { m_candidate = candidate; }
    void on_tick(time_point now, commands& out);
    // Gives the lease up, so that another process can take it at once.
    void release(time_point now, commands& out);
    // A newer fencing number was seen: stops acting at once.
    void depose(time_point now);

    [[nodiscard]] bool may_act(time_point now) const;
    [[nodiscard]] bool held() const { return m_held; }
    // True while a call to the table is open.
    [[nodiscard]] bool busy() const { return m_busy; }
    // Fencing number of the present holder, 0 if there was none yet.
    [[nodiscard]] std::uint64_t fence() const { return m_seen.fence; }
    [[nodiscard]] const std::string& holder() const { return m_seen.holder; }
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
    // The row is known to be `current`, by a read or by our own write.
    void learn(const row& current, time_point now, commands& out);
    void challenge(time_point now, commands& out);
    // Each write has a renewal number of its own, so that a read tells which
    // of several writes without an answer took effect.
    std::uint64_t next_renewal_number();

    table_port& m_table;
    std::string m_key;
    std::string m_self;
    bool m_candidate = true;
    bool m_busy = false;
    bool m_held = false;
    bool m_released = false;
    row m_seen;
    // When the present holder's last renewal was first seen.
    std::optional<time_point> m_seen_since;
    std::optional<time_point> m_confirmed;
    // Our write without an answer and when it was sent.
    std::optional<row> m_in_doubt;
    time_point m_in_doubt_sent{};
    std::uint64_t m_last_renewal = 0;
    std::optional<time_point> m_next;
};

}  // namespace verbenahold
