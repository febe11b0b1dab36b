#include "one_shot_call.hpp"

#include <utility>

namespace verbenahold {

namespace {

constexpr qsizetype longest_head = 64LL * 1024;

QByteArray request_bytes(const http_call& call) {
    QByteArray path = call.url.path(QUrl::FullyEncoded).toUtf8();
    if (call.url.hasQuery()) {
        path += '?' + call.url.query(QUrl::FullyEncoded).toUtf8();
    }
    QByteArray request = call.method + ' ' + path + " HTTP/1.1\r\nHost: " + call.url.authority().toUtf8() +
                         "\r\nConnection: close\r\nContent-Length: " + QByteArray::number(call.body.size()) + "\r\n";
    if (!call.content_type.isEmpty()) {
        request += "Content-Type: " + call.content_type + "\r\n";
    }
    for (const auto& [name, value] : call.headers) {
        request += name + ": " + value + "\r\n";
    }
    return request + "\r\n" + call.body;
}

}  // namespace

void one_shot_call::start(const http_call& call, QObject* parent, answer_callback done) {
    // Owned by its parent until it deletes itself.
    new one_shot_call(call, parent, std::move(done));  // NOLINT(cppcoreguidelines-owning-memory)
}

one_shot_call::one_shot_call(const http_call& call, QObject* parent, answer_callback done)
    : QObject(parent), m_request(request_bytes(call)), m_done(std::move(done)) {
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_sent = true;
        m_socket.write(m_request);
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] { handle_end(http_failure::reset); });
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { finish(http_failure::timed_out); });
    m_timer.start(call.timeout);
    m_socket.connectToHost(call.url.host(), static_cast<quint16>(call.url.port(80)));
}

void one_shot_call::read() {
    m_received += m_socket.readAll();
    if (!m_head_read) {
        const qsizetype end = m_received.indexOf("\r\n\r\n");
        if (end < 0) {
            if (m_received.size() > longest_head) {
                finish(http_failure::bad_answer);
            }
            return;
        }
        const QList<QByteArray> lines = m_received.left(end).split('\n');
        m_received.remove(0, end + 4);
        m_head_read = true;
        m_answer.status = lines.front().mid(9, 3).toInt();
        for (const QByteArray& line : lines) {
            const QByteArray name = line.left(line.indexOf(':')).trimmed().toLower();
            const QByteArray value = line.mid(line.indexOf(':') + 1).trimmed();
            if (name == "content-length") {
                m_length = value.toLongLong();
            } else if (name == "transfer-encoding") {
                m_chunked = value.toLower() == "chunked";
            } else if (name == "content-type") {
                m_answer.content_type = value;
            }
        }
        if (!lines.front().startsWith("HTTP/1.") || m_answer.status < 200) {
            finish(http_failure::bad_answer);
            return;
        }
    }
    read_body();
}

void one_shot_call::read_body() {
    if (m_answer.body.size() + m_received.size() > http_client::answer_limit) {
        finish(http_failure::bad_answer);
    } else if (m_chunked) {
        if (read_chunks()) {
            finish(http_failure::none);
        }
    } else {
        m_answer.body += std::exchange(m_received, {});
        if (m_length >= 0 && m_answer.body.size() >= m_length) {
            m_answer.body.truncate(m_length);
            finish(http_failure::none);
        }
    }
}

// True after the last chunk.
bool one_shot_call::read_chunks() {
    while (true) {
        const qsizetype line_end = m_received.indexOf("\r\n");
        if (line_end < 0) {
            return false;
        }
        bool number = false;
        const qint64 size = m_received.left(line_end).split(';').front().trimmed().toLongLong(&number, 16);
        if (!number || size < 0 || size > http_client::answer_limit) {
            finish(http_failure::bad_answer);
            return false;
        }
        if (size == 0) {
            return true;
        }
        if (m_received.size() < line_end + 2 + size + 2) {
            return false;
        }
        m_answer.body += m_received.mid(line_end + 2, size);
        m_received.remove(0, line_end + 2 + size + 2);
    }
}

void one_shot_call::handle_end(http_failure failure) {
    if (!m_sent) {
        finish(http_failure::refused);
        return;
    }
    if (m_socket.bytesAvailable() > 0) {
        read();
    }
    const bool ends_with_connection = m_head_read && !m_chunked && m_length < 0;
    finish(ends_with_connection ? http_failure::none : failure);
}

void one_shot_call::finish(http_failure failure) {
    if (!m_done) {
        return;
    }
    m_timer.stop();
    m_socket.disconnect(this);
    m_socket.abort();
    m_answer.failure = failure == http_failure::timed_out && !m_sent ? http_failure::refused : failure;
    if (failure != http_failure::none) {
        m_answer.status = 0;
    }
    deleteLater();
    const answer_callback done = std::exchange(m_done, nullptr);
    done(m_answer);
}

}  // namespace verbenahold
