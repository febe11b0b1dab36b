// Delivers SIGTERM and SIGINT as callbacks on the event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace verbenahold {

class termination_signals : public QObject {
public:
    // Calls `on_signal` for each signal. One object per process.
    explicit termination_signals(std::function<void()> on_signal, QObject* parent = nullptr);

private:
    std::unique_ptr<QSocketNotifier> m_notifier;
};

}  // namespace verbenahold
