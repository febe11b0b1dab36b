#include "http_server.hpp"

#include "connection_guard.hpp"
#include "settings.hpp"

#include <QFile>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSslCertificate>
#include <QSslKey>
#include <QSslSocket>

#include <algorithm>

namespace verbenahold {

namespace {

constexpr std::chrono::milliseconds sweep_period{500};

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
        case QHttpServerRequest::Method::Options:
            return "OPTIONS";
        case QHttpServerRequest::Method::Patch:
            return "PATCH";
        default:
            return "UNKNOWN";
    }
}

QByteArray reason_phrase(int status) {
    static const std::map<int, QByteArray> phrases{
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {415, "Unsupported Media Type"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
        {507, "Insufficient Storage"},
    };
    const auto found = phrases.find(status);
    return found == phrases.end() ? QByteArray("Status") : found->second;
}

QByteArray answer_head(int status, const QByteArray& content_type, const http_headers& headers) {
    QByteArray head = "HTTP/1.1 " + QByteArray::number(status) + ' ' + reason_phrase(status) + "\r\n";
    if (!content_type.isEmpty()) {
        head += "Content-Type: " + content_type + "\r\n";
    }
    for (const auto& [name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    return head;
}

http_request read_request(const QHttpServerRequest& source, const QTcpSocket* socket) {
    http_request request;
    const QUrl url = source.url();
    request.method = method_name(source.method());
    request.path = url.path();
    request.raw_path = url.path(QUrl::FullyEncoded).toUtf8();
    request.query = QUrlQuery(url);
    for (const auto& [name, value] : source.headers()) {
        request.headers.emplace_back(name.toLower(), value);
    }
    request.body = source.body();
    request.peer = socket->peerAddress();
    return request;
}

bool matches_prefix(const QString& path, const QString& prefix) {
    return path.startsWith(prefix) &&
           (path.size() == prefix.size() || prefix.endsWith('/') || path.at(prefix.size()) == '/');
}

}  // namespace

QByteArray json_text(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

// ---- request

QByteArray http_request::header(const QByteArray& name) const {
    const auto found =
        std::find_if(headers.begin(), headers.end(), [&](const auto& item) { return item.first == name; });
    return found == headers.end() ? QByteArray() : found->second;
}

QStringList http_request::segments_after(const QString& prefix) const {
    QStringList segments;
    const QString raw = QString::fromUtf8(raw_path);
    for (const QString& segment : raw.mid(prefix.size()).split('/', Qt::SkipEmptyParts)) {
        segments.append(QUrl::fromPercentEncoding(segment.toUtf8()));
    }
    return segments;
}

// ---- reply

http_reply::http_reply(QHttpServerResponder&& responder, QTcpSocket* socket, std::shared_ptr<connection_guard> guard,
                       bool head_only, bool close_after)
    : m_responder(std::make_unique<QHttpServerResponder>(std::move(responder))),
      m_socket(socket),
      m_guard(std::move(guard)),
      m_head_only(head_only),
      m_close_after(close_after) {
    m_gone_connection = QObject::connect(socket, &QTcpSocket::disconnected, socket, [this] { handle_disconnect(); });
}

http_reply::~http_reply() {
    QObject::disconnect(m_gone_connection);
    if (m_ended) {
        return;
    }
    if (m_begun) {
        abort();
    } else {
        send(500, "application/json", R"({"error":{"code":"internal_error","message":"no answer","ran":"unknown"}})");
    }
}

void http_reply::send(int status, const QByteArray& content_type, const QByteArray& body, const http_headers& headers) {
    if (!is_open() || m_begun) {
        return;
    }
    QByteArray answer = answer_head(status, content_type, headers);
    answer += "Content-Length: " + QByteArray::number(body.size()) + (m_close_after ? "\r\nConnection: close" : "") +
              "\r\n\r\n";
    if (!m_head_only) {
        answer += body;
    }
    m_begun = true;
    m_socket->write(answer);
    release();
}

void http_reply::begin(int status, const QByteArray& content_type, const http_headers& headers) {
    if (!is_open() || m_begun) {
        return;
    }
    m_begun = true;
    m_socket->write(answer_head(status, content_type, headers) + "Transfer-Encoding: chunked" +
                    (m_close_after ? "\r\nConnection: close" : "") + "\r\n\r\n");
}

bool http_reply::write(const QByteArray& chunk) {
    if (!is_open()) {
        return false;
    }
    if (chunk.isEmpty() || m_head_only) {
        return true;
    }
    if (m_socket->bytesToWrite() > m_guard->write_buffer_bytes()) {
        m_socket->abort();
        return false;
    }
    m_socket->write(QByteArray::number(chunk.size(), 16) + "\r\n" + chunk + "\r\n");
    return true;
}

void http_reply::end() {
    if (!is_open()) {
        return;
    }
    if (!m_head_only) {
        m_socket->write("0\r\n\r\n");
    }
    release();
}

void http_reply::abort() {
    if (!is_open()) {
        return;
    }
    m_ended = true;
    QObject::disconnect(m_gone_connection);
    const QPointer<QTcpSocket> socket = m_socket;
    m_responder.reset();
    if (socket) {
        socket->abort();
    }
}

void http_reply::on_gone(std::function<void()> action) {
    m_on_gone = std::move(action);
}

bool http_reply::is_open() const {
    return !m_ended && m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
}

void http_reply::release() {
    m_ended = true;
    m_on_gone = nullptr;
    QObject::disconnect(m_gone_connection);
    m_guard->on_answer_ended();
    m_responder.reset();
    if (m_socket && m_close_after) {
        m_socket->disconnectFromHost();
    }
}

void http_reply::handle_disconnect() {
    QObject::disconnect(m_gone_connection);
    m_ended = true;
    m_responder.reset();
    if (const auto action = std::exchange(m_on_gone, nullptr)) {
        action();
    }
}

// ---- server

class http_server::acceptor : public QTcpServer {
public:
    explicit acceptor(http_server* owner) : QTcpServer(owner), m_owner(owner) {}
    void offer(QTcpSocket* socket) { addPendingConnection(socket); }

protected:
    void incomingConnection(qintptr descriptor) override { m_owner->adopt(descriptor); }

private:
    http_server* m_owner;
};

http_server::http_server(http_limits limits, QObject* parent) : QAbstractHttpServer(parent), m_limits(limits) {
    m_sweep.setInterval(sweep_period);
    connect(&m_sweep, &QTimer::timeout, this, [this] { sweep(); });
    m_sweep.start();
}

http_server::~http_server() {
    m_guards.clear();
}

void http_server::add_route(const QByteArray& method, const QString& prefix, handler action) {
    m_routes.push_back({method, prefix, std::move(action)});
}

std::string http_server::use_tls(const std::string& certificate_file, const std::string& key_file) {
    const auto chain = QSslCertificate::fromPath(QString::fromStdString(certificate_file), QSsl::Pem,
                                                 QSslCertificate::PatternSyntax::FixedString);
    if (chain.isEmpty()) {
        return "no certificate in PEM form in " + certificate_file;
    }
    QFile file(QString::fromStdString(key_file));
    if (!file.open(QIODevice::ReadOnly)) {
        return "can't read " + key_file;
    }
    const QByteArray pem = file.readAll();
    QSslKey key(pem, QSsl::Rsa);
    if (key.isNull()) {
        key = QSslKey(pem, QSsl::Ec);
    }
    if (key.isNull()) {
        return "no RSA or EC key in PEM form in " + key_file;
    }
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setLocalCertificateChain(chain);
    configuration.setPrivateKey(key);
    configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
    m_tls = configuration;
    return {};
}

std::optional<endpoint> http_server::listen_on(const endpoint& address) {
    const auto parts = parse_address(address.address);
    if (!parts) {
        return std::nullopt;
    }
    const QString host = QString::fromStdString(parts->host);
    m_acceptor = new acceptor(this);
    if (!m_acceptor->listen(QHostAddress(host), parts->port)) {
        return std::nullopt;
    }
    bind(m_acceptor);
    const std::string shown = parts->host.find(':') == std::string::npos ? parts->host : "[" + parts->host + "]";
    return endpoint{shown + ":" + std::to_string(m_acceptor->serverPort())};
}

void http_server::stop_listening() {
    if (m_acceptor != nullptr) {
        m_acceptor->close();
    }
}

void http_server::adopt(qintptr descriptor) {
    QTcpSocket* socket = m_tls ? new QSslSocket(m_acceptor) : new QTcpSocket(m_acceptor);
    const bool crowded = m_guards.size() >= static_cast<std::size_t>(m_limits.connections);
    if (!socket->setSocketDescriptor(descriptor) || crowded) {
        socket->abort();
        socket->deleteLater();
        return;
    }
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
    if (!m_tls) {
        guard_connection(socket);
        m_acceptor->offer(socket);
        return;
    }
    auto* secure = static_cast<QSslSocket*>(socket);
    secure->setSslConfiguration(*m_tls);
    connect(secure, &QSslSocket::disconnected, secure, &QObject::deleteLater);
    connect(secure, &QSslSocket::encrypted, this, [this, secure] {
        QObject::disconnect(secure, &QSslSocket::disconnected, secure, nullptr);
        guard_connection(secure);
        m_acceptor->offer(secure);
    });
    QTimer::singleShot(m_limits.handshake_time, secure, [secure] {
        if (!secure->isEncrypted()) {
            secure->abort();
            secure->deleteLater();
        }
    });
    secure->startServerEncryption();
}

void http_server::guard_connection(QTcpSocket* socket) {
    m_guards.emplace(socket, connection_guard::attach(socket, m_limits));
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] { m_guards.erase(socket); });
    connect(socket, &QObject::destroyed, this, [this, socket] { m_guards.erase(socket); });
}

void http_server::sweep() {
    std::vector<std::shared_ptr<connection_guard>> guards;
    guards.reserve(m_guards.size());
    for (const auto& [socket, guard] : m_guards) {
        guards.push_back(guard);
    }
    for (const auto& guard : guards) {
        guard->check_times();
    }
}

const http_server::route* http_server::find_route(const http_request& request, bool& path_exists) const {
    const route* best = nullptr;
    const QByteArray method = request.method == "HEAD" ? QByteArray("GET") : request.method;
    for (const route& candidate : m_routes) {
        if (!matches_prefix(request.path, candidate.prefix)) {
            continue;
        }
        path_exists = true;
        if (candidate.method == method && (best == nullptr || candidate.prefix.size() > best->prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

void http_server::handle_missing(const http_request& request, const shared_reply& reply, bool path_exists) {
    const QString text = QString::fromUtf8(request.method) + ' ' + request.path;
    const QJsonObject error{{"code", path_exists ? "method_not_allowed" : "not_found"},
                            {"message", text.left(200) + " is not served here"},
                            {"ran", "no"}};
    reply->send(path_exists ? 405 : 404, "application/json", json_text({{"error", error}}));
}

bool http_server::handleRequest(const QHttpServerRequest& source, QTcpSocket* socket) {
    const auto guard = m_guards.find(socket);
    if (guard == m_guards.end()) {
        return false;
    }
    guard->second->on_request_parsed();
    const http_request request = read_request(source, socket);
    const bool close_after = request.header("connection").toLower() == "close";
    const auto reply = std::make_shared<http_reply>(makeResponder(source, socket), socket, guard->second,
                                                    request.method == "HEAD", close_after);
    bool path_exists = false;
    if (const route* found = find_route(request, path_exists)) {
        found->action(request, reply);
    } else {
        handle_missing(request, reply, path_exists);
    }
    return true;
}

void http_server::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) {
    socket->abort();
}

}  // namespace verbenahold
