#include "http_listener.hpp"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QTcpServer>
#include <QUrl>

#include <algorithm>

namespace verbenahold::standins {

namespace {

QByteArray method_name(QHttpServerRequest::Method method) {
    switch (method) {
        case QHttpServerRequest::Method::Get:
            return "GET";
        case QHttpServerRequest::Method::Put:
            return "PUT";
        case QHttpServerRequest::Method::Delete:
            return "DELETE";
        case QHttpServerRequest::Method::Post:
            return "POST";
        case QHttpServerRequest::Method::Head:
            return "HEAD";
        default:
            return "OTHER";
    }
}

}  // namespace

QByteArray http_call::header(const QByteArray& name) const {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& item) {
        return item.first.compare(name, Qt::CaseInsensitive) == 0;
    });
    return found == headers.end() ? QByteArray() : found->second;
}

std::optional<QJsonObject> http_call::json() const {
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        return std::nullopt;
    }
    return document.object();
}

bool http_call::is(const char* name, const char* path) const {
    if (method != name) {
        return false;
    }
    const QStringList wanted = QString::fromLatin1(path).split('/');
    if (segments.size() != wanted.size() + 1 || segments.front() != QLatin1String("v1")) {
        return false;
    }
    return std::equal(wanted.begin(), wanted.end(), segments.begin() + 1, [](const QString& pattern, const QString& s) {
        return pattern == QLatin1String("*") || pattern == s;
    });
}

http_reply::http_reply(QHttpServerResponder responder, QTcpSocket* socket)
    : m_responder(std::move(responder)), m_socket(socket) {
    m_connection = QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { handle_disconnect(); });
}

http_reply::~http_reply() {
    QObject::disconnect(m_connection);
}

void http_reply::handle_disconnect() {
    const auto action = std::exchange(m_gone, nullptr);
    finish();
    if (action) {
        action();
    }
}

void http_reply::finish() {
    QObject::disconnect(m_connection);
    m_gone = nullptr;
    // Qt handles the connection's next request inside the destructor, so the
    // member is empty before the responder ends.
    auto ended = std::exchange(m_responder, std::nullopt);
}

void http_reply::send(int status, const QByteArray& content_type, const QByteArray& body) {
    if (!m_responder) {
        return;
    }
    m_responder->write(body, content_type, static_cast<QHttpServerResponder::StatusCode>(status));
    finish();
}

void http_reply::send_json(int status, const QJsonObject& body) {
    send(status, "application/json", QJsonDocument(body).toJson(QJsonDocument::Compact));
}

void http_reply::send_error(int status, const char* code) {
    send_json(status, {{"error", QString::fromLatin1(code)}});
}

void http_reply::begin_stream(const QByteArray& content_type) {
    if (!m_responder) {
        return;
    }
    m_responder->writeStatusLine(QHttpServerResponder::StatusCode::Ok);
    m_responder->writeHeader("Content-Type", content_type);
    m_responder->writeHeader("Transfer-Encoding", "chunked");
    // An empty body part makes Qt end the headers now.
    m_responder->writeBody(QByteArray(""));
}

void http_reply::write_chunk(const QByteArray& data) {
    if (!m_responder || data.isEmpty()) {
        return;
    }
    m_responder->writeBody(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
}

void http_reply::end_stream() {
    if (!m_responder) {
        return;
    }
    m_responder->writeBody(QByteArray("0\r\n\r\n"));
    finish();
}

void http_reply::drop() {
    const QPointer<QTcpSocket> socket = m_socket;
    const bool open = m_responder.has_value();
    QObject::disconnect(m_connection);
    m_gone = nullptr;
    if (open && socket) {
        socket->abort();
    }
    finish();
}

http_listener::http_listener(handler action, QObject* parent)
    : QAbstractHttpServer(parent), m_handler(std::move(action)) {}

std::optional<std::string> http_listener::start(const std::string& address) {
    const QString text = QString::fromStdString(address);
    const QString host = text.section(':', 0, 0);
    const quint16 port = text.section(':', 1, 1).toUShort();
    const quint16 bound = listen(QHostAddress(host), port);
    if (bound == 0) {
        return std::nullopt;
    }
    return host.toStdString() + ":" + std::to_string(bound);
}

bool http_listener::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) {
    http_call call;
    call.method = method_name(request.method());
    const QString path = request.url().path(QUrl::FullyEncoded);
    for (const QString& segment : path.split('/', Qt::SkipEmptyParts)) {
        call.segments.append(QUrl::fromPercentEncoding(segment.toLatin1()));
    }
    call.query = request.query();
    call.headers = request.headers();
    call.body = request.body();
    const auto reply = std::make_shared<http_reply>(makeResponder(request, socket), socket);
    m_handler(call, reply);
    return true;
}

void http_listener::missingHandler(const QHttpServerRequest&, QTcpSocket*) {}

}  // namespace verbenahold::standins
