#include "ownership.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

backend_server server_from(const host_entry& host) {
    return {server_name(host.host.value), host.zone, host.service, host.server_endpoint,
            host.state == host_state::leaving};
}

}  // namespace

std::uint64_t rendezvous_weight(const server_name& server, const daemon_id& daemon) {
    return rendezvous_weight(hash_text(server.value), daemon.host.value);
}

ownership::ownership(daemon_id self, zone_name zone) : m_self(std::move(self)), m_zone(std::move(zone)) {}

// ---- servers

void ownership::add_server(const backend_server& server) {
    m_index[server.name] = m_servers.size();
    m_by_zone[server.zone].push_back(server.name);
    m_servers.push_back(server);
    assignment fresh;
    fresh.key_hash = hash_text(server.name.value);
    m_assignments.push_back(std::move(fresh));
    m_added.insert(server.name);
}

void ownership::remove_server(std::size_t index) {
    const backend_server removed = m_servers[index];
    if (m_assignments[index].reported_owned) {
        m_removed.push_back(removed);
    }
    std::erase(m_by_zone[removed.zone], removed.name);
    m_index.erase(removed.name);
    m_owner_changed.erase(removed.name);
    m_refreshed.erase(removed.name);
    m_added.erase(removed.name);
    if (index + 1 != m_servers.size()) {
        m_servers[index] = std::move(m_servers.back());
        m_assignments[index] = std::move(m_assignments.back());
        m_index[m_servers[index].name] = index;
    }
    m_servers.pop_back();
    m_assignments.pop_back();
}

void ownership::set_servers(std::span<const host_entry> hosts) {
    std::vector<bool> listed(m_servers.size(), false);
    std::vector<backend_server> added;
    for (const host_entry& host : hosts) {
        if (host.role != host_role::backend) {
            continue;
        }
        backend_server server = server_from(host);
        const auto found = m_index.find(server.name);
        if (found == m_index.end()) {
            added.push_back(std::move(server));
            continue;
        }
        backend_server& known = m_servers[found->second];
        if (known.zone != server.zone || known.service != server.service) {
            // A different server with the same name: the old one is removed.
            added.push_back(std::move(server));
            continue;
        }
        listed[found->second] = true;
        if (known != server) {
            known = std::move(server);
            m_refreshed.insert(known.name);
        }
    }
    for (std::size_t index = m_servers.size(); index-- > 0;) {
        if (!listed[index]) {
            remove_server(index);
        }
    }
    for (const backend_server& server : added) {
        if (!m_index.contains(server.name)) {
            add_server(server);
        }
    }
}

// ---- owners

void ownership::set_owner(std::size_t index, const daemon_id* owner, std::uint64_t weight) {
    assignment& current = m_assignments[index];
    current.owner_weight = weight;
    const bool same = owner == nullptr ? !current.owner.has_value() : current.owner == *owner;
    if (same) {
        return;
    }
    if (current.owner) {
        current.previous_owner = std::move(current.owner);
    }
    current.owner = owner == nullptr ? std::nullopt : std::optional(*owner);
    m_owner_changed.insert(m_servers[index].name);
}

void ownership::choose_owner(std::size_t index) {
    const zone_pool& pool = m_pools[m_servers[index].zone];
    const daemon_id* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& [host, daemon] : pool.daemons) {
        const std::uint64_t weight = rendezvous_weight(m_assignments[index].key_hash, host.value);
        if (best == nullptr || weight > best_weight) {
            best = &daemon;
            best_weight = weight;
        }
    }
    set_owner(index, best, best_weight);
}

ownership::daemon_map ownership::eligible_daemons(const membership& members) const {
    daemon_map daemons;
    for (const member& known : members.members()) {
        if (known.state == member_state::alive || known.state == member_state::suspect) {
            daemons[known.zone][known.daemon.host] = known.daemon;
        }
    }
    if (members.joined() && !members.leaving()) {
        daemons[m_zone][m_self.host] = m_self;
    }
    return daemons;
}

ownership::zone_pool ownership::make_pool(const zone_name& zone, const daemon_map& daemons,
                                          const config_snapshot& config) const {
    if (const auto own = daemons.find(zone); own != daemons.end()) {
        return {pool_tier::own_zone, own->second};
    }
    zone_pool in_zones{pool_tier::zones_in, {}};
    zone_pool all{pool_tier::all, {}};
    for (const auto& [other, hosts] : daemons) {
        all.daemons.insert(hosts.begin(), hosts.end());
        if (!config.is_zone_out(other)) {
            in_zones.daemons.insert(hosts.begin(), hosts.end());
        }
    }
    return in_zones.daemons.empty() ? all : in_zones;
}

