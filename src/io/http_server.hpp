// HTTP server that programs derive their interfaces from: routes by method and
// path prefix, whole and streamed answers, limits on what a connection may
// send and take.
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

// A million tokens of 4 bytes, JSON-escaped, stay below this.
inline constexpr qint64 default_body_limit = 16LL * 1024 * 1024;

struct http_limits {
    // Longest request line and headers.
    qint64 header_bytes = 64LL * 1024;
    qint64 body_bytes = default_body_limit;
    // From the first byte of a request to its last one.
    std::chrono::milliseconds request_time{30'000};
    // A connection without a request is closed after this.
    std::chrono::milliseconds idle_time{120'000};
    // A connection whose written bytes are not taken for this long is closed.
    std::chrono::milliseconds write_stall_time{10'000};
    // Bytes waiting to be taken by the peer; a streamed answer above it ends.
    qint64 write_buffer_bytes = 8LL * 1024 * 1024;
    // TLS handshakes end within this.
    std::chrono::milliseconds handshake_time{10'000};
    // Connections beyond this are closed at once.
    int connections = 20'000;
};

// Follows the bytes of one connection in front of the HTTP parser and enforces
// http_limits.
class connection_guard;

using http_headers = std::vector<std::pair<QByteArray, QByteArray>>;

struct http_request {
    // Upper case, as in "GET".
    QByteArray method;
    // Path without query, percent-decoded; raw_path is as it was sent.
    QString path;
    QByteArray raw_path;
    QUrlQuery query;
    // Names in lower case.
    http_headers headers;
    QByteArray body;
    QHostAddress peer;

    // Value of the header, given in lower case; empty if absent.
    [[nodiscard]] QByteArray header(const QByteArray& name) const;
    // Path segments after `prefix`, percent-decoded one by one.
    [[nodiscard]] QStringList segments_after(const QString& prefix) const;
};

// The answer to one request. May be kept and answered later; if it is dropped
// without an answer, the caller gets 500. All calls are made on the server's
// thread.
class http_reply {
public:
    http_reply(QHttpServerResponder&& responder, QTcpSocket* socket, std::shared_ptr<connection_guard> guard,
               bool head_only, bool close_after);
    ~http_reply();
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;
    http_reply(http_reply&&) = delete;
    http_reply& operator=(http_reply&&) = delete;

    // Sends the whole answer.
    void send(int status, const QByteArray& content_type, const QByteArray& body, const http_headers& headers = {});
    // Begins a streamed answer; write() and end() follow.
    void begin(int status, const QByteArray& content_type, const http_headers& headers = {});
    // Sends one chunk. False when the caller is gone or does not take what was
    // written; then its connection is closed.
    bool write(const QByteArray& chunk);
    // Ends a streamed answer.
    void end();
    // Closes the connection without finishing the answer, so that the caller
    // sees that it is not whole.
    void abort();

    // Called once, when the caller's connection ends before the answer did.
    void on_gone(std::function<void()> action);
    // Whether the answer is neither complete nor its caller gone.
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
    // Serves TLS from now on; empty if good, else what is wrong.
    std::string use_tls(const std::string& certificate_file, const std::string& key_file);
    // Listens; the port is 0 in `address` to let the kernel choose. The actual
    // address, or none when it can't be listened on.
    std::optional<endpoint> listen_on(const endpoint& address);
    // Accepts no new connections; open ones go on.
    void stop_listening();
    [[nodiscard]] std::size_t open_connections() const { return m_guards.size(); }

protected:
    // Answer to a path or method without a route.
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

// Text of a JSON value for answers.
QByteArray json_text(const QJsonObject& object);

}  // namespace verbenahold
