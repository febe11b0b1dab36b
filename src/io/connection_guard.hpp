// Limits on one accepted HTTP connection. Qt's server takes any announced
// length and waits for it without a limit, and sends no "100 Continue", so the
// guard reads along in front of it.
#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <QTcpSocket>

#include "http_server.hpp"

namespace verbenahold {

class connection_guard {
public:
    connection_guard(QTcpSocket* socket, const http_limits& limits);

    // Makes a guard that is called for the socket's bytes as long as the socket
    // lives. Must be made before the HTTP parser is connected to the socket.
    static std::shared_ptr<connection_guard> attach(QTcpSocket* socket, const http_limits& limits);

    // Looks at bytes that have arrived, before the HTTP parser takes them.
    void inspect_input();
    // A whole request has been parsed; its answer is now due.
    void request_begins();
    // The answer has ended; another request may follow.
    void request_ended();
    // Closes the connection if one of its time limits has passed.
    void check_times();
    [[nodiscard]] qint64 write_buffer_bytes() const { return m_limits.write_buffer_bytes; }

private:
    enum class phase : std::uint8_t { idle, headers, body, answering, rejected };

    void read_headers();
    void read_body(qint64 available);
    void check_headers();
    void reject(int status, const char* code, const char* message);

    QTcpSocket* m_socket;
    const http_limits& m_limits;
    phase m_phase = phase::idle;
    QByteArray m_headers;
    qint64 m_body_left = 0;
    QElapsedTimer m_since;
    QElapsedTimer m_since_written;
};

}  // namespace verbenahold
