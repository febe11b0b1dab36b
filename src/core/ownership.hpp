// Which daemon owns which backend server, by rendezvous hashing over the live,
// non-leaving daemons, preferring those in the server's own zone.
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
    // Servers of this daemon that another daemon owns now or that left the
    // host list.
    std::vector<backend_server> lost;
    // Servers that stay with this daemon and whose address or leaving mark is
    // new.
    std::vector<backend_server> refreshed;
};

class ownership {
public:
    explicit ownership(daemon_id self, zone_name zone);

    // Replaces the known servers by those of the host list.
    void set_servers(std::span<const host_entry> hosts);
    // Recomputes owners after a change of members, servers or zones. Cheap
    // when nothing changed; one joined or dead daemon costs one hash for each
    // server of its zone, or for each daemon of the zone and server it owned.
    ownership_change update(const membership& members, const config_snapshot& config);

    [[nodiscard]] std::optional<daemon_id> owner_of(const server_name& server) const;
    // Owner before the last change of owner, if there was one.
    [[nodiscard]] std::optional<daemon_id> previous_owner_of(const server_name& server) const;
    [[nodiscard]] bool owns(const server_name& server) const;
    [[nodiscard]] const backend_server* find(const server_name& server) const;
    [[nodiscard]] std::span<const backend_server> servers() const;

private:
    // Ownership of one server; same index as m_servers.
    struct assignment {
        std::uint64_t key_hash = 0;
        std::uint64_t weight = 0;
        std::optional<daemon_id> owner;
        std::optional<daemon_id> previous;
        // What the composing class was last told.
        bool told = false;
    };
    // Daemons that own the servers of one zone, and how they were chosen.
    enum class pool_tier : std::uint8_t { own_zone, zones_in, all };
    struct zone_pool {
        pool_tier tier = pool_tier::all;
        std::map<host_name, daemon_id> daemons;
    };
    using daemon_map = std::map<zone_name, std::map<host_name, daemon_id>>;

    void add_server(const backend_server& server);
    void remove_server(std::size_t index);
    void note_owner(std::size_t index, const daemon_id* owner, std::uint64_t weight);
    void choose_owner(std::size_t index);
    [[nodiscard]] daemon_map eligible(const membership& members) const;
    [[nodiscard]] zone_pool make_pool(const zone_name& zone, const daemon_map& daemons,
                                      const config_snapshot& config) const;
    void update_zone(const zone_name& zone, zone_pool pool);
    void drop_from_zone(const zone_name& zone, const std::set<daemon_id>& gone);
    void add_to_zone(const zone_name& zone, const daemon_id& added);
    ownership_change collect_changes();

    daemon_id m_self;
    zone_name m_zone;
    std::vector<backend_server> m_servers;
    std::vector<assignment> m_assignments;
    std::unordered_map<server_name, std::size_t> m_index;
    std::map<zone_name, std::vector<server_name>> m_by_zone;
    std::map<zone_name, zone_pool> m_pools;
    // Changes that update has not reported yet.
    std::set<server_name> m_touched;
    std::set<server_name> m_new;
    std::vector<backend_server> m_removed;
    std::set<server_name> m_refreshed;
    std::uint64_t m_seen_view = 0;
    std::uint64_t m_seen_config = 0;
    bool m_seen_any = false;
};

// Weight of a daemon for a server; the highest wins.
std::uint64_t rendezvous_weight(const server_name& server, const daemon_id& daemon);

}  // namespace verbenahold
