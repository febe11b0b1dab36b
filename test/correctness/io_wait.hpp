// Helpers of the I/O tests: run the event loop until a condition holds.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <QUrl>

#include <functional>
#include <string>

// False if `condition` does not hold within `limit_ms`.
inline bool wait_until(const std::function<bool()>& condition, int limit_ms = 10'000) {
    QElapsedTimer since;
    since.start();
    // Ends a wait for events; processEvents() with a time limit would not wait
    // at all but spin.
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
