#include "cold_start.hpp"

#include <algorithm>

namespace verbenahold {

void cold_start::configure(int cold_capacity, int warm_capacity) {
    m_cold_capacity = std::max(1, cold_capacity);
    m_warm_capacity = std::max(1, warm_capacity);
    m_window = std::clamp(m_window, 1, m_warm_capacity);
}

void cold_start::reset() {
    m_window = std::clamp(m_cold_capacity / 2, 1, m_warm_capacity);
    m_completions = 0;
    ++m_epoch;
}

void cold_start::on_completed(std::uint64_t epoch_at_start, int carried) {
    const bool proven = epoch_at_start == m_epoch && carried >= m_window;
    if (!proven)
        return;
    if (is_at_start())
        ++m_completions;
    if (!is_at_start() && m_window < m_warm_capacity)
        ++m_window;
}

}  // namespace verbenahold
