// Assigns each backend server to an owner daemon by rendezvous hashing over the
// live, non-leaving daemons, preferring those in the server's zone.
#pragma once

#include "backend_server.hpp"
#include "membership.hpp"

#include "verbenahold/records.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace verbenahold {

struct ownership_change {
    std::vector<backend_server> gained;
    // Servers that this daemon owned and that now have another owner or have left
    // the host list.
    std::vector<backend_server> lost;
    // Servers that this daemon keeps and whose address or leaving mark changed.
    std::vector<backend_server> refreshed;
};

class ownership {
public:
    explicit ownership(daemon_id self, zone_name zone);

    // Replaces the known servers by those of the host list.
    void set_servers(std::span<const host_entry> hosts);
    // Updates the owners after a change of members, servers or zones and returns
    // what changed for this daemon. Returns at once if nothing changed. A new daemon
    // costs one hash for each server of its zone; a dead one costs, for each server
    // that it owned, one hash for each daemon of the zone.
    ownership_change update(const membership& members, const config_snapshot& config);

    [[nodiscard]] std::optional<daemon_id> owner_of(const server_name& server) const;
    // The owner before the last change of owner, if any.
    [[nodiscard]] std::optional<daemon_id> previous_owner_of(const server_name& server) const;
    [[nodiscard]] bool owns(const server_name& server) const;
    [[nodiscard]] const backend_server* find(const server_name& server) const;
    [[nodiscard]] std::span<const backend_server> servers() const;

private:
    // Ownership of one server; same index as m_servers.
    struct assignment {
        std::uint64_t key_hash = 0;
        std::uint64_t owner_weight = 0;
        std::optional<daemon_id> owner;
        std::optional<daemon_id> previous_owner;
        // Whether the changes returned so far make this daemon the owner.
        bool reported_owned = false;
    };
    // Where the owners of the servers of one zone come from: daemons of that zone,
    // else of all zones that are not out, else of all zones.
    enum class pool_tier : std::uint8_t { own_zone, zones_in, all };
    struct zone_pool {
        pool_tier tier = pool_tier::all;
        std::map<host_name, daemon_id> daemons;
    };
    using daemon_map = std::map<zone_name, std::map<host_name, daemon_id>>;

    void add_server(const backend_server& server);
    void remove_server(std::size_t index);
    void set_owner(std::size_t index, const daemon_id* owner, std::uint64_t weight);
    void choose_owner(std::size_t index);
    [[nodiscard]] daemon_map eligible_daemons(const membership& members) const;
    [[nodiscard]] zone_pool make_pool(const zone_name& zone, const daemon_map& daemons,
                                      const config_snapshot& config) const;
    void update_zone(const zone_name& zone, zone_pool pool);
    void remove_daemons_from_zone(const zone_name& zone, const std::set<daemon_id>& gone);
    void add_daemon_to_zone(const zone_name& zone, const daemon_id& added);
    ownership_change collect_changes();

    daemon_id m_self;
    zone_name m_zone;
    std::vector<backend_server> m_servers;
    std::vector<assignment> m_assignments;
    std::unordered_map<server_name, std::size_t> m_index;
    std::map<zone_name, std::vector<server_name>> m_by_zone;
    std::map<zone_name, zone_pool> m_pools;
    // Changes that update() has not returned yet.
    std::set<server_name> m_owner_changed;
    std::set<server_name> m_added;
    std::vector<backend_server> m_removed;
    std::set<server_name> m_refreshed;
    std::uint64_t m_last_view_version = 0;
    std::uint64_t m_last_config_version = 0;
    bool m_updated_once = false;
};

// Weight of a daemon for a server. The daemon with the highest weight is the owner.
std::uint64_t rendezvous_weight(const server_name& server, const daemon_id& daemon);

}  // namespace verbenahold
