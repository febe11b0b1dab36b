#include "connection_guard.hpp"

#include <QTimer>

#include <algorithm>

namespace verbenahold {

namespace {

// Delay between an error response and closing the connection. Closing at once
// while the caller still sends would reset the connection, and the caller would
// not receive the response.
constexpr std::chrono::milliseconds refusal_time{1'000};

constexpr auto headers_end = "\r\n\r\n";

QByteArray find_header(const QByteArray& lower_case_headers, const QByteArray& name) {
    const qsizetype start = lower_case_headers.indexOf("\r\n" + name + ":");
    if (start < 0) {
        return {};
    }
    const qsizetype value = start + name.size() + 3;
    return lower_case_headers.mid(value, lower_case_headers.indexOf("\r\n", value) - value).trimmed();
}

}  // namespace

connection_guard::connection_guard(QTcpSocket* socket, const http_limits& limits) : m_socket(socket), m_limits(limits) {
    m_since.start();
    m_write_stall_timer.start();
}

std::shared_ptr<connection_guard> connection_guard::attach(QTcpSocket* socket, const http_limits& limits) {
    auto guard = std::make_shared<connection_guard>(socket, limits);
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [guard] { guard->m_write_stall_timer.restart(); });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [guard] { guard->inspect_input(); });
    return guard;
}

void connection_guard::inspect_input() {
    switch (m_phase) {
        case phase::idle:
            m_phase = phase::headers;
            m_since.restart();
            read_headers();
            break;
        case phase::headers:
            read_headers();
            break;
        case phase::body:
            read_body(m_socket->bytesAvailable());
            break;
        case phase::answering:
            break;
        case phase::rejected:
            m_socket->readAll();
            break;
    }
}

void connection_guard::read_headers() {
    const qint64 room = m_limits.header_bytes + 4 - m_headers.size();
    const qsizetype before = m_headers.size();
    m_headers += m_socket->peek(std::min(m_socket->bytesAvailable(), room));
    const qsizetype end = m_headers.indexOf(headers_end, std::max<qsizetype>(0, before - 3));
    if (end < 0) {
        if (m_headers.size() > m_limits.header_bytes) {
            reject(431, "headers_too_large", "request line and headers are too long");
        }
        return;
    }
    const qint64 body_here = m_socket->bytesAvailable() - (end + 4 - before);
    m_headers.truncate(end + 2);
    check_headers();
    if (m_phase == phase::headers) {
        m_phase = phase::body;
        read_body(body_here);
    }
}

void connection_guard::check_headers() {
    const QByteArray headers = m_headers.toLower();
    m_headers.clear();
    if (!find_header(headers, "transfer-encoding").isEmpty()) {
        reject(411, "length_required", "send Content-Length instead of Transfer-Encoding");
        return;
    }
    const QByteArray length = find_header(headers, "content-length");
    bool number = true;
    m_body_left = length.isEmpty() ? 0 : length.toLongLong(&number);
    if (!number || m_body_left < 0) {
        reject(400, "bad_request", "Content-Length is not a number");
    } else if (m_body_left > m_limits.body_bytes) {
        reject(413, "body_too_large", "the body is longer than this server takes");
    } else if (find_header(headers, "expect") == "100-continue") {
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void connection_guard::read_body(qint64 available) {
    m_body_left -= std::min(available, m_body_left);
}

void connection_guard::on_request_parsed() {
    m_phase = phase::answering;
}

void connection_guard::on_answer_ended() {
    m_phase = phase::idle;
    m_headers.clear();
    m_since.restart();
}

void connection_guard::check_times() {
    const bool reading = m_phase == phase::headers || m_phase == phase::body;
    if (reading && m_since.hasExpired(m_limits.request_time.count())) {
        reject(408, "request_timeout", "the request did not arrive in time");
    } else if (m_phase == phase::idle && m_since.hasExpired(m_limits.idle_time.count())) {
        m_socket->disconnectFromHost();
    } else if (m_socket->bytesToWrite() == 0) {
        m_write_stall_timer.restart();
    } else if (m_write_stall_timer.hasExpired(m_limits.write_stall_time.count())) {
        m_socket->abort();
    }
}

void connection_guard::reject(int status, const char* code, const char* message) {
    m_phase = phase::rejected;
    const QByteArray body =
        QByteArray(R"({"error":{"code":")") + code + R"(","message":")" + message + R"(","ran":"no"}})";
    m_socket->write("HTTP/1.1 " + QByteArray::number(status) +
                    " Rejected\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " +
                    QByteArray::number(body.size()) + "\r\n\r\n" + body);
    // Discards all further input, so that the parser receives none of it.
    QObject::disconnect(m_socket, &QTcpSocket::readyRead, nullptr, nullptr);
    QObject::connect(m_socket, &QTcpSocket::readyRead, m_socket, [socket = m_socket] { socket->readAll(); });
    QTimer::singleShot(refusal_time, m_socket, [socket = m_socket] { socket->disconnectFromHost(); });
}

}  // namespace verbenahold
