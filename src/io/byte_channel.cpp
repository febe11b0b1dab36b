#include "byte_channel.hpp"

#include <QHostInfo>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenahold {

namespace {

constexpr std::size_t max_read_bytes = 64UL * 1024;

// A socket address of either family, and its length.
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

socket_address socket_address_of(const QHostAddress& host, std::uint16_t port) {
    socket_address found;
    if (host.protocol() == QAbstractSocket::IPv6Protocol) {
        sockaddr_in6 address{};
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(port);
        const auto bytes = host.toIPv6Address();
        std::copy(std::begin(bytes.c), std::end(bytes.c), std::begin(address.sin6_addr.s6_addr));
        std::memcpy(&found.storage, &address, sizeof address);
        found.length = sizeof address;
    } else {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(host.toIPv4Address());
        std::memcpy(&found.storage, &address, sizeof address);
        found.length = sizeof address;
    }
    return found;
}

}  // namespace

void byte_channel::report_bytes(const QByteArray& bytes) {
    const auto callback = on_bytes;
    if (callback) {
        callback(bytes);
    }
}

void byte_channel::report_end(channel_end end) {
    const auto callback = on_end;
    if (callback) {
        callback(end);
    }
}

tcp_channel::tcp_channel(const QString& host, std::uint16_t port, QObject* parent)
    : byte_channel(parent), m_port(port) {
    const QHostAddress address(host);
    if (!address.isNull()) {
        m_addresses = {address};
        // Callbacks come from the event loop only.
        QTimer::singleShot(0, this, [this] { connect_to_next(); });
        return;
    }
    m_lookup = QHostInfo::lookupHost(host, this, [this](const QHostInfo& found) {
        m_lookup = -1;
        m_addresses = found.addresses();
        connect_to_next();
    });
}

tcp_channel::~tcp_channel() {
    close();
}

void tcp_channel::connect_to_next() {
    while (!m_closed && !m_addresses.isEmpty()) {
        if (begin_connecting(m_addresses.takeFirst())) {
            return;
        }
    }
    end(channel_end::refused);
}

bool tcp_channel::begin_connecting(const QHostAddress& address) {
    const auto target = socket_address_of(address, m_port);
    m_socket = ::socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0) {
        return false;
    }
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* raw = reinterpret_cast<const sockaddr*>(&target.storage);  // NOLINT(*-reinterpret-cast)
    if (::connect(m_socket, raw, target.length) != 0 && errno != EINPROGRESS) {
        stop_watching();
        return false;
    }
    m_readable = std::make_unique<QSocketNotifier>(m_socket, QSocketNotifier::Read);
    m_readable->setEnabled(false);
    m_writable = std::make_unique<QSocketNotifier>(m_socket, QSocketNotifier::Write);
    connect(m_readable.get(), &QSocketNotifier::activated, this, [this] { read(); });
    connect(m_writable.get(), &QSocketNotifier::activated, this, [this] { on_writable(); });
    return true;
}

void tcp_channel::send(const QByteArray& bytes) {
    m_output += bytes;
    if (m_connected && !m_closed) {
        write();
    }
}

void tcp_channel::on_writable() {
    if (m_closed) {
        return;
    }
    if (!m_connected) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            stop_watching();
            connect_to_next();
            return;
        }
        m_connected = true;
        m_readable->setEnabled(true);
    }
    write();
}

// A failed write does not end the channel: the read still gets what the server sent before.
// The kernel reports a reset or a timeout only once, here or to the read. A broken pipe
// means that the server's end came in order before.
void tcp_channel::write() {
    while (!m_output.isEmpty()) {
        const auto sent =
            ::send(m_socket, m_output.constData(), static_cast<std::size_t>(m_output.size()), MSG_NOSIGNAL);
        if (sent < 0) {
            const bool is_blocked = errno == EAGAIN || errno == EINTR;
            m_broken = m_broken || (!is_blocked && errno != EPIPE);
            m_writable->setEnabled(is_blocked);
            return;
        }
        m_output.remove(0, sent);
    }
    m_writable->setEnabled(false);
}

void tcp_channel::read() {
    if (m_closed) {
        return;
    }
    std::array<char, max_read_bytes> chunk;  // NOLINT(*-member-init): recv() fills it
    const auto count = ::recv(m_socket, chunk.data(), chunk.size(), 0);
    if (count > 0) {
        report_bytes(QByteArray(chunk.data(), static_cast<qsizetype>(count)));
    } else if (count == 0) {
        end(m_broken ? channel_end::broken : channel_end::in_order);
    } else if (errno != EAGAIN && errno != EINTR) {
        end(channel_end::broken);
    }
}

void tcp_channel::end(channel_end how) {
    if (!m_closed) {
        close();
        report_end(how);
    }
}

void tcp_channel::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    if (m_lookup >= 0) {
        QHostInfo::abortHostLookup(m_lookup);
    }
    stop_watching();
}

void tcp_channel::stop_watching() {
    // One of the notifiers may be on the call stack.
    for (auto* notifier : {m_readable.release(), m_writable.release()}) {
        if (notifier != nullptr) {
            notifier->setEnabled(false);
            notifier->deleteLater();
        }
    }
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

tls_channel::tls_channel(const QString& host, std::uint16_t port, QObject* parent) : byte_channel(parent) {
    connect(&m_socket, &QSslSocket::encrypted, this, [this] { m_encrypted = true; });
    connect(&m_socket, &QSslSocket::readyRead, this, [this] {
        if (!m_closed) {
            report_bytes(m_socket.readAll());
        }
    });
    connect(&m_socket, &QSslSocket::errorOccurred, this, [this] { end(); });
    connect(&m_socket, &QSslSocket::disconnected, this, [this] { end(); });
    m_socket.connectToHostEncrypted(host, port);
}

tls_channel::~tls_channel() {
    close();
}

void tls_channel::send(const QByteArray& bytes) {
    m_socket.write(bytes);
}

bool tls_channel::has_sent_all() const {
    return m_socket.bytesToWrite() == 0;
}

void tls_channel::end() {
    if (m_closed) {
        return;
    }
    const auto error = m_socket.error();
    const auto rest = m_encrypted ? m_socket.readAll() : QByteArray();
    if (!rest.isEmpty()) {
        report_bytes(rest);
    }
    if (m_closed) {
        return;
    }
    m_closed = true;
    const bool was_connected = m_encrypted || error == QAbstractSocket::SslHandshakeFailedError;
    const bool in_order = m_encrypted && error == QAbstractSocket::RemoteHostClosedError;
    report_end(in_order ? channel_end::in_order : was_connected ? channel_end::broken : channel_end::refused);
}

void tls_channel::close() {
    m_closed = true;
    m_socket.abort();
}

}  // namespace verbenahold
