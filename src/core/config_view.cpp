#include "config_view.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds head_poll_interval{2};
constexpr milliseconds head_poll_jitter{200};
// The shell answers or fails a read within 2 s. After this time the read counts as
// failed.
constexpr seconds head_read_timeout{5};
constexpr seconds fetch_timeout{1};
constexpr milliseconds member_check_interval{500};
// Work starts only on a version that was confirmed within this time.
constexpr seconds confirmation_limit{5};
constexpr std::size_t max_logged_changes = 1'024;

bool is_not_dead(const member& known) {
    return known.state != member_state::dead;
}

}  // namespace

config_view::config_view(daemon_id self, std::uint64_t seed)
    : m_self(std::move(self)), m_random(seed), m_current(std::make_shared<const config_snapshot>()) {}

// ---- adopting versions

void config_view::adopt_snapshot(const config_delta& delta) {
    config_snapshot::record_map records;
    for (const config_change& change : delta.changes) {
        if (change.value) {
            records[change.key] = *change.value;
        }
    }
    m_current = std::make_shared<const config_snapshot>(delta.to_version, std::move(records));
    m_change_log.clear();
    m_change_log_start = delta.to_version;
}

bool config_view::adopt_changes(const config_delta& delta) {
    std::vector<const config_change*> changes;
    for (const config_change& change : delta.changes) {
        if (change.version > m_current->version()) {
            changes.push_back(&change);
        }
    }
    std::ranges::stable_sort(changes, {}, [](const config_change* change) { return change->version; });
    std::uint64_t version = m_current->version();
    config_snapshot::record_map records;
    bool has_gap = false;
    for (const config_change* change : changes) {
        has_gap = change->version > version + 1;
        if (has_gap) {
            break;
        }
        if (version == m_current->version()) {
            records = m_current->records();
        }
        version = change->version;
        if (change->value) {
            records[change->key] = *change->value;
        } else {
            records.erase(change->key);
        }
        m_change_log.push_back(*change);
    }
    if (version > m_current->version()) {
        m_current = std::make_shared<const config_snapshot>(version, std::move(records));
    }
    while (m_change_log.size() > max_logged_changes) {
        m_change_log_start = m_change_log.front().version;
        m_change_log.pop_front();
    }
    return !has_gap && version >= delta.to_version;
}

bool config_view::adopt(const config_delta& delta, std::vector<entry_command>& out) {
    const std::uint64_t before = m_current->version();
    if (delta.to_version <= before) {
        return true;
    }
    bool complete = true;
    if (delta.is_snapshot) {
        adopt_snapshot(delta);
    } else {
        complete = adopt_changes(delta);
    }
    m_highest_known_version = std::max(m_highest_known_version, delta.to_version);
    if (m_current->version() != before) {
        out.push_back(log_change{"configuration version " + std::to_string(m_current->version())});
    }
    return complete;
}

void config_view::confirm(time_point as_of) {
    m_confirmed_as_of = std::max(m_confirmed_as_of.value_or(as_of), as_of);
}

// ---- the table

void config_view::on_table_head(std::uint64_t version, time_point now, std::vector<entry_command>& out) {
    m_table_failing = false;
    const std::optional<time_point> requested_at = std::exchange(m_head_requested_at, std::nullopt);
    m_highest_known_version = std::max(m_highest_known_version, version);
    if (version == m_current->version() && requested_at) {
        confirm(*requested_at);
    }
    if (version > m_current->version() && !m_fetch_deadline) {
        m_fetch_deadline = now + fetch_timeout;
        out.push_back(read_changes{m_current->version()});
    }
}

void config_view::on_table_changes(const config_delta& delta, time_point now, std::vector<entry_command>& out) {
    m_table_failing = false;
    m_fetch_deadline.reset();
    if (!adopt(delta, out)) {
        m_next_member_check = now;
    }
    // The head was read before the changes, so it cannot confirm them. Polls it again
    // at once.
    m_next_poll = std::min(m_next_poll, now);
}

void config_view::on_table_failed(table_operation operation, time_point now) {
    if (operation == table_operation::read_head) {
        m_head_requested_at.reset();
        m_table_failing = true;
    }
    if (operation == table_operation::read_changes) {
        m_fetch_deadline.reset();
        m_table_failing = true;
        m_fetch_from_table_next = false;
        m_next_member_check = std::max(m_next_member_check, now + member_check_interval);
    }
}

