#include "termination_signals.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <utility>

namespace verbenahold {

namespace {

std::array<int, 2> signal_sockets{-1, -1};

// The signal handler only writes to a descriptor, which is async-signal-safe.
void write_signal(int /*signal*/) {
    const char byte = 1;
    static_cast<void>(!::write(signal_sockets[0], &byte, sizeof byte));
}

}  // namespace

termination_signals::termination_signals(std::function<void()> on_signal, QObject* parent) : QObject(parent) {
    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, signal_sockets.data()) != 0) {
        return;
    }
    m_notifier = std::make_unique<QSocketNotifier>(signal_sockets[1], QSocketNotifier::Read);
    connect(m_notifier.get(), &QSocketNotifier::activated, this, [action = std::move(on_signal)] {
        char byte = 0;
        if (::read(signal_sockets[1], &byte, sizeof byte) == 1) {
            action();
        }
    });
    struct sigaction action = {};
    action.sa_handler = write_signal;
    sigemptyset(&action.sa_mask);
    action.sa_flags = SA_RESTART;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

}  // namespace verbenahold
