// Base class of the HTTP interfaces: routes by method and path prefix, complete
// and streamed answers, and limits on the use of a connection.
#pragma once

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHostAddress>
#include <QPointer>
#include <QSslConfiguration>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "verbenahold/types.hpp"

class QHttpServerResponder;

namespace verbenahold {

// Large enough for a million tokens of 4 bytes, JSON-escaped.
inline constexpr qint64 default_body_limit = 16LL * 1024 * 1024;

struct http_limits {
    // Request line and headers together.
    qint64 header_bytes = 64LL * 1024;
    qint64 body_bytes = default_body_limit;
    // From the first byte of a request to its last one.
    std::chrono::milliseconds request_time{30'000};
    // A connection without a request is closed after this time.
    std::chrono::milliseconds idle_time{120'000};
    // A connection is closed if its peer reads none of the written bytes for this
    // long.
    std::chrono::milliseconds write_stall_time{10'000};
    // Limit of written bytes that the peer has not read; a streamed answer that
    // exceeds it is aborted.
    qint64 write_buffer_bytes = 8LL * 1024 * 1024;
    // Time limit of a TLS handshake.
    std::chrono::milliseconds handshake_time{10'000};
    // Limit of open connections; further ones are closed at once.
    int connections = 20'000;
};

// Inspects the bytes of one connection before the HTTP parser and enforces
// http_limits.
class connection_guard;

using http_headers = std::vector<std::pair<QByteArray, QByteArray>>;

struct http_request {
    // In upper case, for example "GET".
    QByteArray method;
    // Percent-decoded path without the query; raw_path is the path as received.
    QString path;
    QByteArray raw_path;
    QUrlQuery query;
    // Names in lower case.
    http_headers headers;
    QByteArray body;
    QHostAddress peer;

    // Value of the header `name`, which must be in lower case; empty if absent.
    [[nodiscard]] QByteArray header(const QByteArray& name) const;
    // Path segments after `prefix`, percent-decoded one by one.
    [[nodiscard]] QStringList segments_after(const QString& prefix) const;
};

// The answer to one request, which may be sent later. If the object is destroyed
// without an answer, the caller gets status 500. Use it on the server's thread
// only.
class http_reply {
public:
    http_reply(QHttpServerResponder&& responder, QTcpSocket* socket, std::shared_ptr<connection_guard> guard,
               bool head_only, bool close_after);
    ~http_reply();
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;
    http_reply(http_reply&&) = delete;
    http_reply& operator=(http_reply&&) = delete;

    // Sends the complete answer.
    void send(int status, const QByteArray& content_type, const QByteArray& body, const http_headers& headers = {});
    // Starts a streamed answer; continue with write() and end().
    void begin(int status, const QByteArray& content_type, const http_headers& headers = {});
    // Sends one chunk. Returns false if the caller has disconnected or too many
    // written bytes are unread; the connection is closed in that case.
    bool write(const QByteArray& chunk);
    // Ends a streamed answer.
    void end();
    // Closes the connection without finishing the answer, so that the caller
    // detects that it is incomplete.
    void abort();

    // Sets a function that is called once if the connection ends before the
    // answer is complete.
    void on_gone(std::function<void()> action);
    // True while the answer is incomplete and the caller is connected.
    [[nodiscard]] bool is_open() const;
    [[nodiscard]] bool has_begun() const { return m_begun; }

private:
    void release();
    void handle_disconnect();

    std::unique_ptr<QHttpServerResponder> m_responder;
    QPointer<QTcpSocket> m_socket;
    std::shared_ptr<connection_guard> m_guard;
    QMetaObject::Connection m_gone_connection;
    std::function<void()> m_on_gone;
    bool m_head_only = false;
    bool m_close_after = false;
    bool m_begun = false;
    bool m_ended = false;
};

using shared_reply = std::shared_ptr<http_reply>;

class http_server : public QAbstractHttpServer {
public:
    using handler = std::function<void(const http_request&, const shared_reply&)>;

    explicit http_server(http_limits limits = {}, QObject* parent = nullptr);
    ~http_server() override;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Serves requests of `method` whose path begins with `prefix` at a segment
    // boundary; the longest prefix wins.
    void add_route(const QByteArray& method, const QString& prefix, handler action);
    // Uses TLS for new connections. Returns an error message, empty on success.
    std::string use_tls(const std::string& certificate_file, const std::string& key_file);
    // Starts to listen; with port 0 the kernel chooses the port. Returns the
    // actual address, or no value on failure.
    std::optional<endpoint> listen_on(const endpoint& address);
    // Stops accepting connections; open ones continue.
    void stop_listening();
    [[nodiscard]] std::size_t open_connections() const { return m_guards.size(); }

protected:
    // Answers a request whose path or method has no route.
    virtual void handle_missing(const http_request& request, const shared_reply& reply, bool path_exists);

    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    class acceptor;
    struct route {
        QByteArray method;
        QString prefix;
        handler action;
    };

    void adopt(qintptr descriptor);
    void guard_connection(QTcpSocket* socket);
    void sweep();
    [[nodiscard]] const route* find_route(const http_request& request, bool& path_exists) const;

    http_limits m_limits;
    std::vector<route> m_routes;
    std::optional<QSslConfiguration> m_tls;
    acceptor* m_acceptor = nullptr;
    std::map<QTcpSocket*, std::shared_ptr<connection_guard>> m_guards;
    QTimer m_sweep;
};

// Compact JSON text of `object`.
QByteArray json_text(const QJsonObject& object);

}  // namespace verbenahold
