// HTTP server of the stand-ins: one handler for all paths, with helpers for
// paths and JSON.
#pragma once

#include "http_server.hpp"

#include <QJsonObject>
#include <QStringList>

#include <functional>
#include <optional>
#include <string>

namespace verbenahold::standins {

struct http_call : http_request {
    // Path segments, percent-decoded; the first is "v1".
    QStringList segments;

    // The body as a JSON object; nothing if it is not one.
    [[nodiscard]] std::optional<QJsonObject> json() const;
    // Whether the method is `name` and the path is "/v1/" plus `pattern`, in
    // which a segment "*" matches any one segment.
    [[nodiscard]] bool is(const char* name, const char* pattern) const;
};

void send_json(const shared_reply& reply, int status, const QJsonObject& body);
// An error body {"error":code}.
void send_error(const shared_reply& reply, int status, const char* code);

// Serves "/v1/admin/": POST faults gives the body to `set_faults`, GET stats
// answers what `stats` returns.
void handle_admin_call(const http_call& call, const shared_reply& reply,
                       const std::function<void(const QJsonObject&)>& set_faults,
                       const std::function<QJsonObject()>& stats);

class standin_server {
public:
    using handler = std::function<void(const http_call&, const shared_reply&)>;

    explicit standin_server(const handler& action);

    // Listens at "address:port"; port 0 lets the kernel choose. Returns the
    // address in use, or nothing if the address cannot be bound.
    std::optional<std::string> start(const std::string& address);

private:
    http_server m_server;
};

}  // namespace verbenahold::standins
