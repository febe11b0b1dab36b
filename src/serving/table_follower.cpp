#include "table_follower.hpp"

#include "log_line.hpp"

#include <algorithm>

namespace verbenahold::serving {

std::string_view table_label(store_table table) {
    switch (table) {
        case store_table::operator_rows:
            return "operator";
        case store_table::server_rows:
            return "servers";
        case store_table::daemon_rows:
            return "daemons";
    }
    return "unknown";
}

table_follower::table_follower(store_table table, const std::string& store_address, const wire_protocol& wire,
                               http_caller& calls, loop_timers& timers, change_callback on_change)
    : m_table(table),
      m_store_address(store_address),
      m_wire(wire),
      m_calls(calls),
      m_timers(timers),
      m_on_change(std::move(on_change)) {}

void table_follower::start() {
    load({});
}

bool table_follower::in_trouble() const {
    return m_failing || (m_last_failure && m_timers.now() - *m_last_failure < store_trouble_memory);
}

void table_follower::call(const http_request& request, duration limit, std::function<void(const store_page&)> done) {
    m_calls.call(m_store_address, request, limit, [this, done = std::move(done)](const call_result& result) {
        if (!result.answer) {
            pause_and_retry(result.failure, false);
            return;
        }
        const auto page = m_wire.read_page(*result.answer);
        if (const auto* fault = std::get_if<store_fault>(&page)) {
            const bool gone = *fault == store_fault::history_gone;
            pause_and_retry(gone ? "the store's history is gone" : "the store refused the call", gone);
            return;
        }
        if (m_failing) {
            m_failing = false;
            log_line("store regained").add("table", table_label(m_table)).info();
        }
        m_pause = first_store_pause;
        done(std::get<store_page>(page));
    });
}

void table_follower::pause_and_retry(std::string_view reason, bool reload) {
    if (reload) {
        log_line("reloading table").add("table", table_label(m_table)).add("reason", reason).info();
        load({});
        return;
    }
    m_last_failure = m_timers.now();
    if (!m_failing) {
        m_failing = true;
        log_line("store lost")
            .add("table", table_label(m_table))
            .add("reason", reason)
            .add("version", m_version)
            .warn();
    }
    const auto pause = m_pause;
    m_pause = std::min(m_pause * 2, longest_store_pause);
    m_timers.after(pause, [this] {
        if (is_loaded()) {
            await_changes();
        } else {
            load({});
        }
    });
}

void table_follower::load(const std::string& first_key) {
    if (first_key.empty()) {
        m_loading.clear();
    }
    call(m_wire.list_rows(m_table, first_key), store_call_limit, [this](const store_page& page) { on_page(page); });
}

void table_follower::on_page(const store_page& page) {
    for (const auto& row : page.rows) {
        m_loading[row.key] = row;
    }
    if (page.has_more && !page.rows.empty()) {
        // The range includes its first key, so the last row comes once more.
        load(page.rows.back().key);
        return;
    }
    replace(std::move(m_loading), page.version);
    m_loading.clear();
    await_changes();
}

void table_follower::replace(rows fresh, std::uint64_t version) {
    if (version < m_version) {
        return;
    }
    std::vector<store_row> changed;
    for (const auto& [key, row] : fresh) {
        const auto known = m_rows.find(key);
        if (known == m_rows.end() || known->second.version != row.version) {
            changed.push_back(row);
        }
    }
    for (const auto& [key, row] : m_rows) {
        if (!fresh.contains(key)) {
            store_row removed = row;
            removed.removed = true;
            changed.push_back(removed);
        }
    }
    m_rows = std::move(fresh);
    m_version = version;
    m_on_change(m_rows, changed);
}

void table_follower::adopt(rows newer, std::uint64_t version) {
    if (version > m_version) {
        log_line("rows from another daemon")
            .add("table", table_label(m_table))
            .add("version", version)
            .add("before", m_version)
            .info();
        replace(std::move(newer), version);
    }
}

void table_follower::await_changes() {
    call(m_wire.await_rows(m_table, m_version, change_wait), change_wait + change_wait_slack,
         [this](const store_page& page) { on_changes(page); });
}

void table_follower::on_changes(const store_page& page) {
    std::vector<store_row> changed;
    for (const auto& row : page.rows) {
        const auto known = m_rows.find(row.key);
        // Another daemon's newer copy may have come in between.
        if (row.version <= m_version && known != m_rows.end() && known->second.version >= row.version) {
            continue;
        }
        if (row.version <= m_version && known == m_rows.end()) {
            continue;
        }
        changed.push_back(row);
        if (row.removed) {
            m_rows.erase(row.key);
        } else {
            m_rows[row.key] = row;
        }
    }
    m_version = std::max(m_version, page.version);
    if (!changed.empty()) {
        m_on_change(m_rows, changed);
    }
    await_changes();
}

}  // namespace verbenahold::serving
