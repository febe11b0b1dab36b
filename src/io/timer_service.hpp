// A timer shared by the whole process. Subscribers give a period or a delay and
// are called on the thread of the event loop.
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

    // Monotonic time since the construction of this object.
    [[nodiscard]] time_point now() const;
    // Calls `action` every `period` until unsubscribed.
    subscription every(duration period, callback action);
    // Calls `action` once after `delay`.
    subscription after(duration delay, callback action);
    // No effect if the subscription has ended.
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
