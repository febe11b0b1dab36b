#include "row_garbage_collector.hpp"

#include "record_rows.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

row_garbage_collector::row_garbage_collector(table_client& table, std::chrono::seconds unix_time_at_zero)
    : m_table(table), m_unix_time_at_zero(unix_time_at_zero) {}

void row_garbage_collector::on_tick(bool active, time_point now, commands& out) {
    if (m_call_open || now < m_next_page) {
        return;
    }
    m_next_page = now + page_interval;
    if (active) {
        read_head(now, out);
    }
}

void row_garbage_collector::read_head(time_point now, commands& out) {
    m_call_open = true;
    m_table.read({std::string(head_row_key)}, now, out, [this](const rows_read& answer, time_point at, commands& more) {
        m_call_open = false;
        const stored_row* head = answer.ok ? find_row(answer.rows, head_row_key) : nullptr;
        if (head != nullptr) {
            read_page(version_of_row(head->value), at, more);
        }
    });
}

void row_garbage_collector::read_page(std::uint64_t head, time_point now, commands& out) {
    m_call_open = true;
    const std::string_view prefix = m_stage == stage::changes      ? change_row_prefix
                                    : m_stage == stage::operations ? operation_row_prefix
                                                                   : claim_row_prefix;
    m_table.scan(
        std::string(prefix), m_last_key, page_rows, now, out,
        [this, head](const rows_read& answer, time_point at, commands& more) { on_page(answer, head, at, more); });
}

bool row_garbage_collector::is_removable(const stored_row& row, std::uint64_t head, time_point now) const {
    const auto written = written_at(row.value);
    if (!written) {
        return false;
    }
    const auto unix_now = m_unix_time_at_zero + std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    const auto age = unix_now - *written;
    const bool is_beyond_retained_changes = version_of_row(row.value) + retained_changes <= head;
    switch (m_stage) {
        case stage::changes:
            return is_beyond_retained_changes && age > change_retention;
        case stage::operations:
            return is_beyond_retained_changes && age > operation_retention;
        case stage::claims:
            break;
    }
    return age > claim_retention;
}

void row_garbage_collector::on_page(const rows_read& answer, std::uint64_t head, time_point now, commands& out) {
    m_call_open = false;
    if (!answer.ok) {
        return;
    }
    row_transaction transaction;
    for (const stored_row& row : answer.rows) {
        if (is_removable(row, head, now)) {
            // If a row was rewritten since it was read, its check fails and no row
            // of this page is removed in this round.
            transaction.checks.push_back({row.key, row.revision});
            transaction.deletes.push_back(row.key);
        } else if (m_stage == stage::changes) {
            // Rows are in version order, so all later changes are newer.
            break;
        }
    }
    advance(answer, transaction.deletes.size() < answer.rows.size());
    if (transaction.deletes.empty()) {
        return;
    }
    m_call_open = true;
    const auto removed = static_cast<std::int64_t>(transaction.deletes.size());
    m_table.transact(std::move(transaction), now, out,
                     [this, removed](const rows_transacted& result, time_point, commands& more) {
                         m_call_open = false;
                         if (result.status == transact_status::done) {
                             more.emplace_back(count{"rows_removed", removed});
                         }
                     });
}

// Continues after the page, or with the next kind of rows if no more rows of the
// current kind can be old.
void row_garbage_collector::advance(const rows_read& answer, bool reached_kept) {
    const bool last_page = answer.rows.size() < static_cast<std::size_t>(page_rows);
    if (!last_page && !(m_stage == stage::changes && reached_kept)) {
        m_last_key = answer.rows.back().key;
        return;
    }
    m_last_key.clear();
    m_stage = m_stage == stage::changes      ? stage::operations
              : m_stage == stage::operations ? stage::claims
                                             : stage::changes;
}

std::optional<time_point> row_garbage_collector::next_wakeup() const {
    return m_call_open ? std::nullopt : std::optional(m_next_page);
}

}  // namespace verbenahold
