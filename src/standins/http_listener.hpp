// A small HTTP server for the stand-ins on top of Qt's: whole JSON answers,
// streamed answers, and notice of callers that go away.
#pragma once

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHttpServerResponder>
#include <QJsonObject>
#include <QPointer>
#include <QString>
#include <QStringList>
#include <QTcpSocket>
#include <QUrlQuery>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace verbenahold::standins {

// One request, copied out of Qt's so that it outlives the handler.
struct http_call {
    QByteArray method;
    // Path without the query, split at '/', percent-decoded.
    QStringList segments;
    QUrlQuery query;
    QList<QPair<QByteArray, QByteArray>> headers;
    QByteArray body;

    [[nodiscard]] QByteArray header(const QByteArray& name) const;
    // The body as a JSON object; nothing if it is not one.
    [[nodiscard]] std::optional<QJsonObject> json() const;
    // Whether the method is `name` and the path is "/v1/" plus `path`, in
    // which a segment "*" matches any one segment.
    [[nodiscard]] bool is(const char* name, const char* path) const;
};

// The answer to one request. It may be kept and completed later; a call on an
// answer whose caller is gone does nothing.
class http_reply {
public:
    http_reply(QHttpServerResponder responder, QTcpSocket* socket);
    ~http_reply();
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;
    http_reply(http_reply&&) = delete;
    http_reply& operator=(http_reply&&) = delete;

    void send(int status, const QByteArray& content_type, const QByteArray& body);
    void send_json(int status, const QJsonObject& body);
    // An error body {"error":code}.
    void send_error(int status, const char* code);
    // Starts a chunked answer with status 200.
    void begin_stream(const QByteArray& content_type);
    void write_chunk(const QByteArray& data);
    void end_stream();
    // Resets the connection without any further answer.
    void drop();
    // False once the answer is complete or the caller is gone.
    [[nodiscard]] bool is_open() const { return m_responder.has_value(); }
    // `action` is called once if the caller goes away before the end.
    void on_gone(std::function<void()> action) { m_gone = std::move(action); }

private:
    void finish();
    void handle_disconnect();

    std::optional<QHttpServerResponder> m_responder;
    QPointer<QTcpSocket> m_socket;
    QMetaObject::Connection m_connection;
    std::function<void()> m_gone;
};

using shared_reply = std::shared_ptr<http_reply>;

class http_listener : public QAbstractHttpServer {
public:
    using handler = std::function<void(const http_call&, const shared_reply&)>;

    explicit http_listener(handler action, QObject* parent = nullptr);

    // Listens at "address:port"; port 0 lets the kernel choose. Returns the
    // address in use, or nothing if the address cannot be bound.
    std::optional<std::string> start(const std::string& address);

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    handler m_handler;
};

}  // namespace verbenahold::standins
