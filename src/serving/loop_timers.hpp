// The timer service of the serving process. Callbacks run on its event loop,
// periodically or once after a delay.
#pragma once

#include "handler_guard.hpp"
#include "timer_queue.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace verbenahold::serving {

class loop_timers {
public:
    using callback = timer_queue::callback;
    using subscription = timer_queue::subscription;

    // Exceptions of callbacks are left to `guard`.
    loop_timers(boost::asio::io_context& loop, handler_guard& guard);

    // The guard of all handlers on this loop.
    [[nodiscard]] handler_guard& guard() { return m_guard; }
    // Monotonic time since this object was constructed.
    [[nodiscard]] time_point now() const;
    // Calls `action` each `period` until unsubscribed.
    subscription every(duration period, callback action);
    // Calls `action` once after `delay`.
    subscription after(duration delay, callback action);
    // Does nothing if the subscription has ended.
    void unsubscribe(subscription which) { m_queue.remove(which); }

private:
    subscription add(duration delay, duration period, callback action);
    void arm();

    std::chrono::steady_clock::time_point m_start;
    handler_guard& m_guard;
    boost::asio::steady_timer m_timer;
    std::optional<time_point> m_armed_for;
    timer_queue m_queue;
};

}  // namespace verbenahold::serving
