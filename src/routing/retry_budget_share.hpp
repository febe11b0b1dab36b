// This daemon's share of the retry budget, which all daemons together must stay
// within. There is no central counter: each daemon may retry a fraction of its
// own requests plus an equal share of the fixed allowance.
#pragma once

#include "verbenahold/types.hpp"

#include <deque>
#include <map>

namespace verbenahold::serving {

struct retry_limits {
    // Retries allowed for each request in the window.
    double ratio = 0.2;
    // Further retries allowed in the window, for all daemons together.
    double allowance = 10;
    duration window = std::chrono::seconds(10);
};

// Fraction of the budget that is used. The margin is needed because the windows
// of the daemons slide independently and each daemon counts only the requests
// that arrive at it.
inline constexpr double usable_budget_fraction = 0.7;

class retry_budget_share {
public:
    explicit retry_budget_share(retry_limits limits) : m_limits(limits) {}

    void set_limits(retry_limits limits) { m_limits = limits; }
    void on_request(const service_name& service, time_point now);
    // Charges one retry to the budget; false if the budget is exhausted.
    bool take(const service_name& service, int daemons, time_point now);

private:
    struct service_history {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    void expire(service_history& history, time_point now) const;

    retry_limits m_limits;
    std::map<service_name, service_history> m_services;
};

}  // namespace verbenahold::serving
