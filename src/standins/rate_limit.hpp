// Token bucket that holds at most one second's rate, for the limits of the
// stand-ins.
#pragma once

#include <algorithm>
#include <chrono>

#include "verbenahold/types.hpp"

namespace verbenahold::standins {

class rate_limit {
public:
    // Zero or less: no limit.
    explicit rate_limit(double per_second) : m_rate(per_second), m_level(per_second) {}

    // Whether `amount` fits the limit now; takes it if so.
    bool take(double amount, time_point now) {
        if (m_rate <= 0) {
            return true;
        }
        const double passed = std::chrono::duration<double>(now - m_refilled).count();
        m_refilled = now;
        m_level = std::min(m_rate, m_level + passed * m_rate);
        if (m_level < amount) {
            return false;
        }
        m_level -= amount;
        return true;
    }

private:
    double m_rate = 0;
    double m_level = 0;
    time_point m_refilled{};
};

}  // namespace verbenahold::standins
