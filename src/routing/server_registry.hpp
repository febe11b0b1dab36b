// The backend servers that may get requests. Combines the entries that servers
// keep in the platform's store, the zones that operators have evacuated, and
// outlier ejection after failed requests.
#pragma once

#include "desired_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenahold::serving {

enum class server_phase { ready, draining };

// A server's own entry in the store.
struct server_entry {
    server_name id;
    service_name service;
    // IPv4 address and port.
    std::string address;
    zone_name zone;
    int slots = 1;
    server_phase phase = server_phase::ready;
    // Start time in Unix milliseconds; 0 if unknown. It tells apart restarts of a
    // server under the same id.
    std::int64_t started_at_unix_ms = 0;
};

// How long a lapsed entry is still used after the store last had trouble. Live
// servers are back in the list two seconds after the store has recovered.
inline constexpr duration lapsed_entry_grace = std::chrono::milliseconds(1'900);
// First and maximum time that a server is ejected after a failure. It doubles
// with each failure after the previous ejection has ended; a success resets it.
inline constexpr duration first_ejection_time = std::chrono::milliseconds(800);
inline constexpr duration max_ejection_time = std::chrono::seconds(4);

class server_registry {
public:
    // Replaces the entry of one server.
    void update(const server_entry& entry, time_point now);
    // The server's entry was removed. If the store had trouble lately, the entry
    // may only have lapsed, so the server stays in use until the grace period
    // after the last trouble has passed.
    void remove(const server_name& id, std::optional<time_point> last_store_trouble, time_point now);
    // The registry has this run of the server as draining, though the entry says otherwise.
    [[nodiscard]] bool is_draining_run(const server_entry& entry) const;
    // Servers in evacuated zones get no new requests.
    void set_evacuated(std::set<zone_name> zones) { m_evacuated = std::move(zones); }
    [[nodiscard]] const std::set<zone_name>& evacuated() const { return m_evacuated; }

    // A request failed through the server's fault. Ejects the server.
    void report_failure(const server_name& id, time_point now);
    void report_success(const server_name& id);

    // Servers of a service that may get new requests now. Ejected servers are
    // left out unless all servers are ejected.
    [[nodiscard]] std::vector<const server_entry*> usable(const service_name& service, time_point now) const;
    // As `usable`, but always with the ejected servers.
    [[nodiscard]] std::vector<const server_entry*> usable_or_ejected(const service_name& service, time_point now) const;
    // Null for a server that may not get new requests.
    [[nodiscard]] const server_entry* find(const server_name& id, time_point now) const;
    [[nodiscard]] std::size_t size() const { return m_servers.size(); }

private:
    struct known_server {
        server_entry entry;
        // End of the grace period; set once the entry has been removed.
        std::optional<time_point> expires;
        time_point ejected_until{};
        int recent_failures = 0;
    };

    [[nodiscard]] bool accepts_requests(const known_server& server, time_point now) const;

    std::map<server_name, known_server> m_servers;
    std::set<zone_name> m_evacuated;
};

}  // namespace verbenahold::serving
