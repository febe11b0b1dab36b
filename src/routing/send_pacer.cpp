#include "send_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

bool send_pacer::may_send(const server_name& server, const service& of, int daemons, time_point now) {
    if (of.cold_requests_per_second <= 0) {
        return true;
    }
    auto& sent = m_sent[server];
    while (!sent.empty() && sent.front() <= now - pacing_window) {
        sent.pop_front();
    }
    const double all = of.cold_requests_per_second * m_bound.overage + m_bound.slack;
    const double own = std::max(1.0, std::floor(all / std::max(1, daemons)));
    return static_cast<double>(sent.size()) < own;
}

void send_pacer::on_sent(const server_name& server, time_point now) {
    m_sent[server].push_back(now);
}

}  // namespace verbenahold::serving
