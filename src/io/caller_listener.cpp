#include "caller_listener.hpp"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonObject>

#include <utility>

#include "trace_context.hpp"

namespace verbenahold {

namespace {

constexpr auto json_type = "application/json";
constexpr std::chrono::milliseconds keep_alive_check{1'000};
const QString services_prefix = QStringLiteral("/v1/services");

// Hexadecimal SHA-256 of the key in "Authorization: Bearer KEY"; empty without
// a key.
std::string key_hash_of(const http_request& request) {
    const QByteArray header = request.header("authorization");
    if (!header.startsWith("Bearer ")) {
        return {};
    }
    const QByteArray key = header.mid(7).trimmed();
    return QCryptographicHash::hash(key, QCryptographicHash::Sha256).toHex().toStdString();
}

void refuse_bad_request(const shared_reply& reply, const std::string& message) {
    reply->send(400, json_type, error_body("bad_request", message, ran_state::no));
}

shared_text share(std::string text) {
    return std::make_shared<const std::string>(std::move(text));
}

std::int64_t unix_seconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

}  // namespace

caller_listener::caller_listener(hooks given, std::uint64_t seed, http_limits limits, QObject* parent)
    : http_server(limits, parent), m_hooks(std::move(given)), m_random(seed) {
    add_routes();
    m_keep_alive.setInterval(keep_alive_check);
    connect(&m_keep_alive, &QTimer::timeout, this, [this] { send_keep_alives(); });
    m_keep_alive.start();
}

void caller_listener::add_routes() {
    const auto bind_to = [this](auto method) {
        return
            [this, method](const http_request& request, const shared_reply& reply) { (this->*method)(request, reply); };
    };
    add_route("GET", "/v1/locate", bind_to(&caller_listener::handle_locate));
    add_route("POST", "/v1/completions", bind_to(&caller_listener::handle_completion));
    for (const auto* method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
        add_route(method, services_prefix, bind_to(&caller_listener::handle_service));
    }
    add_route("GET", "/healthz", [](const auto&, const auto& reply) { reply->send(200, "text/plain", "ok\n"); });
    add_route("GET", "/readyz", [this](const auto&, const auto& reply) {
        const bool ready = m_hooks.is_ready();
        // Control processes write records in the highest schema version that
        // all daemons support according to this answer.
        reply->send(ready ? 200 : 503, "application/json",
                    json_text({{"ready", ready},
                               {"oldest_schema", oldest_schema_version},
                               {"newest_schema", newest_schema_version}}));
    });
    add_route("GET", "/metrics", [this](const auto&, const auto& reply) {
        reply->send(200, "text/plain; version=0.0.4", m_hooks.metrics_text());
    });
}

// ---- requests

caller_listener::open_request& caller_listener::open(std::uint64_t ticket, const http_request& request,
                                                     const shared_reply& reply) {
    open_request opened;
    opened.reply = reply;
    opened.identity.ticket = ticket;
    opened.identity.created_s = unix_seconds();
    opened.started = std::chrono::steady_clock::now();
    opened.last_write = opened.started;
    opened.parent = request.header("traceparent").toStdString();
    opened.traceparent = make_child_traceparent(opened.parent, m_random);
    reply->on_gone([this, ticket] {
        close(ticket, false);
        m_hooks.sink(caller_disconnected{ticket});
    });
    return m_open.emplace(ticket, std::move(opened)).first->second;
}

void caller_listener::handle_locate(const http_request& request, const shared_reply& reply) {
    const QString keys = request.query.queryItemValue("keys");
    bool number = true;
    const int wanted = keys.isEmpty() ? 0 : keys.toInt(&number);
    if (!number || wanted < 0 || wanted > max_keys_per_locate) {
        refuse_bad_request(reply, "keys must be a whole number from 0 to " + std::to_string(max_keys_per_locate));
        return;
    }
    const std::uint64_t ticket = ++m_last_ticket;
    open(ticket, request, reply);
    const std::string zone = request.query.queryItemValue("zone", QUrl::FullyDecoded).toStdString();
    m_hooks.sink(locate_request{ticket, key_hash_of(request), zone_name(zone), wanted});
}

void caller_listener::handle_completion(const http_request& request, const shared_reply& reply) {
    auto parsed = parse_completion(request.body);
    if (!parsed) {
        refuse_bad_request(reply, parsed.error().message);
        return;
    }
    const auto header_deadline = parse_deadline(request.header("x-deadline-ms"));
    if (!header_deadline) {
        refuse_bad_request(reply, header_deadline.error().message);
        return;
    }
    completion_request& completion = parsed.value();
    const std::uint64_t ticket = ++m_last_ticket;
    open_request& opened = open(ticket, request, reply);
    opened.identity.model = completion.model;
    opened.stream = completion.stream;
    caller_request event;
    event.ticket = ticket;
    event.kind = call_kind::completion;
    event.service = service_name(completion.model);
    event.key_hash = key_hash_of(request);
    event.body = share(std::move(completion.prompt));
    event.method = "POST";
    event.path = "/v1/completions";
    event.max_tokens = completion.max_tokens;
    event.deadline = completion.deadline > duration::zero() ? completion.deadline : header_deadline.value();
    event.traceparent = opened.traceparent;
    m_hooks.sink(std::move(event));
}

void caller_listener::handle_service(const http_request& request, const shared_reply& reply) {
    const QStringList segments = request.segments_after(services_prefix);
    const auto deadline = parse_deadline(request.header("x-deadline-ms"));
    if (segments.size() < 2 || !deadline) {
        refuse_bad_request(reply, deadline ? "the path must be /v1/services/SERVICE/..." : deadline.error().message);
        return;
    }
    const std::uint64_t ticket = ++m_last_ticket;
    const open_request& opened = open(ticket, request, reply);
    caller_request event;
    event.ticket = ticket;
    event.kind = call_kind::plain;
    event.service = service_name(segments.front().toStdString());
    event.key_hash = key_hash_of(request);
    event.body = share(request.body.toStdString());
    event.method = request.method.toStdString();
    // Services are called with the prefix /v1/services/SERVICE replaced by /v1.
    const QByteArray rest = request.raw_path.mid(services_prefix.size() + 1);
    event.path = "/v1" + rest.mid(rest.indexOf('/')).toStdString();
    if (!request.query.isEmpty()) {
        event.path += '?' + request.query.toString(QUrl::FullyEncoded).toStdString();
    }
    event.content_type = request.header("content-type").toStdString();
    event.idempotency_key = request.header("idempotency-key").toStdString();
    event.idempotent = request.method == "GET" || request.method == "HEAD";
    event.deadline = deadline.value();
    event.traceparent = opened.traceparent;
    m_hooks.sink(std::move(event));
}

// ---- replies

void caller_listener::begin_stream(open_request& request) {
    if (!request.reply->has_begun()) {
        request.reply->begin(200, "text/event-stream", {{"Cache-Control", "no-cache"}});
    }
}

void caller_listener::write(open_request& request, const QByteArray& bytes) {
    // Writing may close the connection, which destroys `request`.
    const shared_reply reply = request.reply;
    request.last_write = std::chrono::steady_clock::now();
    begin_stream(request);
    reply->write(bytes);
}

void caller_listener::close(std::uint64_t ticket, bool ok) {
    const auto found = m_open.find(ticket);
    if (found == m_open.end()) {
        return;
    }
    const open_request ended = std::move(found->second);
    m_open.erase(found);
    const auto length = std::chrono::steady_clock::now() - ended.started;
    if (m_hooks.on_span) {
        m_hooks.on_span({ended.traceparent, ended.parent, "caller", std::chrono::duration_cast<duration>(length), ok});
    }
}

void caller_listener::run(const reply_tokens& reply) {
    const auto found = m_open.find(reply.ticket);
    if (found == m_open.end()) {
        return;
    }
    if (found->second.stream) {
        write(found->second, token_event(found->second.identity, reply));
        return;
    }
    for (const std::string& token : reply.tokens) {
        found->second.text += token;
    }
}

void caller_listener::run(const reply_finished& reply) {
    const auto found = m_open.find(reply.ticket);
    if (found == m_open.end()) {
        return;
    }
    open_request& request = found->second;
    const shared_reply answer = request.reply;
    if (request.stream) {
        const QByteArray events = end_events(request.identity, reply);
        close(reply.ticket, true);
        if (!answer->has_begun()) {
            answer->begin(200, "text/event-stream", {{"Cache-Control", "no-cache"}});
        }
        answer->write(events);
        answer->end();
        return;
    }
    const QByteArray body = completion_body(request.identity, request.text, reply);
    close(reply.ticket, true);
    answer->send(200, json_type, body);
}

void caller_listener::run(const reply_service& reply) {
    const auto found = m_open.find(reply.ticket);
    if (found == m_open.end()) {
        return;
    }
    const shared_reply answer = found->second.reply;
    close(reply.ticket, reply.status < 500);
    answer->send(reply.status, QByteArray::fromStdString(reply.content_type), QByteArray::fromStdString(reply.body));
}

void caller_listener::run(const reply_refused& reply) {
    const auto found = m_open.find(reply.ticket);
    if (found == m_open.end()) {
        return;
    }
    const shared_reply answer = found->second.reply;
    close(reply.ticket, false);
    const std::string_view code = to_string(reply.code);
    if (answer->has_begun()) {
        answer->write(error_event(code, reply.message, reply.ran));
        answer->end();
        return;
    }
    http_headers headers;
    if (reply.retry_after > duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retry_after);
        headers.emplace_back("Retry-After", QByteArray::number(static_cast<qint64>(seconds.count())));
    }
    answer->send(http_status(reply.code), json_type, error_body(code, reply.message, reply.ran), headers);
}

void caller_listener::run(const reply_located& reply) {
    const auto found = m_open.find(reply.ticket);
    if (found == m_open.end()) {
        return;
    }
    QJsonArray entries;
    for (const located_entry& entry : reply.entries) {
        entries.append(QJsonObject{{"address", QString::fromStdString(entry.caller_endpoint.address)},
                                   {"zone", QString::fromStdString(entry.zone.value)}});
    }
    QJsonArray keys;
    for (const std::string& key : reply.keys) {
        keys.append(QString::fromStdString(key));
    }
    const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(reply.time_to_live);
    const shared_reply answer = found->second.reply;
    close(reply.ticket, true);
    answer->send(200, json_type,
                 json_text({{"entries", entries}, {"ttl_ms", static_cast<qint64>(ttl.count())}, {"keys", keys}}));
}

void caller_listener::send_keep_alives() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> quiet;
    for (const auto& [ticket, request] : m_open) {
        if (request.stream && now - request.last_write >= keep_alive_period) {
            quiet.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : quiet) {
        if (const auto found = m_open.find(ticket); found != m_open.end()) {
            write(found->second, ": keep-alive\n\n");
        }
    }
}

}  // namespace verbenahold
