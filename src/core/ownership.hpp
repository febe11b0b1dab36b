// Which daemon owns which backend server, by rendezvous hashing over the live,
// non-leaving daemons, preferring those in the server's own zone.
#pragma once

#include "backend_server.hpp"
#include "membership.hpp"

#include "verbenahold/records.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace verbenahold {

struct ownership_change {
    std::vector<backend_server> gained;
    // Servers that another daemon owns now or that left the host list.
    std::vector<backend_server> lost;
};

class ownership {
public:
    explicit ownership(daemon_id self, zone_name zone);

    // Replaces the known servers by those of the host list.
    void set_servers(std::span<const host_entry> hosts);
    // Recomputes owners after a change of members, servers or zones. Cheap
    // when nothing changed.
    ownership_change update(const membership& members, const config_snapshot& config);

    [[nodiscard]] std::optional<daemon_id> owner_of(const server_name& server) const;
    // Owner before the last change of owner, if there was one.
    [[nodiscard]] std::optional<daemon_id> previous_owner_of(const server_name& server) const;
    [[nodiscard]] bool owns(const server_name& server) const;
    [[nodiscard]] const backend_server* find(const server_name& server) const;
    [[nodiscard]] std::span<const backend_server> servers() const;
};

// Weight of a daemon for a server; the highest wins.
std::uint64_t rendezvous_weight(const server_name& server, const daemon_id& daemon);

}  // namespace verbenahold
