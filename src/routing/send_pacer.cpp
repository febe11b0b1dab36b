#include "send_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

bool send_pacer::may_send(const server_name& server, const service& target, int daemons, time_point now) {
    if (target.cold_requests_per_second <= 0) {
        return true;
    }
    auto& sent = m_sent[server];
    while (!sent.empty() && sent.front() <= now - pacing_window) {
        sent.pop_front();
    }
    const double total = target.cold_requests_per_second * m_bound.overage + m_bound.slack;
    const double own_share = std::max(1.0, std::floor(total / std::max(1, daemons)));
    return static_cast<double>(sent.size()) < own_share;
}

void send_pacer::on_sent(const server_name& server, time_point now) {
    m_sent[server].push_back(now);
}

}  // namespace verbenahold::serving
