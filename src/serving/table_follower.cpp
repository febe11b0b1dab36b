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
        case store_table::block_rows:
            return "blocks";
    }
    return "unknown";
}

table_follower::table_follower(store_table table, const std::string& store_address, const wire_protocol& wire,
                               http_client& calls, loop_timers& timers, change_callback on_change)
    : m_table(table),
      m_store_address(store_address),
      m_wire(wire),
      m_calls(calls),
      m_timers(timers),
      m_on_change(std::move(on_change)) {}

void table_follower::start(duration delay) {
    if (m_calling) {
        return;
    }
    m_timers.unsubscribe(m_next_call);
    m_next_call = m_timers.after(delay, [this] {
        if (is_loaded()) {
            schedule_next_poll();
        } else {
            load({});
        }
    });
}

std::optional<time_point> table_follower::last_trouble() const {
    return m_failing ? m_timers.now() : m_last_failure;
}

void table_follower::set_store_reader(bool waits) {
    if (waits == m_is_store_reader) {
        return;
    }
    m_is_store_reader = waits;
    log_line(waits ? "waiting at the store" : "leaving the store to others").add("table", table_label(m_table)).info();
    if (waits && is_loaded() && !m_calling) {
        m_timers.unsubscribe(m_next_call);
        await_changes(change_wait);
    }
}

void table_follower::schedule_next_poll() {
    if (m_is_store_reader) {
        await_changes(change_wait);
        return;
    }
    m_next_call = m_timers.after(m_poll_period, [this] { await_changes({}); });
}

void table_follower::call(const http_request& request, duration limit, std::function<void(const store_page&)> done) {
    m_calling = true;
    m_calls.call(m_store_address, request, {limit, max_rows_bytes},
                 [this, done = std::move(done)](const call_result& result) {
                     m_calling = false;
                     // The next call follows also if this answer can't be handled.
                     m_timers.guard().run(
                         {"table", table_label(m_table)}, [&] { on_answer(result, done); },
                         [&] { on_failure("the answer can't be handled"); });
                 });
}

void table_follower::on_answer(const call_result& result, const std::function<void(const store_page&)>& done) {
    if (!result.answer) {
        on_failure(result.failure);
        return;
    }
    auto page = m_wire.read_page(*result.answer);
    if (const auto* fault = std::get_if<store_fault>(&page)) {
        if (*fault == store_fault::history_gone) {
            reload();
        } else {
            on_failure(*fault == store_fault::malformed ? "the answer is malformed" : "the store refused the call");
        }
        return;
    }
    if (m_failing) {
        m_failing = false;
        log_line("store regained").add("table", table_label(m_table)).info();
    }
    m_retry_delay = min_store_retry_delay;
    auto& read = std::get<store_page>(page);
    // An answer that states no era says nothing against the known one.
    read.position.era = read.position.era == 0 ? m_position.era : read.position.era;
    done(read);
}

void table_follower::on_failure(std::string_view reason) {
    m_last_failure = m_timers.now();
    if (!m_failing) {
        m_failing = true;
        log_line("store lost")
            .add("table", table_label(m_table))
            .add("reason", reason)
            .add("era", m_position.era)
            .add("version", m_position.version)
            .warn();
    }
    const auto pause = m_retry_delay;
    m_retry_delay = std::min(m_retry_delay * 2, max_store_retry_delay);
    m_next_call = m_timers.after(pause, [this] {
        if (is_loaded()) {
            await_changes(m_is_store_reader ? change_wait : duration{});
        } else {
            load({});
        }
    });
}

void table_follower::load(const std::string& first_key) {
    if (first_key.empty()) {
        m_loading.clear();
        m_loading_position.reset();
    }
    call(m_wire.list_rows(m_table, first_key), store_call_limit, [this](const store_page& page) { on_page(page); });
}

void table_follower::on_page(const store_page& page) {
    m_loading_position = m_loading_position.value_or(page.position);
    if (page.position.era != m_loading_position->era) {
        reload();
        return;
    }
    for (const auto& row : page.rows) {
        m_loading[row.key] = row;
    }
    if (page.has_more && !page.rows.empty()) {
        // The range includes its first key, so the last row is sent again.
        load(page.rows.back().key);
        return;
    }
    replace(std::move(m_loading), *m_loading_position);
    m_loading.clear();
    schedule_next_poll();
}

void table_follower::await_changes(duration wait) {
    call(m_wire.await_rows(m_table, m_position.version, wait), wait + change_wait_slack,
         [this, asked_from = m_position](const store_page& page) { on_changes(page, asked_from); });
}

