#include "loop_timers.hpp"

#include <utility>

namespace verbenahold::serving {

loop_timers::loop_timers(boost::asio::io_context& loop, handler_guard& guard)
    : m_start(std::chrono::steady_clock::now()), m_guard(guard), m_timer(loop) {}

time_point loop_timers::now() const {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_start));
}

loop_timers::subscription loop_timers::every(duration period, callback action) {
    return add(period, period, std::move(action));
}

loop_timers::subscription loop_timers::after(duration delay, callback action) {
    return add(delay, duration::zero(), std::move(action));
}

loop_timers::subscription loop_timers::add(duration delay, duration period, callback action) {
    const subscription id = m_queue.add(now() + delay, period, std::move(action));
    arm();
    return id;
}

void loop_timers::arm() {
    const auto due = m_queue.next_due();
    if (!due || (m_armed_for && *m_armed_for <= *due)) {
        return;
    }
    m_armed_for = due;
    m_timer.expires_at(m_start + due->time_since_epoch());
    m_timer.async_wait([this](const boost::system::error_code& error) {
        // Cancelled, since the timer was set to an earlier time.
        if (error) {
            return;
        }
        m_armed_for.reset();
        // The queue has removed or rescheduled a timer before its callback throws, so the
        // others that are due run in the next round.
        for (bool done = false; !done;) {
            m_guard.run({"timer", {}}, [&] {
                m_queue.run_due([this] { return now(); });
                done = true;
            });
        }
        arm();
    });
}

}  // namespace verbenahold::serving
