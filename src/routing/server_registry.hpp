// The backend servers that may be used, from the entries that they keep in the
// platform's store, from the evacuations that operators ask for and from what
// requests saw of them.
#pragma once

#include "desired_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenahold::serving {

enum class server_phase { ready, draining };

// One server as its own entry describes it.
struct server_entry {
    server_name id;
    service_name service;
    // IPv4 address and port.
    std::string address;
    zone_name zone;
    int slots = 1;
    server_phase phase = server_phase::ready;
    // Unix milliseconds of its start; 0 if unknown. A server may start again
    // under the same id.
    std::int64_t started_at_unix_ms = 0;
};

// How long after the store's return an entry that lapsed meanwhile is still
// used: live servers are back in the list two seconds after it.
inline constexpr duration lapsed_entry_grace = std::chrono::milliseconds(1'900);
// First and longest time that a server is avoided after failures; it doubles
// with each failure that follows the end of the last avoidance within a while.
inline constexpr duration first_avoidance = std::chrono::milliseconds(800);
inline constexpr duration longest_avoidance = std::chrono::seconds(4);

class server_registry {
public:
    // Replaces the entry of one server.
    void update(const server_entry& entry, time_point now);
    // The server's entry is gone. It may have lapsed while the store was away:
    // the server stays in use until the grace has passed since the trouble was
    // last seen, if any was.
    void remove(const server_name& id, std::optional<time_point> last_trouble, time_point now);
    // Zones whose servers get no new work.
    void set_evacuated(std::set<zone_name> zones) { m_evacuated = std::move(zones); }
    [[nodiscard]] const std::set<zone_name>& evacuated() const { return m_evacuated; }

    // A request failed at the server in a way that speaks against it.
    void report_failure(const server_name& id, time_point now);
    void report_success(const server_name& id);

    // Servers of a service that may get new work now. Servers that failed
    // lately are left out unless no other is left.
    [[nodiscard]] std::vector<const server_entry*> usable(const service_name& service, time_point now) const;
    // The same with those that failed lately.
    [[nodiscard]] std::vector<const server_entry*> in_use(const service_name& service, time_point now) const;
    // Null for a server that may not get new work.
    [[nodiscard]] const server_entry* find(const server_name& id, time_point now) const;
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }

private:
    struct known_server {
        server_entry entry;
        // Set when the entry is gone and only the grace keeps the server.
        std::optional<time_point> expires;
        time_point avoided_until{};
        int recent_failures = 0;
    };

    [[nodiscard]] bool may_use(const known_server& server, time_point now) const;

    std::map<server_name, known_server> m_servers;
    std::set<zone_name> m_evacuated;
};

}  // namespace verbenahold::serving
