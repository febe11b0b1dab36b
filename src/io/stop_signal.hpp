// Calls back on the event loop when the process is asked to stop (SIGTERM or
// SIGINT).
#pragma once

#include <QObject>

#include <functional>

class QSocketNotifier;

namespace verbenahold {

class stop_signal : public QObject {
public:
    // At most one object of this class per process.
    explicit stop_signal(std::function<void()> action, QObject* parent = nullptr);
    ~stop_signal() override;
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;

private:
    std::function<void()> m_action;
    int m_descriptor = -1;
    QSocketNotifier* m_notifier = nullptr;
};

}  // namespace verbenahold
