#include "timer_service.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

timer_service::timer_service(QObject* parent) : QObject(parent) {
    m_clock.start();
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    connect(&m_timer, &QTimer::timeout, this, [this] { run_due(); });
}

time_point timer_service::now() const {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::nanoseconds(m_clock.nsecsElapsed())));
}

timer_service::subscription timer_service::every(duration period, callback action) {
    return add(period, period, std::move(action));
}

timer_service::subscription timer_service::after(duration delay, callback action) {
    return add(delay, duration::zero(), std::move(action));
}

timer_service::subscription timer_service::add(duration delay, duration period, callback action) {
    const subscription id = ++m_last;
    const time_point due = now() + delay;
    m_entries.emplace(id, entry{std::move(action), period, due});
    m_queue.emplace(due, id);
    arm();
    return id;
}

void timer_service::unsubscribe(subscription which) {
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

void timer_service::arm() {
    if (m_queue.empty()) {
        m_timer.stop();
        return;
    }
    const duration wait = std::max(duration::zero(), m_queue.begin()->first - now());
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void timer_service::run_due() {
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
    arm();
}

}  // namespace verbenahold