void table_follower::on_changes(const store_page& page, const store_position& asked_from) {
    const auto era = page.position.era;
    if (era < asked_from.era) {
        on_failure("the answer is of an earlier era");
        return;
    }
    if (era > m_position.era) {
        // The changes follow a version that this copy never had.
        reload();
        return;
    }
    // Another daemon may have told of a later era during the call.
    if (era == asked_from.era && era == m_position.era) {
        m_reloads = 0;
        merge(page.rows, page.position.version);
    }
    schedule_next_poll();
}

void table_follower::reload() {
    const auto pause =
        m_reloads == 0 ? duration::zero() : std::min(min_store_retry_delay * m_reloads, max_store_retry_delay);
    ++m_reloads;
    log_line("reloading table")
        .add("table", table_label(m_table))
        .add("era", m_position.era)
        .add("version", m_position.version)
        .add("after_ms", pause)
        .info();
    m_next_call = m_timers.after(pause, [this] { load({}); });
}

void table_follower::poll_on_hint() {
    const auto now = m_timers.now();
    if (m_calling || !is_loaded() || now - m_hinted_poll_at < min_hinted_poll_interval) {
        return;
    }
    m_hinted_poll_at = now;
    m_timers.unsubscribe(m_next_call);
    await_changes({});
}

void table_follower::repeat_rows() {
    std::vector<store_row> all;
    for (const auto& [key, row] : m_rows) {
        all.push_back(row);
    }
    m_on_change(m_rows, all);
}

void table_follower::note_removed(const store_row& row) {
    m_removed.push_back(row);
    if (m_removed.size() > max_removed_rows) {
        m_oldest_diff_version = m_removed.front().version;
        m_removed.pop_front();
    }
}

void table_follower::replace(rows fresh, const store_position& position) {
    if (position < m_position) {
        return;
    }
    const bool begins_era = is_loaded() && position.era != m_position.era;
    if (begins_era) {
        // Rows that the copy lacks may only have to be written again.
        m_last_failure = m_timers.now();
        log_line("the store came back from an older copy")
            .add("table", table_label(m_table))
            .add("era_before", m_position.era)
            .add("era", position.era)
            .add("version_before", m_position.version)
            .add("version", position.version)
            .warn();
    }
    std::vector<store_row> changed;
    for (const auto& [key, row] : fresh) {
        const auto known = m_rows.find(key);
        if (known == m_rows.end() || known->second.version != row.version || known->second.value != row.value) {
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
    m_position = position;
    // The versions at which rows were removed are unknown.
    m_removed.clear();
    m_oldest_diff_version = position.version;
    if (begins_era && m_on_new_era) {
        m_on_new_era(position.era);
    }
    m_on_change(m_rows, changed);
}

void table_follower::merge(const std::vector<store_row>& newer, std::uint64_t version) {
    std::vector<store_row> changed;
    for (const auto& row : newer) {
        const auto known = m_rows.find(row.key);
        // Skips rows that are already known, for example from another daemon.
        const auto known_version = known == m_rows.end() ? 0 : known->second.version;
        if (row.version <= std::max(known_version, known == m_rows.end() ? m_position.version : 0)) {
            continue;
        }
        changed.push_back(row);
        if (row.removed) {
            m_rows.erase(row.key);
            note_removed(row);
        } else {
            m_rows[row.key] = row;
        }
    }
    m_position.version = std::max(m_position.version, version);
    if (!changed.empty()) {
        m_on_change(m_rows, changed);
    }
}

void table_follower::apply_changes(const table_changes& changes) {
    if (changes.position <= m_position) {
        return;
    }
    if (!changes.whole) {
        // Single changes of another era don't apply to these rows.
        if (changes.position.era == m_position.era) {
            merge(changes.rows, changes.position.version);
        }
        return;
    }
    rows all;
    for (const auto& row : changes.rows) {
        all[row.key] = row;
    }
    replace(std::move(all), changes.position);
}

table_changes table_follower::changes_since(const store_position& position) const {
    table_changes changes;
    changes.position = m_position;
    changes.whole = position.era != m_position.era || position.version < m_oldest_diff_version;
    const auto version = position.version;
    for (const auto& [key, row] : m_rows) {
        if (changes.whole || row.version > version) {
            changes.rows.push_back(row);
        }
    }
    if (!changes.whole) {
        std::copy_if(m_removed.begin(), m_removed.end(), std::back_inserter(changes.rows),
                     [&](const store_row& row) { return row.version > version; });
    }
    return changes;
}

}  // namespace verbenahold::serving
