#include "record_cache.hpp"

#include "record_rows.hpp"

#include <utility>

namespace verbenahold {

namespace {

// Maximum number of rows in one answer; a record takes about 0.5 kB.
constexpr int page_rows = 500;

}  // namespace

record_cache::record_cache(table_client& table) : m_table(table) {}

void record_cache::refresh(time_point now, commands& out, refresh_handler done) {
    if (m_refreshing) {
        m_waiting_handlers.push_back(std::move(done));
        return;
    }
    m_running_handlers.push_back(std::move(done));
    read_head(now, out);
}

void record_cache::read_head(time_point now, commands& out) {
    m_refreshing = true;
    m_table.read({std::string(head_row_key)}, now, out, [this](const rows_read& answer, time_point at, commands& more) {
        if (!answer.ok) {
            finish(false, at, more);
            return;
        }
        const stored_row* head = find_row(answer.rows, head_row_key);
        m_target_version = head == nullptr ? 0 : version_of_row(head->value);
        if (m_target_version <= m_current->version()) {
            finish(true, at, more);
        } else if (m_current->version() == 0) {
            read_all(m_target_version, "", at, more);
        } else {
            read_changes(at, more);
        }
    });
}

void record_cache::read_changes(time_point now, commands& out) {
    m_table.scan(std::string(change_row_prefix), change_row_key(m_current->version()), page_rows, now, out,
                 [this](const rows_read& answer, time_point at, commands& more) { on_changes(answer, at, more); });
}

void record_cache::on_changes(const rows_read& answer, time_point now, commands& out) {
    if (!answer.ok) {
        finish(false, now, out);
        return;
    }
    std::uint64_t version = m_current->version();
    auto records = m_current->records();
    for (const stored_row& row : answer.rows) {
        const auto change = parse_change_row(row.value);
        if (!change || change->version != version + 1) {
            break;
        }
        version = change->version;
        const auto known = records.find(change->key);
        // read_all() may already have read a later version of this record.
        const bool is_newer = known == records.end() || known->second.record_version < version;
        if (is_newer && change->value) {
            records.insert_or_assign(change->key, *change->value);
        } else if (is_newer && known != records.end()) {
            records.erase(known);
        }
    }
    if (version == m_current->version()) {
        // The next change row was removed as old, so all records are read.
        read_all(m_target_version, "", now, out);
        return;
    }
    m_current = std::make_shared<const config_snapshot>(version, std::move(records));
    if (version < m_target_version) {
        read_changes(now, out);
        return;
    }
    finish(true, now, out);
}

void record_cache::read_all(std::uint64_t version, const std::string& after, time_point now, commands& out) {
    if (after.empty()) {
        m_read_records.clear();
    }
    m_table.scan(std::string(record_row_prefix), after, page_rows, now, out,
                 [this, version](const rows_read& answer, time_point at, commands& more) {
                     on_page(answer, version, at, more);
                 });
}

void record_cache::on_page(const rows_read& answer, std::uint64_t version, time_point now, commands& out) {
    if (!answer.ok) {
        finish(false, now, out);
        return;
    }
    for (const stored_row& row : answer.rows) {
        if (auto value = parse_record_row(row.value)) {
            const record_key key = value->key;
            m_read_records.insert_or_assign(key, *std::move(value));
        }
    }
    if (answer.rows.size() == static_cast<std::size_t>(page_rows)) {
        read_all(version, answer.rows.back().key, now, out);
        return;
    }
    m_current = std::make_shared<const config_snapshot>(version, std::exchange(m_read_records, {}));
    finish(true, now, out);
}

void record_cache::finish(bool ok, time_point now, commands& out) {
    m_refreshing = false;
    for (const refresh_handler& done : std::exchange(m_running_handlers, {})) {
        done(ok, now, out);
    }
    if (!m_waiting_handlers.empty() && !m_refreshing) {
        m_running_handlers = std::exchange(m_waiting_handlers, {});
        read_head(now, out);
    }
}

}  // namespace verbenahold
