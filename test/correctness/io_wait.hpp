// Helpers for I/O tests that run the event loop until a condition holds.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <QUrl>

#include <functional>
#include <string>

// Returns false if `condition` does not hold within `limit_ms`.
inline bool wait_until(const std::function<bool()>& condition, int limit_ms = 10'000) {
    QElapsedTimer since;
    since.start();
    // Wakes the event loop regularly, so that the condition is checked again.
    // processEvents() with a time limit would not block but spin.
    QTimer wake;
    wake.start(5);
    while (!condition()) {
        if (since.hasExpired(limit_ms)) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents);
    }
    return true;
}

inline QUrl url_of(const std::string& address, const char* path, const char* scheme = "http") {
    return QUrl(QString::fromStdString(scheme + ("://" + address) + path));
}
