// This daemon's part of the budget for sending requests once more, which all
// daemons share without a central count: a fraction of its own requests and an
// even part of the fixed allowance.
#pragma once

#include "verbenahold/types.hpp"

#include <deque>
#include <map>

namespace verbenahold::serving {

struct repeat_limits {
    // Repeats for each request of the window.
    double ratio = 0.2;
    // Repeats of all daemons together beyond that.
    double allowance = 10;
    duration window = std::chrono::seconds(10);
};

// Part of the budget that is used, since windows slide and requests are
// counted where they arrive.
inline constexpr double used_part_of_budget = 0.7;

class repeat_budget {
public:
    explicit repeat_budget(repeat_limits limits) : m_limits(limits) {}

    void set_limits(repeat_limits limits) { m_limits = limits; }
    void on_request(const service_name& service, time_point now);
    // Takes one repeat if the budget has one left.
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
