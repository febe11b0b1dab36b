#include "operator_listener.hpp"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_invalid = 422;
// Records are small, so a larger body is an error.
constexpr qint64 record_body_limit = 1024LL * 1024;

http_limits operator_limits() {
    http_limits limits;
    limits.body_bytes = record_body_limit;
    limits.connections = 200;
    return limits;
}

void send_error(const shared_reply& reply, int status, const char* code, const QString& message) {
    reply->send(status, "application/json",
                json_text({{"error", QJsonObject{{"code", code}, {"message", message}, {"accepted", "no"}}}}));
}

}  // namespace

std::vector<QByteArray> parse_key_hashes(std::string_view text) {
    constexpr qsizetype hash_bytes = 32;
    std::vector<QByteArray> hashes;
    for (const QByteArray& part : QByteArray(text.data(), static_cast<qsizetype>(text.size())).split(',')) {
        const QByteArray hex = part.trimmed().toLower();
        const QByteArray hash = QByteArray::fromHex(hex);
        if (hash.size() != hash_bytes || hash.toHex() != hex) {
            return {};
        }
        hashes.push_back(hash);
    }
    return hashes;
}

operator_listener::operator_listener(control_shell& shell, std::vector<QByteArray> key_hashes, QObject* parent)
    : http_server(operator_limits(), parent), m_shell(shell), m_key_hashes(std::move(key_hashes)) {
    m_shell.set_reply_sink([this](const operator_reply& reply) { answer(reply); });
    add_route("GET", "/healthz", [](const http_request&, const shared_reply& reply) {
        reply->send(status_ok, "application/json", json_text({{"ok", true}}));
    });
    add_route("GET", "/metrics", [this](const http_request&, const shared_reply& reply) {
        reply->send(status_ok, "text/plain; version=0.0.4", m_shell.metrics_text());
    });
    add_operator_route("GET", "/v1/records",
                       [this](const http_request& request, std::uint64_t ticket, const shared_reply& reply) {
                           read_record(request, ticket, reply);
                       });
    add_operator_route("PUT", "/v1/records",
                       [this](const http_request& request, std::uint64_t ticket, const shared_reply& reply) {
                           write_record(request, ticket, reply);
                       });
    add_operator_route(
        "GET", "/v1/changes", [this](const http_request& request, std::uint64_t ticket, const shared_reply&) {
            m_shell.deliver(changes_request{ticket, request.query.queryItemValue("after").toULongLong()});
        });
    add_operator_route("GET", "/v1/status", [this](const http_request&, std::uint64_t ticket, const shared_reply&) {
        m_shell.deliver(status_request{ticket});
    });
}

bool operator_listener::is_authorized(const http_request& request) const {
    static const QByteArray scheme = "Bearer ";
    const QByteArray header = request.header("authorization");
    if (!header.startsWith(scheme)) {
        return false;
    }
    // Comparing hashes prevents timing attacks on the key.
    const QByteArray hash = QCryptographicHash::hash(header.mid(scheme.size()), QCryptographicHash::Sha256);
    return std::find(m_key_hashes.begin(), m_key_hashes.end(), hash) != m_key_hashes.end();
}

void operator_listener::add_operator_route(const QByteArray& method, const QString& prefix, request_action action) {
    add_route(method, prefix,
              [this, action = std::move(action)](const http_request& request, const shared_reply& reply) {
                  if (!is_authorized(request)) {
                      send_error(reply, status_unauthorized, "unauthorized", "an operator key is required");
                      return;
                  }
                  const std::uint64_t ticket = ++m_last_ticket;
                  m_open.emplace(ticket, reply);
                  // The core answers every request; the entry of a disconnected
                  // caller is removed.
                  reply->on_gone([this, ticket] { m_open.erase(ticket); });
                  action(request, ticket, reply);
              });
}

void operator_listener::read_record(const http_request& request, std::uint64_t ticket, const shared_reply& reply) {
    const QStringList parts = request.segments_after("/v1/records");
    const auto kind = parts.isEmpty() ? std::nullopt : parse_record_kind(parts[0].toStdString());
    if (!kind || parts.size() > 2) {
        m_open.erase(ticket);
        send_error(reply, status_not_found, "not_found", "there is no such kind of record");
        return;
    }
    const auto name = parts.size() == 2 ? std::optional(parts[1].toStdString()) : std::nullopt;
    m_shell.deliver(read_request{ticket, *kind, name});
}

void operator_listener::write_record(const http_request& request, std::uint64_t ticket, const shared_reply& reply) {
    const QStringList parts = request.segments_after("/v1/records");
    QJsonParseError fault;
    const QJsonDocument document = QJsonDocument::fromJson(request.body, &fault);
    if (parts.size() != 2 || !document.isObject()) {
        m_open.erase(ticket);
        if (parts.size() != 2) {
            send_error(reply, status_not_found, "not_found", "the path is /v1/records/<kind>/<name>");
        } else {
            send_error(reply, status_invalid, "invalid", "the body is not a JSON object: " + fault.errorString());
        }
        return;
    }
    QJsonObject body = document.object();
    const std::string operation = body.take("operation").toString().toStdString();
    body["kind"] = parts[0];
    body["name"] = parts[1];
    m_shell.deliver(write_request{ticket, body, operation});
}

void operator_listener::answer(const operator_reply& reply) {
    const auto node = m_open.extract(reply.ticket);
    if (!node.empty()) {
        node.mapped()->send(reply.status, "application/json", json_text(reply.body));
    }
}

}  // namespace verbenahold
