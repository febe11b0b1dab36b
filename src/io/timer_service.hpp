// One timer for a whole process. Parts subscribe with a period or a delay and
// are called on the event loop's thread.
#pragma once

#include "timer_queue.hpp"

#include <QElapsedTimer>
#include <QObject>
#include <QTimer>

#include "verbenahold/types.hpp"

namespace verbenahold {

class timer_service : public QObject {
public:
    using callback = timer_queue::callback;
    using subscription = timer_queue::subscription;

    explicit timer_service(QObject* parent = nullptr);

    // Time since this service was made, by the monotonic clock.
    [[nodiscard]] time_point now() const;
    // Calls `action` each `period` until unsubscribed.
    subscription every(duration period, callback action);
    // Calls `action` once after `delay`.
    subscription after(duration delay, callback action);
    // Does nothing for a subscription that has ended.
    void unsubscribe(subscription which);

private:
    void arm();
    void run_due();
    subscription add(duration delay, duration period, callback action);

    QElapsedTimer m_clock;
    QTimer m_timer;
    timer_queue m_queue;
};

}  // namespace verbenahold
