#include "active_role.hpp"

#include <algorithm>
#include <set>

namespace verbenahold::serving {

bool active_role::is_fresh_active(const daemon_view::member& member, time_point now) const {
    return member.status.active && !member.status.leaving && now - member.last_heard < active_timeout;
}

bool active_role::hears_active_daemon(time_point now) const {
    return std::any_of(m_view.members().begin(), m_view.members().end(), [&](const auto& entry) {
        return in_own_zone(entry.second.status.zone) && is_fresh_active(entry.second, now);
    });
}

void active_role::choose(double requests_per_second, bool leaving, time_point now) {
    std::vector<host_candidate> alive;
    if (!leaving) {
        alive.push_back({m_own.name, m_own.cores});
    }
    for (const auto& [name, member] : m_view.members()) {
        const auto& status = member.status;
        const auto timeout = status.shares_work ? active_timeout : standby_timeout;
        if (in_own_zone(status.zone) && !status.leaving && now - member.last_heard < timeout) {
            alive.push_back({name, status.cores});
            requests_per_second += status.requests_per_second;
        }
    }
    m_chosen = choose_active_hosts(std::move(alive), requests_per_second, m_zones);
}

bool active_role::serve_callers(std::span<const std::string> hosts, time_point now) const {
    return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& name) {
        const auto found = m_view.members().find(name);
        return found != m_view.members().end() && is_fresh_active(found->second, now) && found->second.status.accepting;
    });
}

const std::vector<std::string>& active_role::deciding_choice(time_point now) const {
    host_candidate deciding{m_own.name, m_active ? m_own.cores : -1};
    const std::vector<std::string>* choice = &m_chosen;
    for (const auto& [name, member] : m_view.members()) {
        const auto& status = member.status;
        const host_candidate candidate{name, status.cores};
        if (in_own_zone(status.zone) && is_fresh_active(member, now) && !status.chosen_hosts.empty() &&
            ranks_before(candidate, deciding)) {
            deciding = candidate;
            choice = &status.chosen_hosts;
        }
    }
    return *choice;
}

std::vector<host_candidate> active_role::known_hosts(const zone_name& zone) const {
    std::vector<host_candidate> hosts;
    if (zone == m_own.zone) {
        hosts.push_back({m_own.name, m_own.cores});
    }
    for (const auto& [name, record] : m_view.records()) {
        if (name != m_own.name && record.zone == zone) {
            hosts.push_back({name, record.cores});
        }
    }
    sort_by_rank(hosts);
    return hosts;
}

bool active_role::may_take_over(time_point now) const {
    if (!m_listed) {
        return false;
    }
    const auto hosts = known_hosts(m_own.zone);
    const auto own =
        std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.name == m_own.name; });
    const auto groups_ahead = (own - hosts.begin()) / static_cast<std::ptrdiff_t>(min_active_hosts_per_zone);
    return now - *m_alone_since >= takeover_step * groups_ahead;
}

bool active_role::update(double requests_per_second, bool leaving, time_point now) {
    const bool before = m_active;
    choose(requests_per_second, leaving, now);
    if (leaving) {
        m_active = false;
    } else if (!hears_active_daemon(now)) {
        m_alone_since = m_alone_since.value_or(now);
        m_active = m_active || may_take_over(now);
    } else {
        m_alone_since.reset();
        const auto& choice = deciding_choice(now);
        const bool is_chosen = std::find(choice.begin(), choice.end(), m_own.name) != choice.end();
        // An active daemon stays until those chosen instead serve callers.
        m_active = is_chosen || (m_active && !serve_callers(choice, now));
    }
    if (before && !m_active) {
        m_active_until = now;
    }
    return before != m_active;
}

bool active_role::shares_work(time_point now) const {
    return m_active || (m_active_until && now - *m_active_until < share_work_after_active);
}

int active_role::sharing_daemons(int active_senders) const {
    // Daemons that stand by don't know of each other's requests, so each counts on
    // all of them.
    return m_active ? active_senders : std::max(active_senders, static_cast<int>(m_view.records().size()));
}

void active_role::add_first_hosts(const zone_name& zone, std::size_t count, std::vector<std::string>& addresses) const {
    for (const auto& host : known_hosts(zone)) {
        if (count == 0) {
            return;
        }
        if (host.name != m_own.name) {
            addresses.push_back(m_view.records().at(host.name).peer_address);
            --count;
        }
    }
}

std::vector<std::string> active_role::heartbeat_targets_in_zone(time_point now) const {
    std::vector<std::string> addresses;
    if (shares_work(now)) {
        for (const auto& [name, record] : m_view.records()) {
            if (name != m_own.name && in_own_zone(record.zone)) {
                addresses.push_back(record.peer_address);
            }
        }
        return addresses;
    }
    for (const auto& [name, member] : m_view.members()) {
        if (in_own_zone(member.status.zone) && is_fresh_active(member, now)) {
            addresses.push_back(member.status.peer_address);
        }
    }
    if (addresses.empty()) {
        add_first_hosts(m_own.zone, 2 * min_active_hosts_per_zone, addresses);
    }
    return addresses;
}

std::vector<std::string> active_role::heartbeat_targets_elsewhere(time_point now) const {
    if (!shares_work(now)) {
        return {};
    }
    std::set<zone_name> unheard_zones;
    std::set<std::string> hosts;
    for (const auto& [name, record] : m_view.records()) {
        if (!in_own_zone(record.zone)) {
            unheard_zones.insert(record.zone);
        }
    }
    for (const auto& [name, member] : m_view.members()) {
        const auto& status = member.status;
        if (in_own_zone(status.zone) || !status.shares_work) {
            continue;
        }
        hosts.insert(name);
        if (is_fresh_active(member, now)) {
            unheard_zones.erase(status.zone);
            // Others that are active there may not have heard of this daemon yet.
            hosts.insert(status.chosen_hosts.begin(), status.chosen_hosts.end());
        }
    }
    std::vector<std::string> addresses;
    for (const auto& host : hosts) {
        const auto record = m_view.records().find(host);
        if (record != m_view.records().end()) {
            addresses.push_back(record->second.peer_address);
        }
    }
    // The hosts that are most likely active there.
    for (const auto& zone : unheard_zones) {
        add_first_hosts(zone, 2 * min_active_hosts_per_zone, addresses);
    }
    return addresses;
}

std::vector<std::string> active_role::work_targets() const {
    std::vector<std::string> addresses;
    for (const auto& [name, member] : m_view.members()) {
        if (member.status.shares_work) {
            addresses.push_back(member.status.peer_address);
        }
    }
    return addresses;
}

}  // namespace verbenahold::serving
