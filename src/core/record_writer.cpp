#include "record_writer.hpp"

#include "record_rows.hpp"

#include <QJsonDocument>

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

constexpr duration initial_retry_delay = std::chrono::milliseconds(100);
constexpr duration max_retry_delay = std::chrono::seconds(1);

// Distinguishes a repeated request from a different one with the same operation
// id.
std::string fingerprint_of(const record& requested) {
    const QByteArray text = QJsonDocument(to_json(requested)).toJson(QJsonDocument::Compact);
    return QByteArray::number(static_cast<qulonglong>(XXH64(text.data(), static_cast<std::size_t>(text.size()), 0)), 16)
        .toStdString();
}

std::uint64_t revision_of(const stored_row* row) {
    return row == nullptr ? 0 : row->revision;
}

}  // namespace

record_writer::record_writer(table_client& table, std::chrono::seconds unix_time_at_zero)
    : m_table(table), m_unix_time_at_zero(unix_time_at_zero) {}

void record_writer::start(planned_write write, time_point now, commands& out, done_handler done) {
    const write_id id = ++m_last_id;
    operation next;
    next.fingerprint = fingerprint_of(write.requested);
    next.write = std::move(write);
    next.deadline = now + operation_timeout;
    next.retry_delay = initial_retry_delay;
    next.done = std::move(done);
    m_operations.emplace(id, std::move(next));
    read(id, now, out);
}

void record_writer::read(write_id id, time_point now, commands& out) {
    operation& op = m_operations.at(id);
    op.retry_at.reset();
    std::vector<std::string> keys{std::string(head_row_key), record_row_key(op.write.stored_form.key),
                                  operation_row_key(op.write.operation)};
    m_table.read(std::move(keys), now, out,
                 [this, id](const rows_read& answer, time_point at, commands& more) { on_read(id, answer, at, more); });
}

bool record_writer::finish_if_written(write_id id, const rows_read& answer, time_point now, commands& out) {
    const operation& op = m_operations.at(id);
    const stored_row* row = find_row(answer.rows, operation_row_key(op.write.operation));
    if (row == nullptr) {
        return false;
    }
    write_outcome outcome;
    outcome.version = version_of_row(row->value);
    if (row->value["fingerprint"].toString().toStdString() != op.fingerprint) {
        outcome.status = write_status::operation_reused;
    } else {
        outcome.status = write_status::accepted;
        outcome.stored = parse_record_row(row->value["record"]);
    }
    finish(id, outcome, now, out);
    return true;
}

void record_writer::on_read(write_id id, const rows_read& answer, time_point now, commands& out) {
    const auto found = m_operations.find(id);
    if (found == m_operations.end()) {
        return;
    }
    operation& op = found->second;
    if (!answer.ok) {
        schedule_retry(op, now);
        return;
    }
    if (finish_if_written(id, answer, now, out)) {
        return;
    }
    if (op.in_doubt == doubt::possible) {
        if (revision_of(find_row(answer.rows, head_row_key)) == op.sent_head_revision) {
            // Repeats the same transaction. Both check the same head revision,
            // so at most one of them takes effect.
            send(id, answer, now, out);
            return;
        }
        op.in_doubt = doubt::superseded;
        read(id, now, out);
        return;
    }
    op.in_doubt = doubt::none;
    const stored_row* row = find_row(answer.rows, record_row_key(op.write.stored_form.key));
    const auto stored = row == nullptr ? std::nullopt : parse_record_row(row->value);
    if (stored && stored->schema_version > newest_schema_version) {
        finish(id, {write_status::newer_schema, 0, stored}, now, out);
        return;
    }
    const std::uint64_t stored_version = stored ? stored->record_version : 0;
    if (stored_version != op.write.requested.record_version) {
        finish(id, {write_status::conflict, 0, stored}, now, out);
        return;
    }
    send(id, answer, now, out);
}

void record_writer::send(write_id id, const rows_read& answer, time_point now, commands& out) {
    operation& op = m_operations.at(id);
    const stored_row* head = find_row(answer.rows, head_row_key);
    const std::uint64_t version = (head == nullptr ? 0 : version_of_row(head->value)) + 1;
    const std::string record_key_text = record_row_key(op.write.stored_form.key);
    record next = op.write.stored_form;
    next.record_version = version;
    const auto unix_now = m_unix_time_at_zero + std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    QJsonObject operation_row = head_row(version);
    operation_row["fingerprint"] = to_qstring(op.fingerprint);
    operation_row["written_at_s"] = static_cast<qint64>(unix_now.count());
    operation_row["record"] = to_json(next);

    row_transaction transaction;
    transaction.checks = {{std::string(head_row_key), revision_of(head)},
                          {record_key_text, revision_of(find_row(answer.rows, record_key_text))},
                          {operation_row_key(op.write.operation), 0}};
    transaction.puts = {{std::string(head_row_key), head_row(version)},
                        {record_key_text, to_json(next)},
                        {change_row_key(version), change_row({version, next.key, next}, unix_now)},
                        {operation_row_key(op.write.operation), operation_row}};
    op.sent_head_revision = revision_of(head);
    m_table.transact(std::move(transaction), now, out,
                     [this, id, version](const rows_transacted& result, time_point at, commands& more) {
                         on_transacted(id, result, version, at, more);
                     });
}

void record_writer::on_transacted(write_id id, const rows_transacted& answer, std::uint64_t version, time_point now,
                                  commands& out) {
    const auto found = m_operations.find(id);
    if (found == m_operations.end()) {
        return;
    }
    operation& op = found->second;
    switch (answer.status) {
        case transact_status::done: {
            record stored = op.write.stored_form;
            stored.record_version = version;
            finish(id, {write_status::accepted, version, std::move(stored)}, now, out);
            return;
        }
        case transact_status::conflict:
            // The head row has changed, through an earlier transaction of this
            // operation or through another operation.
            if (op.in_doubt == doubt::possible) {
                op.in_doubt = doubt::superseded;
            }
            read(id, now, out);
            return;
        case transact_status::refused:
            schedule_retry(op, now);
            return;
        case transact_status::unknown:
            op.in_doubt = doubt::possible;
            read(id, now, out);
            return;
    }
}

void record_writer::schedule_retry(operation& op, time_point now) {
    op.retry_at = now + op.retry_delay;
    op.retry_delay = std::min(2 * op.retry_delay, max_retry_delay);
}

void record_writer::finish(write_id id, const write_outcome& outcome, time_point now, commands& out) {
    const auto node = m_operations.extract(id);
    node.mapped().done(outcome, now, out);
}

void record_writer::on_tick(time_point now, commands& out) {
    std::vector<write_id> expired;
    std::vector<write_id> due;
    for (const auto& [id, op] : m_operations) {
        if (op.deadline <= now) {
            expired.push_back(id);
        } else if (op.retry_at && *op.retry_at <= now) {
            due.push_back(id);
        }
    }
    for (const write_id id : expired) {
        const bool in_doubt = m_operations.at(id).in_doubt != doubt::none;
        finish(id, {in_doubt ? write_status::unknown : write_status::table_unreachable, 0, std::nullopt}, now, out);
    }
    for (const write_id id : due) {
        read(id, now, out);
    }
}

std::optional<time_point> record_writer::next_wakeup() const {
    std::optional<time_point> next;
    for (const auto& [id, op] : m_operations) {
        const time_point wakeup = op.retry_at ? std::min(*op.retry_at, op.deadline) : op.deadline;
        next = next ? std::min(*next, wakeup) : wakeup;
    }
    return next;
}

}  // namespace verbenahold
