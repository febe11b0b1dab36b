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
    const subscription id = m_queue.add(now() + delay, period, std::move(action));
    arm();
    return id;
}

void timer_service::unsubscribe(subscription which) {
    m_queue.remove(which);
}

void timer_service::arm() {
    const auto due = m_queue.next_due();
    if (!due) {
        m_timer.stop();
        return;
    }
    const duration wait = std::max(duration::zero(), *due - now());
    m_timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void timer_service::run_due() {
    m_queue.run_due([this] { return now(); });
    arm();
}

}  // namespace verbenahold
