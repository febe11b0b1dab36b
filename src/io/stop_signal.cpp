#include "stop_signal.hpp"

#include <QSocketNotifier>

#include <csignal>
#include <utility>

#include <sys/signalfd.h>
#include <unistd.h>

namespace verbenahold {

stop_signal::stop_signal(std::function<void()> action, QObject* parent) : QObject(parent), m_action(std::move(action)) {
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    // Threads started later inherit the mask, so that the signal always
    // arrives here.
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    m_descriptor = signalfd(-1, &stop_signals, SFD_CLOEXEC | SFD_NONBLOCK);
    m_notifier = new QSocketNotifier(m_descriptor, QSocketNotifier::Read, this);
    connect(m_notifier, &QSocketNotifier::activated, this, [this] {
        signalfd_siginfo info{};
        while (::read(m_descriptor, &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
            m_action();
        }
    });
}

stop_signal::~stop_signal() {
    delete m_notifier;
    ::close(m_descriptor);
}

}  // namespace verbenahold