void ownership::remove_daemons_from_zone(const zone_name& zone, const std::set<daemon_id>& gone) {
    for (const server_name& name : m_by_zone[zone]) {
        const std::size_t index = m_index[name];
        const auto& owner = m_assignments[index].owner;
        if (owner && gone.contains(*owner)) {
            choose_owner(index);
        }
    }
}

void ownership::add_daemon_to_zone(const zone_name& zone, const daemon_id& added) {
    for (const server_name& name : m_by_zone[zone]) {
        const std::size_t index = m_index[name];
        const assignment& current = m_assignments[index];
        const std::uint64_t weight = rendezvous_weight(current.key_hash, added.host.value);
        // With equal weights the lower host name wins, as in choose_owner().
        const bool wins = !current.owner || weight > current.owner_weight ||
                          (weight == current.owner_weight && added.host < current.owner->host);
        if (wins) {
            set_owner(index, &added, weight);
        }
    }
}

void ownership::update_zone(const zone_name& zone, zone_pool pool) {
    zone_pool& current = m_pools[zone];
    const zone_pool old = std::exchange(current, std::move(pool));
    std::set<daemon_id> gone;
    for (const auto& [host, daemon] : old.daemons) {
        const auto kept = current.daemons.find(host);
        if (kept == current.daemons.end() || kept->second != daemon) {
            gone.insert(daemon);
        }
    }
    if (!gone.empty()) {
        remove_daemons_from_zone(zone, gone);
    }
    for (const auto& [host, daemon] : current.daemons) {
        const auto before = old.daemons.find(host);
        if (before == old.daemons.end() || before->second != daemon) {
            add_daemon_to_zone(zone, daemon);
        }
    }
}

ownership_change ownership::collect_changes() {
    ownership_change change;
    change.lost = std::exchange(m_removed, {});
    for (const server_name& name : std::exchange(m_owner_changed, {})) {
        const std::size_t index = m_index[name];
        assignment& current = m_assignments[index];
        const bool owned = current.owner == m_self;
        if (owned && !current.reported_owned) {
            change.gained.push_back(m_servers[index]);
        } else if (!owned && current.reported_owned) {
            change.lost.push_back(m_servers[index]);
        } else if (!owned) {
            m_refreshed.erase(name);
        }
        if (owned != current.reported_owned) {
            m_refreshed.erase(name);
        }
        current.reported_owned = owned;
    }
    for (const server_name& name : std::exchange(m_refreshed, {})) {
        if (owns(name)) {
            change.refreshed.push_back(*find(name));
        }
    }
    return change;
}

ownership_change ownership::update(const membership& members, const config_snapshot& config) {
    const bool same_members = m_updated_once && m_last_view_version == members.view_version();
    const bool same_zones = m_updated_once && m_last_config_version == config.version();
    const bool same_servers = m_added.empty() && m_removed.empty() && m_refreshed.empty();
    if (same_members && same_zones && same_servers) {
        return {};
    }
    if (!same_members || !same_zones || !m_added.empty()) {
        const daemon_map daemons = eligible_daemons(members);
        for (const auto& [zone, names] : m_by_zone) {
            update_zone(zone, make_pool(zone, daemons, config));
        }
    }
    for (const server_name& name : std::exchange(m_added, {})) {
        choose_owner(m_index[name]);
    }
    m_updated_once = true;
    m_last_view_version = members.view_version();
    m_last_config_version = config.version();
    return collect_changes();
}

// ---- queries

std::optional<daemon_id> ownership::owner_of(const server_name& server) const {
    const auto found = m_index.find(server);
    return found == m_index.end() ? std::nullopt : m_assignments[found->second].owner;
}

std::optional<daemon_id> ownership::previous_owner_of(const server_name& server) const {
    const auto found = m_index.find(server);
    return found == m_index.end() ? std::nullopt : m_assignments[found->second].previous_owner;
}

bool ownership::owns(const server_name& server) const {
    return owner_of(server) == m_self;
}

const backend_server* ownership::find(const server_name& server) const {
    const auto found = m_index.find(server);
    return found == m_index.end() ? nullptr : &m_servers[found->second];
}

std::span<const backend_server> ownership::servers() const {
    return m_servers;
}

}  // namespace verbenahold
