// This daemon's share of the retry budget, which all daemons together must stay
// within. There is no central counter: each daemon may retry a fraction of its
// own requests plus an equal share of the fixed allowance.
#pragma once

#include "verbenahold/types.hpp"

#include <deque>
#include <map>

namespace verbenahold::serving {

struct repeat_limits {
    // Retries allowed for each request in the window.
    double ratio = 0.2;
    // Further retries allowed in the window, for all daemons together.
    double allowance = 10;
    duration window = std::chrono::seconds(10);
};

// Fraction of the budget that is used. The margin is needed because the windows
// of the daemons slide independently and each daemon counts only the requests
// that arrive at it.
inline constexpr double used_part_of_budget = 0.7;

class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : m_limits(limits) {}

    void set_limits(repeat_limits limits) { m_limits = limits; }
    void on_request(const service_name& service, time_point now);
    // Charges one retry to the budget; false if the budget is exhausted.
    bool take(const service_name& service, int daemons, time_point now);

private:
    struct counted {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };

    void expire(counted& counts, time_point now) const;

    repeat_limits m_limits;
    std::map<service_name, counted> m_services;
};

}  // namespace verbenahold::serving
