#include "send_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

void send_pacer::expire(std::deque<time_point>& sent, time_point now) {
    while (!sent.empty() && sent.front() <= now - pacing_window) {
        sent.pop_front();
    }
}

bool send_pacer::may_send(const server_name& server, const service& target, int daemons, time_point now) {
    if (target.cold_requests_per_second <= 0) {
        return true;
    }
    auto& sent = m_sent[server];
    expire(sent, now);
    const double total = target.cold_requests_per_second * m_bound.overage + m_bound.slack;
    const double own_share = std::max(1.0, std::floor(total / std::max(1, daemons)));
    return static_cast<double>(sent.size()) < own_share;
}

void send_pacer::on_sent(const server_name& server, time_point now) {
    auto& sent = m_sent[server];
    expire(sent, now);
    sent.push_back(now);
}

}  // namespace verbenahold::serving
