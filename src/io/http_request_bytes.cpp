#include "http_request_bytes.hpp"

namespace verbenahold {

namespace {

void append_header(QByteArray& request, const QByteArray& name, const QByteArray& value) {
    if (value.contains('\r') || value.contains('\n')) {
        return;
    }
    request += name + ": " + value + "\r\n";
}

}  // namespace

QByteArray request_bytes(const http_call& call, connection_use use) {
    QByteArray path = call.url.path(QUrl::FullyEncoded).toUtf8();
    if (path.isEmpty()) {
        path = "/";
    }
    if (call.url.hasQuery()) {
        path += '?' + call.url.query(QUrl::FullyEncoded).toUtf8();
    }
    QByteArray request = call.method + ' ' + path + " HTTP/1.1\r\n";
    append_header(request, "Host", call.url.authority(QUrl::FullyEncoded).toUtf8());
    if (use == connection_use::once) {
        append_header(request, "Connection", "close");
    }
    if (!call.body.isEmpty() || (call.method != "GET" && call.method != "HEAD")) {
        append_header(request, "Content-Length", QByteArray::number(call.body.size()));
    }
    if (!call.content_type.isEmpty()) {
        append_header(request, "Content-Type", call.content_type);
    }
    for (const auto& [name, value] : call.headers) {
        append_header(request, name, value);
    }
    request += "\r\n";
    request += call.body;
    return request;
}

}  // namespace verbenahold
