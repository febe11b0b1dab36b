#include "lease.hpp"

#include "record_rows.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

std::uint64_t non_negative_integer(const QJsonValue& value) {
    return static_cast<std::uint64_t>(std::max<qint64>(0, value.toInteger(0)));
}

}  // namespace

lease::lease(table_client& table, std::string row_key, const daemon_id& self)
    : m_table(table), m_key(std::move(row_key)), m_self(to_string(self)) {}

bool lease::may_act(time_point now) const {
    return m_held && m_confirmed_at && now - *m_confirmed_at < act_duration;
}

void lease::on_tick(time_point now, commands& out) {
    if (m_call_open || m_released || (m_next_call && now < *m_next_call)) {
        return;
    }
    if (m_held) {
        m_next_call = now + renew_interval;
        write({m_self, m_row.fence, next_renewal_number(), m_row.revision}, now, out);
        return;
    }
    m_next_call = now + (m_candidate ? renew_interval : non_candidate_interval);
    read(now, out);
}

void lease::read(time_point now, commands& out) {
    m_call_open = true;
    m_table.read({m_key}, now, out,
                 [this](const rows_read& answer, time_point at, commands& more) { on_read(answer, at, more); });
}

void lease::on_read(const rows_read& answer, time_point now, commands& out) {
    m_call_open = false;
    if (!answer.ok) {
        return;
    }
    row current;
    if (const stored_row* found = find_row(answer.rows, m_key)) {
        current = {found->value["holder"].toString().toStdString(), non_negative_integer(found->value["fence"]),
                   non_negative_integer(found->value["renewal"]), found->revision};
    }
    apply_row(current, now, out);
}

void lease::apply_row(const row& current, time_point now, commands& out) {
    if (!m_row_since || current != m_row) {
        m_row_since = now;
    }
    m_row = current;
    if (m_released) {
        return;
    }
    if (current.holder != m_self) {
        if (std::exchange(m_held, false)) {
            out.emplace_back(log_change{"lost " + m_key + " to " + current.holder});
        }
        try_take_over(now, out);
        return;
    }
    if (m_unconfirmed && m_unconfirmed->renewal == current.renewal) {
        m_confirmed_at = m_unconfirmed_sent_at;
    }
    m_unconfirmed.reset();
    // The row may also show an earlier write of this process whose answer was
    // lost. The lease is held then, but may_act() stays false until a renewal
    // is confirmed.
    if (!std::exchange(m_held, true)) {
        out.emplace_back(log_change{"acquired " + m_key + " with fencing number " + std::to_string(current.fence)});
    }
    m_next_call = now;
}

void lease::try_take_over(time_point now, commands& out) {
    const bool is_free = m_row.holder.empty();
    const bool timed_out = now - *m_row_since >= takeover_timeout;
    if (is_free || timed_out) {
        write({m_self, m_row.fence + 1, next_renewal_number(), m_row.revision}, now, out);
    }
}

std::uint64_t lease::next_renewal_number() {
    m_last_renewal = std::max(m_last_renewal, m_row.renewal) + 1;
    return m_last_renewal;
}

void lease::write(row next, time_point now, commands& out) {
    m_call_open = true;
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
    m_call_open = false;
    if (m_released) {
        return;
    }
    if (answer.status == transact_status::refused) {
        return;
    }
    m_unconfirmed = written;
    m_unconfirmed_sent_at = sent;
    if (answer.status == transact_status::done) {
        row current = written;
        current.revision = answer.revision;
        const time_point next = sent + renew_interval;
        apply_row(current, now, out);
        m_next_call = std::max(next, now);
        return;
    }
    // After a conflict or without an answer, the row shows who holds the lease.
    if (answer.status == transact_status::conflict) {
        m_unconfirmed.reset();
    }
    read(now, out);
}

void lease::release(time_point now, commands& out) {
    if (std::exchange(m_held, false) && !std::exchange(m_released, true)) {
        write({"", m_row.fence, next_renewal_number(), m_row.revision}, now, out);
    }
    m_released = true;
}

void lease::step_down(time_point now) {
    m_held = false;
    m_confirmed_at.reset();
    m_next_call = now;
}

std::optional<time_point> lease::next_wakeup() const {
    if (m_call_open || m_released) {
        return std::nullopt;
    }
    return m_next_call.value_or(time_point{});
}

}  // namespace verbenahold
