#include "connection_pool.hpp"

#include <algorithm>

namespace verbenahold::serving {

duration connection_pool::lifetime(const server_connection& connection) {
    if (connection.announced_idle_seconds() == 0) {
        return default_max_idle_time;
    }
    // The server's idle time starts before this daemon's, when it sends the
    // answer; a quarter is subtracted as a margin.
    return std::chrono::milliseconds(connection.announced_idle_seconds() * 750);
}

std::shared_ptr<server_connection> connection_pool::take(const std::string& address, duration max_idle) {
    auto& idle = m_idle[address];
    const auto now = m_timers.now();
    while (!idle.empty()) {
        // The most recently used one is the least likely to be closed.
        auto candidate = std::move(idle.back());
        idle.pop_back();
        const auto limit = std::min(max_idle, lifetime(*candidate.connection));
        if (candidate.connection->is_reusable() && now - candidate.since < limit) {
            return candidate.connection;
        }
        candidate.connection->close();
    }
    return open(address);
}

std::shared_ptr<server_connection> connection_pool::open(const std::string& address) {
    ++m_opened;
    return std::make_shared<server_connection>(m_loop, m_timers.guard(), address);
}

void connection_pool::put_back(const std::shared_ptr<server_connection>& connection) {
    if (connection->is_reusable()) {
        m_idle[connection->address()].push_back({connection, m_timers.now()});
    }
}

void connection_pool::expire() {
    const auto now = m_timers.now();
    for (auto& [address, idle] : m_idle) {
        std::erase_if(idle, [&](const idle_connection& kept) {
            if (kept.connection->is_reusable() && now - kept.since < lifetime(*kept.connection)) {
                return false;
            }
            kept.connection->close();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::drop(const std::string& address) {
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (const auto& idle : found->second) {
        idle.connection->close();
    }
    m_idle.erase(found);
}

}  // namespace verbenahold::serving
