#include "retry_budget_share.hpp"

#include <algorithm>

namespace verbenahold::serving {

void retry_budget_share::expire(service_history& history, time_point now) const {
    for (auto* times : {&history.requests, &history.retries}) {
        while (!times->empty() && times->front() <= now - m_limits.window) {
            times->pop_front();
        }
    }
}

void retry_budget_share::on_request(const service_name& service, time_point now) {
    auto& history = m_services[service];
    expire(history, now);
    history.requests.push_back(now);
}

bool retry_budget_share::take(const service_name& service, int daemons, time_point now) {
    auto& history = m_services[service];
    expire(history, now);
    const double earned = m_limits.ratio * static_cast<double>(history.requests.size());
    const double own_share = earned + m_limits.allowance / std::max(1, daemons);
    if (static_cast<double>(history.retries.size()) + 1 > own_share * usable_budget_fraction) {
        return false;
    }
    history.retries.push_back(now);
    return true;
}

}  // namespace verbenahold::serving
