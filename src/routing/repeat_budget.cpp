#include "repeat_budget.hpp"

#include <algorithm>

namespace verbenahold::serving {

void repeat_budget::expire(counted& counts, time_point now) const {
    for (auto* times : {&counts.requests, &counts.repeats}) {
        while (!times->empty() && times->front() <= now - m_limits.window) {
            times->pop_front();
        }
    }
}

void repeat_budget::on_request(const service_name& service, time_point now) {
    auto& counts = m_services[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool repeat_budget::take(const service_name& service, int daemons, time_point now) {
    auto& counts = m_services[service];
    expire(counts, now);
    const double earned = m_limits.ratio * static_cast<double>(counts.requests.size());
    const double own = earned + m_limits.allowance / std::max(1, daemons);
    if (static_cast<double>(counts.repeats.size()) + 1 > own * used_part_of_budget) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

}  // namespace verbenahold::serving
