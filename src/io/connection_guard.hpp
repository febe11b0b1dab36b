// Enforces http_limits on one accepted HTTP connection. Qt's server accepts any
// Content-Length, waits for the body without a time limit and sends no
// "100 Continue", so the guard inspects the bytes before Qt's parser reads them.
#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <QTcpSocket>

#include "http_server.hpp"

namespace verbenahold {

class connection_guard {
public:
    connection_guard(QTcpSocket* socket, const http_limits& limits);

    // Creates a guard that inspects the socket's input for the lifetime of the
    // socket. Must be called before the HTTP parser is connected to the socket.
    static std::shared_ptr<connection_guard> attach(QTcpSocket* socket, const http_limits& limits);

    // Inspects received bytes before the HTTP parser reads them.
    void inspect_input();
    // Call when a complete request has been parsed.
    void on_request_parsed();
    // Call when the answer has ended; the next request may follow.
    void on_answer_ended();
    // Closes the connection if one of its time limits has expired.
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
    QElapsedTimer m_write_stall_timer;
};

}  // namespace verbenahold
