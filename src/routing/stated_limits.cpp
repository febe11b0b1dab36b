#include "stated_limits.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

bool stated_limits::on_statement(const limit_statement& statement, time_point now) {
    std::erase_if(m_servers, [&](const auto& entry) {
        return !entry.second.requests_per_second && now - entry.second.stated_at > ended_limit_retention;
    });
    const auto found = m_servers.find(statement.server);
    if (found == m_servers.end()) {
        if (!statement.requests_per_second) {
            return false;
        }
        m_servers[statement.server] = {statement.requests_per_second, statement.at, 0, now, draw_threshold()};
        return true;
    }
    auto& known = found->second;
    if (statement.at < known.stated_at) {
        return false;
    }
    const bool changed = known.requests_per_second != statement.requests_per_second;
    if (!known.requests_per_second) {
        known.allowance = 0;
        known.allowance_at = now;
    }
    known.requests_per_second = statement.requests_per_second;
    known.stated_at = statement.at;
    return changed;
}

double stated_limits::rate_of(const limited_server& server) const {
    return std::max(*server.requests_per_second, min_stated_rate) * m_share;
}

double stated_limits::most_debt(const limited_server& server) const {
    return -std::max(1.0, rate_of(server) * seconds_of(max_debt_time));
}

void stated_limits::refill(limited_server& server, time_point now) const {
    const double rate = rate_of(server);
    const double most = std::max(min_limit_burst, rate * seconds_of(limit_burst_time));
    const double gained = rate * seconds_of(now - server.allowance_at);
    server.allowance = std::min(server.allowance + gained, most);
    server.allowance_at = now;
}

double stated_limits::draw_threshold() {
    return std::uniform_real_distribution<double>(1, min_limit_burst)(m_random);
}

void stated_limits::on_sent(const server_name& server, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.requests_per_second) {
        refill(found->second, now);
        found->second.allowance = std::max(found->second.allowance - 1, most_debt(found->second));
        found->second.threshold = draw_threshold();
    }
}

bool stated_limits::may_send(const server_name& server, time_point now) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.requests_per_second) {
        return true;
    }
    refill(found->second, now);
    return found->second.allowance >= found->second.threshold;
}

std::vector<limit_statement> stated_limits::list_recent(time_point now) const {
    std::vector<limit_statement> recent;
    for (const auto& [server, known] : m_servers) {
        if (now - known.stated_at < statement_announcement_time) {
            recent.push_back({server, known.requests_per_second, known.stated_at});
        }
    }
    std::sort(recent.begin(), recent.end(), [](const auto& left, const auto& right) { return left.at > right.at; });
    return recent;
}

std::size_t stated_limits::size() const {
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(),
                                                  [](const auto& entry) { return entry.second.requests_per_second; }));
}

}  // namespace verbenahold::serving
