#include "http_exchange.hpp"

#include <QEventLoop>
#include <QHostAddress>
#include <QJsonDocument>
#include <QTimer>

namespace verbenahold::standins {

namespace {

// Period at which wait_until checks its condition.
constexpr std::chrono::milliseconds wait_step(5);

QByteArray head_of(const test_request& request) {
    QByteArray head = QByteArray::fromStdString(request.method + " " + request.path + " HTTP/1.1\r\n");
    head += "Host: " + QByteArray::fromStdString(request.address) + "\r\nConnection: close\r\n";
    for (const auto& [name, value] : request.headers) {
        head += name + ": " + value + "\r\n";
    }
    head += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n\r\n";
    return head;
}

}  // namespace

http_exchange::http_exchange(const test_request& request) {
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&m_socket, &QTcpSocket::disconnected, this, [this] {
        read();
        end(m_head_read && !m_chunked && m_length < 0);
    });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] {
        if (m_socket.state() == QAbstractSocket::UnconnectedState) {
            end(false);
        }
    });
    const QString address = QString::fromStdString(request.address);
    m_socket.connectToHost(QHostAddress(address.section(':', 0, 0)), address.section(':', 1, 1).toUShort());
    m_socket.write(head_of(request) + request.body);
}

QJsonObject http_exchange::json() const {
    return QJsonDocument::fromJson(m_body).object();
}

void http_exchange::abandon() {
    m_socket.disconnect(this);
    m_socket.abort();
    m_over = true;
}

void http_exchange::end(bool complete) {
    if (m_over) {
        return;
    }
    m_over = true;
    m_complete = complete;
}

void http_exchange::read() {
    m_received += m_socket.readAll();
    if (!m_head_read) {
        read_head();
    }
    if (m_head_read) {
        read_body();
    }
}

void http_exchange::read_head() {
    const qsizetype head_end = m_received.indexOf("\r\n\r\n");
    if (head_end < 0) {
        return;
    }
    const QList<QByteArray> lines = m_received.left(head_end).split('\n');
    m_received.remove(0, head_end + 4);
    m_status = lines.front().split(' ').value(1).toInt();
    for (const QByteArray& line : lines) {
        const QByteArray name = line.left(line.indexOf(':')).trimmed().toLower();
        const QByteArray value = line.mid(line.indexOf(':') + 1).trimmed();
        if (name == "content-length") {
            m_length = value.toLongLong();
        } else if (name == "transfer-encoding") {
            m_chunked = value.toLower() == "chunked";
        }
    }
    m_head_read = true;
}

void http_exchange::read_body() {
    if (m_chunked) {
        while (take_chunk()) {
        }
        return;
    }
    m_body += m_received;
    m_received.clear();
    if (m_length >= 0 && m_body.size() >= m_length) {
        end(true);
    }
}

bool http_exchange::take_chunk() {
    const qsizetype line_end = m_received.indexOf("\r\n");
    if (line_end < 0 || m_over) {
        return false;
    }
    const qsizetype size = m_received.left(line_end).toLongLong(nullptr, 16);
    if (m_received.size() < line_end + 2 + size + 2) {
        return false;
    }
    m_body += m_received.mid(line_end + 2, size);
    m_received.remove(0, line_end + 2 + size + 2);
    if (size == 0) {
        end(true);
    }
    return size > 0;
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
    QEventLoop loop;
    QTimer poll;
    QTimer deadline;
    bool reached = condition();
    if (reached) {
        return true;
    }
    QObject::connect(&poll, &QTimer::timeout, &loop, [&] {
        reached = condition();
        if (reached) {
            loop.quit();
        }
    });
    QObject::connect(&deadline, &QTimer::timeout, &loop, &QEventLoop::quit);
    poll.start(wait_step);
    deadline.start(limit);
    loop.exec();
    return reached;
}

test_answer call_json(const std::string& method, const std::string& address, const std::string& path,
                      const QJsonObject& body, const QList<QPair<QByteArray, QByteArray>>& headers,
                      std::chrono::milliseconds limit) {
    test_request request{method, address, path, headers, {}};
    if (!body.isEmpty()) {
        request.headers.append(qMakePair(QByteArray("Content-Type"), QByteArray("application/json")));
        request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    }
    const http_exchange exchange(request);
    wait_until([&] { return exchange.is_over(); }, limit);
    if (!exchange.is_complete()) {
        return {};
    }
    return {exchange.status(), exchange.json(), exchange.body()};
}

}  // namespace verbenahold::standins
