#include "retry_budget.hpp"

#include <algorithm>

namespace verbenahold {

void retry_budget::on_completed() {
    m_credit = std::min(max_retry_credit, m_credit + retry_credit_per_completion);
}

bool retry_budget::try_take() {
    // The sum of ten credits of 0.1 is slightly less than 1.
    constexpr double rounding = 1e-9;
    if (m_credit < 1 - rounding) {
        return false;
    }
    m_credit = std::max(0.0, m_credit - 1);
    return true;
}

double retry_budget::credit() const {
    return m_credit;
}

}  // namespace verbenahold
