#include "service_client.hpp"

#include "backend_failure_conversion.hpp"

#include <QPointer>

#include <algorithm>
#include <utility>

#include "one_shot_call.hpp"

namespace verbenahold {

namespace {

constexpr duration shortest_time = std::chrono::milliseconds(1);

http_call make_call(const call_service& command) {
    http_call call;
    call.method = QByteArray::fromStdString(command.method);
    call.url = QUrl::fromEncoded("http://" + QByteArray::fromStdString(command.address.address) +
                                 QByteArray::fromStdString(command.path));
    call.content_type = QByteArray::fromStdString(command.content_type);
    call.body = command.body ? QByteArray::fromStdString(*command.body) : QByteArray();
    if (!command.idempotency_key.empty()) {
        call.headers.emplace_back("Idempotency-Key", QByteArray::fromStdString(command.idempotency_key));
    }
    if (!command.traceparent.empty()) {
        call.headers.emplace_back("traceparent", QByteArray::fromStdString(command.traceparent));
    }
    call.timeout = std::chrono::ceil<std::chrono::milliseconds>(std::max(command.time_left, shortest_time));
    return call;
}

}  // namespace

service_client::service_client(http_client& client, event_sink sink, QObject* parent)
    : QObject(parent), m_client(client), m_sink(std::move(sink)) {}

void service_client::run(const call_service& command) {
    const QPointer<service_client> self(this);
    auto done = [self, server = command.server, attempt = command.attempt](const http_answer& answer) {
        if (self) {
            self->handle_answer(server, attempt, answer);
        }
    };
    if (command.idempotent) {
        m_client.send(make_call(command), std::move(done));
    } else {
        one_shot_call::start(make_call(command), this, std::move(done));
    }
}

void service_client::handle_answer(const server_name& server, const attempt_id& attempt, const http_answer& answer) {
    if (answer.failure != http_failure::none) {
        m_sink(service_failed{server, attempt, to_backend_failure(answer.failure)});
        return;
    }
    m_sink(
        service_replied{server, attempt, answer.status, answer.content_type.toStdString(), answer.body.toStdString()});
}

}  // namespace verbenahold
