#include "cold_start_window.hpp"

#include <algorithm>

namespace verbenahold {

void cold_start_window::configure(int cold_capacity, int warm_capacity) {
    m_cold_capacity = std::max(1, cold_capacity);
    m_warm_capacity = std::max(1, warm_capacity);
    m_window = std::clamp(m_window, 1, m_warm_capacity);
}

void cold_start_window::reset() {
    m_window = std::clamp(m_cold_capacity / 2, 1, m_warm_capacity);
    m_completions = 0;
    ++m_epoch;
}

void cold_start_window::on_completed(std::uint64_t epoch_at_start, int max_in_flight) {
    const bool counts = epoch_at_start == m_epoch && max_in_flight >= m_window;
    if (!counts)
        return;
    if (is_before_growth())
        ++m_completions;
    if (!is_before_growth() && m_window < m_warm_capacity)
        ++m_window;
}

}  // namespace verbenahold
