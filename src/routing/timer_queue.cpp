#include "timer_queue.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

timer_queue::subscription timer_queue::add(time_point due, duration period, callback action) {
    const subscription id = ++m_last_id;
    m_entries.emplace(id, entry{std::move(action), period, due});
    m_queue.emplace(due, id);
    return id;
}

void timer_queue::remove(subscription which) {
    const auto found = m_entries.find(which);
    if (found == m_entries.end()) {
        return;
    }
    const auto [first, last] = m_queue.equal_range(found->second.due);
    const auto queued = std::find_if(first, last, [&](const auto& item) { return item.second == which; });
    if (queued != last) {
        m_queue.erase(queued);
    }
    m_entries.erase(found);
}

std::optional<time_point> timer_queue::next_due() const {
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return m_queue.begin()->first;
}

void timer_queue::run_due(const std::function<time_point()>& now) {
    while (!m_queue.empty() && m_queue.begin()->first <= now()) {
        const subscription id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        const auto found = m_entries.find(id);
        const callback action = found->second.action;
        if (found->second.period > duration::zero()) {
            found->second.due = std::max(found->second.due + found->second.period, now());
            m_queue.emplace(found->second.due, id);
        } else {
            m_entries.erase(found);
        }
        action();
    }
}

}  // namespace verbenahold
