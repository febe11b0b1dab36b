#include "server_registry.hpp"

#include <algorithm>

namespace verbenahold::serving {

void server_registry::update(const server_entry& entry, time_point now) {
    auto& known = m_servers[entry.id];
    if (known.entry.started_at_unix_ms != entry.started_at_unix_ms) {
        known.ejected_until = now;
        known.recent_failures = 0;
    }
    known.entry = entry;
    known.expires.reset();
}

void server_registry::remove(const server_name& id, std::optional<time_point> last_store_trouble, time_point now) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    if (!last_store_trouble || now >= *last_store_trouble + lapsed_entry_grace) {
        m_servers.erase(found);
    } else if (!found->second.expires) {
        found->second.expires = *last_store_trouble + lapsed_entry_grace;
    }
}

bool server_registry::is_draining_run(const server_entry& entry) const {
    const auto found = m_servers.find(entry.id);
    return found != m_servers.end() && found->second.entry.phase == server_phase::draining &&
           entry.phase != server_phase::draining && entry.started_at_unix_ms != 0 &&
           found->second.entry.started_at_unix_ms == entry.started_at_unix_ms;
}

void server_registry::report_failure(const server_name& id, time_point now) {
    const auto found = m_servers.find(id);
    if (found == m_servers.end()) {
        return;
    }
    auto& server = found->second;
    if (server.ejected_until > now) {
        return;
    }
    const auto wait = first_ejection_time * (1 << std::min(server.recent_failures, 4));
    ++server.recent_failures;
    server.ejected_until = now + std::min(wait, max_ejection_time);
}

void server_registry::report_success(const server_name& id) {
    const auto found = m_servers.find(id);
    if (found != m_servers.end()) {
        found->second.recent_failures = 0;
    }
}

bool server_registry::accepts_requests(const known_server& server, time_point now) const {
    if (server.entry.phase != server_phase::ready || m_evacuated.contains(server.entry.zone)) {
        return false;
    }
    return !server.expires || now < *server.expires;
}

std::vector<const server_entry*> server_registry::usable(const service_name& service, time_point now) const {
    std::vector<const server_entry*> healthy;
    std::vector<const server_entry*> ejected;
    for (const auto& [id, server] : m_servers) {
        if (server.entry.service != service || !accepts_requests(server, now)) {
            continue;
        }
        (server.ejected_until > now ? ejected : healthy).push_back(&server.entry);
    }
    return healthy.empty() ? ejected : healthy;
}

std::vector<const server_entry*> server_registry::usable_or_ejected(const service_name& service, time_point now) const {
    std::vector<const server_entry*> found;
    for (const auto& [id, server] : m_servers) {
        if (server.entry.service == service && accepts_requests(server, now)) {
            found.push_back(&server.entry);
        }
    }
    return found;
}

const server_entry* server_registry::find(const server_name& id, time_point now) const {
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !accepts_requests(found->second, now)) {
        return nullptr;
    }
    return &found->second.entry;
}

}  // namespace verbenahold::serving
