// A connection to a server as a sequence of bytes, over TCP or TLS.
#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QList>
#include <QObject>
#include <QSocketNotifier>
#include <QSslSocket>

#include <cstdint>
#include <functional>
#include <memory>

namespace verbenahold {

enum class channel_end : std::uint8_t {
    // No connection was made: the server received nothing.
    refused,
    // The server ended the connection after all that it sent.
    in_order,
    // A reset, a timeout or another failure.
    broken,
};

class byte_channel : public QObject {
public:
    using QObject::QObject;

    // Sends bytes, once the connection is made.
    virtual void send(const QByteArray& bytes) = 0;
    // All bytes were handed to the kernel.
    [[nodiscard]] virtual bool has_sent_all() const = 0;
    // Closes the connection without further callbacks.
    virtual void close() = 0;

    std::function<void(const QByteArray&)> on_bytes;
    // Called last, unless close() comes first.
    std::function<void(channel_end)> on_end;

protected:
    // A callback may replace the callbacks, so it runs from a copy.
    void report_bytes(const QByteArray& bytes);
    void report_end(channel_end end);
};

// Reads the socket itself: QTcpSocket reports a reset and an orderly end alike.
class tcp_channel : public byte_channel {
public:
    // `host` is a name or an IP address.
    tcp_channel(const QString& host, std::uint16_t port, QObject* parent);
    ~tcp_channel() override;
    tcp_channel(const tcp_channel&) = delete;
    tcp_channel& operator=(const tcp_channel&) = delete;
    tcp_channel(tcp_channel&&) = delete;
    tcp_channel& operator=(tcp_channel&&) = delete;

    void send(const QByteArray& bytes) override;
    [[nodiscard]] bool has_sent_all() const override { return m_output.isEmpty(); }
    void close() override;

private:
    // Tries the server's addresses in turn, until one takes the connection.
    void connect_to_next();
    [[nodiscard]] bool begin_connecting(const QHostAddress& address);
    void stop_watching();
    void on_writable();
    void write();
    void read();
    void end(channel_end how);

    std::uint16_t m_port;
    int m_socket = -1;
    bool m_connected = false;
    bool m_closed = false;
    // The write learned that the connection broke off.
    bool m_broken = false;
    int m_lookup = -1;
    // Those that were not tried yet.
    QList<QHostAddress> m_addresses;
    QByteArray m_output;
    std::unique_ptr<QSocketNotifier> m_readable;
    std::unique_ptr<QSocketNotifier> m_writable;
};

// TLS by Qt, which does not tell whether the server's end was in order: each end after the
// handshake counts as one.
class tls_channel : public byte_channel {
public:
    tls_channel(const QString& host, std::uint16_t port, QObject* parent);
    ~tls_channel() override;
    tls_channel(const tls_channel&) = delete;
    tls_channel& operator=(const tls_channel&) = delete;
    tls_channel(tls_channel&&) = delete;
    tls_channel& operator=(tls_channel&&) = delete;

    void send(const QByteArray& bytes) override;
    [[nodiscard]] bool has_sent_all() const override;
    void close() override;

private:
    void end();

    QSslSocket m_socket;
    bool m_closed = false;
    bool m_encrypted = false;
};

}  // namespace verbenahold
