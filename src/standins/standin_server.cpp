#include "standin_server.hpp"

#include <QJsonDocument>

#include <algorithm>

namespace verbenahold::standins {

std::optional<QJsonObject> http_call::json() const {
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject()) {
        return std::nullopt;
    }
    return document.object();
}

bool http_call::is(const char* name, const char* pattern) const {
    if (method != name) {
        return false;
    }
    const QStringList wanted = QString::fromLatin1(pattern).split('/');
    if (segments.size() != wanted.size() + 1 || segments.front() != QLatin1String("v1")) {
        return false;
    }
    return std::equal(wanted.begin(), wanted.end(), segments.begin() + 1,
                      [](const QString& part, const QString& s) { return part == QLatin1String("*") || part == s; });
}

void send_json(const shared_reply& reply, int status, const QJsonObject& body) {
    reply->send(status, "application/json", json_text(body));
}

void send_error(const shared_reply& reply, int status, const char* code) {
    send_json(reply, status, {{"error", QString::fromLatin1(code)}});
}

void handle_admin_call(const http_call& call, const shared_reply& reply,
                       const std::function<void(const QJsonObject&)>& set_faults,
                       const std::function<QJsonObject()>& stats) {
    if (call.is("POST", "admin/faults")) {
        set_faults(call.json().value_or(QJsonObject()));
        send_json(reply, 200, {});
    } else if (call.is("GET", "admin/stats")) {
        send_json(reply, 200, stats());
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

standin_server::standin_server(const handler& action) {
    for (const char* method : {"GET", "PUT", "POST", "DELETE"}) {
        m_server.add_route(method, "/", [action](const http_request& request, const shared_reply& reply) {
            action({request, request.segments_after("/")}, reply);
        });
    }
}

std::optional<std::string> standin_server::start(const std::string& address) {
    const std::optional<endpoint> bound = m_server.listen_on(endpoint{address});
    return bound ? std::optional(bound->address) : std::nullopt;
}

}  // namespace verbenahold::standins