void config_view::poll_head(time_point now, std::vector<entry_command>& out) {
    if (m_head_requested_at && now - *m_head_requested_at >= head_read_timeout) {
        m_head_requested_at.reset();
        m_table_failing = true;
    }
    if (now < m_next_poll || m_head_requested_at) {
        return;
    }
    // The jitter spreads the reads of daemons that started together.
    m_next_poll = now + head_poll_interval - duration(m_random() % duration(head_poll_jitter).count());
    m_head_requested_at = now;
    out.push_back(read_head{});
}

// ---- peers

config_delta config_view::snapshot() const {
    config_delta delta;
    delta.to_version = m_current->version();
    delta.is_snapshot = true;
    for (const auto& [key, value] : m_current->records()) {
        delta.changes.push_back({delta.to_version, key, value});
    }
    return delta;
}

config_delta config_view::changes_after(std::uint64_t version) const {
    config_delta delta;
    delta.from_version = version;
    delta.to_version = m_current->version();
    const auto first = std::ranges::upper_bound(m_change_log, version, {}, &config_change::version);
    delta.changes.assign(first, m_change_log.end());
    return delta;
}

void config_view::on_fetch(const daemon_id& from, const config_fetch& message, const membership& members,
                           std::vector<entry_command>& out) const {
    if (message.have_version >= m_current->version()) {
        return;
    }
    const bool is_logged = message.have_version >= m_change_log_start;
    members.send(from, is_logged ? changes_after(message.have_version) : snapshot(), out);
}

void config_view::on_delta(const daemon_id& /*from*/, const config_delta& delta, time_point now,
                           std::vector<entry_command>& out) {
    m_fetch_deadline.reset();
    if (!adopt(delta, out)) {
        m_fetch_from_table_next = true;
    }
    m_next_member_check = now;
}

void config_view::fetch_changes(const membership& members, time_point now, std::vector<entry_command>& out) {
    std::vector<const member*> holders;
    for (const member& known : members.members()) {
        if (is_not_dead(known) && known.config_version > m_current->version()) {
            holders.push_back(&known);
        }
    }
    const bool from_table = holders.empty() || std::exchange(m_fetch_from_table_next, !m_fetch_from_table_next);
    m_fetch_deadline = now + fetch_timeout;
    if (from_table && !(m_table_failing && !holders.empty())) {
        out.push_back(read_changes{m_current->version()});
        return;
    }
    const member* chosen = holders[m_random() % holders.size()];
    members.send(chosen->daemon, config_fetch{m_current->version()}, out);
}

void config_view::check_members(const membership& members, time_point now, std::vector<entry_command>& out) {
    const std::uint64_t version = m_current->version();
    std::optional<time_point> confirmed_as_of;
    bool is_behind = false;
    for (const member& known : members.members()) {
        if (!is_not_dead(known)) {
            continue;
        }
        is_behind = is_behind || known.config_version > version;
        m_highest_known_version = std::max(m_highest_known_version, known.config_version);
        // While the table fails no change can be accepted, so a live peer at the same
        // version suffices even if that peer is not confirmed.
        const bool confirms_version = known.config_confirmed || m_table_failing;
        if (known.config_version == version && confirms_version && known.config_as_of != time_point::min()) {
            confirmed_as_of = std::max(confirmed_as_of.value_or(known.config_as_of), known.config_as_of);
        }
    }
    // Version 0 means that no configuration was received yet, so peers cannot
    // confirm it.
    if (confirmed_as_of && !is_behind && version > 0 && m_highest_known_version == version) {
        confirm(*confirmed_as_of);
    }
    if (m_fetch_deadline && now >= *m_fetch_deadline) {
        m_fetch_deadline.reset();
    }
    if (m_highest_known_version > version && !m_fetch_deadline) {
        fetch_changes(members, now, out);
    }
}

void config_view::on_tick(const membership& members, time_point now, std::vector<entry_command>& out) {
    if (!m_started) {
        m_started = true;
        m_next_poll = now;
        m_next_member_check = now;
    }
    poll_head(now, out);
    if (now >= m_next_member_check) {
        m_next_member_check = now + member_check_interval;
        check_members(members, now, out);
    }
}

// ---- queries

const shared_config& config_view::current() const {
    return m_current;
}

bool config_view::is_confirmed(time_point now) const {
    return m_confirmed_as_of && now - *m_confirmed_as_of <= confirmation_limit;
}

std::optional<time_point> config_view::next_wakeup() const {
    if (!m_started) {
        return time_point{};
    }
    return std::min(m_next_member_check, m_head_requested_at ? *m_head_requested_at + head_read_timeout : m_next_poll);
}

}  // namespace verbenahold
