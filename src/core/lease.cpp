#include "lease.hpp"

#include "record_rows.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

std::uint64_t number_of(const QJsonValue& value) {
    return static_cast<std::uint64_t>(std::max<qint64>(0, value.toInteger(0)));
}

}  // namespace

lease::lease(table_port& table, std::string row_key, const daemon_id& self)
    : m_table(table), m_key(std::move(row_key)), m_self(to_string(self)) {}

bool lease::may_act(time_point now) const {
    return m_held && m_confirmed && now - *m_confirmed < act_limit;
}

void lease::on_tick(time_point now, commands& out) {
    if (m_busy || m_released || (m_next && now < *m_next)) {
        return;
    }
    if (m_held) {
        m_next = now + renew_interval;
        write({m_self, m_seen.fence, next_renewal_number(), m_seen.revision}, now, out);
        return;
    }
    m_next = now + (m_candidate ? renew_interval : bystander_interval);
    read(now, out);
}

void lease::read(time_point now, commands& out) {
    m_busy = true;
    m_table.read({m_key}, now, out,
                 [this](const rows_read& answer, time_point at, commands& more) { on_read(answer, at, more); });
}

void lease::on_read(const rows_read& answer, time_point now, commands& out) {
    m_busy = false;
    if (!answer.ok) {
        return;
    }
    row current;
    if (const stored_row* found = find_row(answer.rows, m_key)) {
        current = {found->value["holder"].toString().toStdString(), number_of(found->value["fence"]),
                   number_of(found->value["renewal"]), found->revision};
    }
    learn(current, now, out);
}

void lease::learn(const row& current, time_point now, commands& out) {
    if (!m_seen_since || current != m_seen) {
        m_seen_since = now;
    }
    m_seen = current;
    if (m_released) {
        return;
    }
    if (current.holder != m_self) {
        if (std::exchange(m_held, false)) {
            out.emplace_back(log_change{"lost " + m_key + " to " + current.holder});
        }
        challenge(now, out);
        return;
    }
    if (m_in_doubt && m_in_doubt->renewal == current.renewal) {
        m_confirmed = m_in_doubt_sent;
    }
    m_in_doubt.reset();
    // The row may also show an earlier write of this process whose answer was
    // lost. The lease is held then, but may_act() stays false until a renewal
    // is confirmed.
    if (!std::exchange(m_held, true)) {
        out.emplace_back(log_change{"acquired " + m_key + " with fencing number " + std::to_string(current.fence)});
    }
    m_next = now;
}

void lease::challenge(time_point now, commands& out) {
    const bool is_free = m_seen.holder.empty();
    const bool silent = now - *m_seen_since >= takeover_wait;
    if (is_free || silent) {
        write({m_self, m_seen.fence + 1, next_renewal_number(), m_seen.revision}, now, out);
    }
}

std::uint64_t lease::next_renewal_number() {
    m_last_renewal = std::max(m_last_renewal, m_seen.renewal) + 1;
    return m_last_renewal;
}

void lease::write(row next, time_point now, commands& out) {
    m_busy = true;
    QJsonObject value{{"holder", to_qstring(next.holder)},
                      {"fence", static_cast<qint64>(next.fence)},
                      {"renewal", static_cast<qint64>(next.renewal)}};
    row_transaction transaction{{{m_key, next.revision}}, {{m_key, std::move(value)}}, {}};
    m_table.transact(std::move(transaction), now, out,
                     [this, next = std::move(next), now](const rows_transacted& answer, time_point at, commands& more) {
                         on_written(answer, next, now, at, more);
                     });
}

void lease::on_written(const rows_transacted& answer, const row& written, time_point sent, time_point now,
                       commands& out) {
    m_busy = false;
    if (m_released) {
        return;
    }
    if (answer.status == transact_status::refused) {
        return;
    }
    m_in_doubt = written;
    m_in_doubt_sent = sent;
    if (answer.status == transact_status::done) {
        row current = written;
        current.revision = answer.revision;
        const time_point next = sent + renew_interval;
        learn(current, now, out);
        m_next = std::max(next, now);
        return;
    }
    // After a conflict or without an answer, the row shows who holds the lease.
    if (answer.status == transact_status::conflict) {
        m_in_doubt.reset();
    }
    read(now, out);
}

void lease::release(time_point now, commands& out) {
    if (std::exchange(m_held, false) && !std::exchange(m_released, true)) {
        write({"", m_seen.fence, next_renewal_number(), m_seen.revision}, now, out);
    }
    m_released = true;
}

void lease::depose(time_point now) {
    m_held = false;
    m_confirmed.reset();
    m_next = now;
}

std::optional<time_point> lease::next_wakeup() const {
    if (m_busy || m_released) {
        return std::nullopt;
    }
    return m_next.value_or(time_point{});
}

}  // namespace verbenahold
