#include "engine_client.hpp"

#include "backend_failure_conversion.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>

#include <optional>

#include "trace_context.hpp"

namespace verbenahold {

namespace {

// An event with more tokens is a bad answer.
constexpr qsizetype max_tokens_per_event = 100'000;

std::string text_of(const QJsonValue& value) {
    return value.toString().toStdString();
}

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

QUrl server_url(const endpoint& address, const QString& path) {
    QUrl url("http://" + QString::fromStdString(address.address));
    url.setPath(path, QUrl::StrictMode);
    return url;
}

QString stream_path(const std::string& stream) {
    return "/v1/streams/" + QString::fromUtf8(QUrl::toPercentEncoding(text(stream)));
}

http_call json_call(const char* method, const QUrl& url, const QJsonObject& body) {
    http_call call;
    call.method = method;
    call.url = url;
    call.content_type = "application/json";
    call.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    return call;
}

backend_failure failure_of(const http_answer& answer) {
    if (answer.failure != http_failure::none) {
        return to_backend_failure(answer.failure);
    }
    switch (answer.status) {
        case 200:
            // The stream ended without its final event.
            return backend_failure::reset;
        case 404:
            return backend_failure::unknown_stream;
        case 429:
            return backend_failure::overloaded;
        case 507:
            return backend_failure::out_of_memory;
        default:
            return answer.status / 100 == 4 ? backend_failure::rejected : backend_failure::bad_answer;
    }
}

std::string message_of(const http_answer& answer) {
    const QJsonObject error = QJsonDocument::fromJson(answer.body).object().value("error").toObject();
    return text_of(error.value("message"));
}

duration milliseconds_of(const QJsonValue& value) {
    return std::chrono::milliseconds(value.toInteger());
}

std::optional<load_report> parse_load(const server_name& server, const QJsonObject& json) {
    if (!json.value("incarnation").isDouble()) {
        return std::nullopt;
    }
    load_report report;
    report.server = server;
    report.incarnation = static_cast<std::uint64_t>(json.value("incarnation").toInteger());
    report.running = json.value("running").toInt();
    report.queued = json.value("queued").toInt();
    report.kv_used_tokens = json.value("kv_used_tokens").toInteger();
    report.kv_capacity_tokens = json.value("kv_capacity_tokens").toInteger();
    report.prefill_backlog_tokens = json.value("prefill_backlog_tokens").toInteger();
    report.model_version = text_of(json.value("model_version"));
    return report;
}

std::optional<stream_listing> parse_listing(const server_name& server, const QJsonObject& json) {
    if (!json.value("streams").isArray()) {
        return std::nullopt;
    }
    stream_listing listing;
    listing.server = server;
    listing.incarnation = static_cast<std::uint64_t>(json.value("incarnation").toInteger());
    for (const auto item : json.value("streams").toArray()) {
        const QJsonObject stream = item.toObject();
        listing.streams.push_back({text_of(stream.value("stream")), stream.value("kv_tokens").toInteger(),
                                   stream.value("has_reader").toBool(), milliseconds_of(stream.value("age_ms"))});
    }
    for (const auto item : json.value("reservations").toArray()) {
        const QJsonObject reservation = item.toObject();
        listing.reservations.push_back({text_of(reservation.value("reservation")),
                                        reservation.value("tokens").toInteger(),
                                        milliseconds_of(reservation.value("age_ms"))});
    }
    return listing;
}

}  // namespace

engine_client::engine_client(http_client& client, event_sink sink, QObject* parent)
    : QObject(parent), m_client(client), m_sink(std::move(sink)) {}

void engine_client::set_span_sink(std::function<void(const span_ended&)> sink, std::uint64_t seed) {
    m_on_span = std::move(sink);
    m_random.seed(seed);
}

void engine_client::set_addresses(std::map<server_name, endpoint> addresses) {
    m_addresses = std::move(addresses);
}

QString engine_client::url_of(const server_name& server) const {
    const auto found = m_addresses.find(server);
    return found == m_addresses.end() ? QString() : "http://" + text(found->second.address);
}

http_client::call_id engine_client::send(const http_call& call, std::function<void(const http_answer&)> done) {
    const QPointer<engine_client> self(this);
    return m_client.send(call, [self, done = std::move(done)](const http_answer& answer) {
        if (self) {
            done(answer);
        }
    });
}

// ---- streams

void engine_client::run(const open_stream& command) {
    QJsonArray generated;
    for (const std::string& token : command.generated) {
        generated.append(text(token));
    }
    QJsonArray parts;
    for (const memory_part& part : command.parts) {
        parts.append(QJsonObject{{"url", url_of(part.server)},
                                 {"reservation", text(part.reservation)},
                                 {"tokens", static_cast<qint64>(part.tokens)}});
    }
    const QJsonObject body{
        {"stream", text(command.stream)}, {"prompt", command.prompt ? text(*command.prompt) : QString()},
        {"generated", generated},         {"max_tokens", static_cast<qint64>(command.max_tokens)},
        {"priority", command.priority},   {"parts", parts}};
    http_call call = json_call("POST", server_url(command.address, "/v1/streams"), body);
    const stream_key key{command.server, command.stream};
    running_stream& stream = m_streams[key];
    stream.next_index = command.generated.size();
    stream.parent = command.traceparent;
    stream.traceparent = make_child_traceparent(command.traceparent, m_random);
    stream.started = std::chrono::steady_clock::now();
    call.headers.emplace_back("traceparent", QByteArray::fromStdString(stream.traceparent));
    call.timeout = silence_limit;
    read_stream(key, command.address, call);
}

void engine_client::run(const reopen_stream& command) {
    http_call call;
    call.url = server_url(command.address, stream_path(command.stream));
    call.url.setQuery("from=" + QString::number(command.from_index));
    call.timeout = silence_limit;
    const stream_key key{command.server, command.stream};
    const auto found = m_streams.find(key);
    if (found != m_streams.end()) {
        m_client.cancel(found->second.call);
    }
    m_streams[key].next_index = command.from_index;
    m_streams[key].opened = false;
    read_stream(key, command.address, call);
}

void engine_client::read_stream(const stream_key& key, const endpoint& address, const http_call& call) {
    const QPointer<engine_client> self(this);
    stream_callbacks callbacks;
    callbacks.on_open = [self, key] {
        if (self) {
            self->m_streams[key].opened = true;
            self->m_sink(stream_opened{key.first, key.second});
        }
    };
    callbacks.on_event = [self, key](const QByteArray& data) {
        if (self) {
            self->handle_event(key, data);
        }
    };
    callbacks.on_comment = [self, key] {
        if (self) {
            self->m_sink(stream_heartbeat{key.first, key.second});
        }
    };
    callbacks.on_end = [self, key, address](const http_answer& answer) {
        if (self) {
            self->handle_end(key, address, answer);
        }
    };
    m_streams[key].call = m_client.open_stream(call, silence_limit, std::move(callbacks));
}

void engine_client::handle_event(const stream_key& key, const QByteArray& data) {
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    const QJsonObject json = QJsonDocument::fromJson(data).object();
    if (json.value("done").toBool()) {
        m_client.cancel(found->second.call);
        end_span(found->second, true);
        m_streams.erase(found);
        m_sink(stream_finished{key.first, key.second, static_cast<std::uint64_t>(json.value("count").toInteger()),
                               json.value("cached").toInteger(), text_of(json.value("finish"))});
        return;
    }
    const QJsonArray list = json.value("tokens").toArray();
    const qint64 first = json.value("first").toInteger(-1);
    if (first < 0 || list.isEmpty() || list.size() > max_tokens_per_event) {
        m_client.cancel(found->second.call);
        fail_stream(key, backend_failure::bad_answer, "event without tokens");
        return;
    }
    stream_tokens tokens{key.first, key.second, static_cast<std::uint64_t>(first), {}};
    tokens.tokens.reserve(static_cast<std::size_t>(list.size()));
    for (const auto token : list) {
        tokens.tokens.push_back(token.toString().toStdString());
    }
    found->second.next_index = tokens.first_index + tokens.tokens.size();
    m_sink(std::move(tokens));
}

void engine_client::handle_end(const stream_key& key, const endpoint& address, const http_answer& answer) {
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    // 409: the POST was repeated and the stream already runs, so it is reopened.
    if (answer.failure == http_failure::none && answer.status == 409 && !found->second.opened) {
        run(reopen_stream{key.first, address, key.second, found->second.next_index});
        return;
    }
    fail_stream(key, failure_of(answer), message_of(answer));
}

void engine_client::end_span(const running_stream& stream, bool ok) {
    if (m_on_span) {
        const auto length = std::chrono::steady_clock::now() - stream.started;
        m_on_span({stream.traceparent, stream.parent, "engine", std::chrono::duration_cast<duration>(length), ok});
    }
}

void engine_client::fail_stream(const stream_key& key, backend_failure failure, const std::string& message) {
    if (const auto found = m_streams.find(key); found != m_streams.end()) {
        end_span(found->second, false);
        m_streams.erase(found);
    }
    m_sink(stream_failed{key.first, key.second, failure, message});
}

void engine_client::run(const cancel_stream& command) {
    const auto found = m_streams.find({command.server, command.stream});
    if (found != m_streams.end()) {
        m_client.cancel(found->second.call);
        m_streams.erase(found);
    }
    http_call call;
    call.method = "DELETE";
    call.url = server_url(command.address, stream_path(command.stream));
    send(call, [](const http_answer&) {});
}

// ---- polls

void engine_client::run(const poll_load& command) {
    http_call call;
    call.url = server_url(command.address, "/v1/load");
    call.timeout = poll_timeout;
    send(call, [this, server = command.server, address = command.address](const http_answer& answer) {
        handle_load(server, address, answer);
    });
}

void engine_client::handle_load(const server_name& server, const endpoint& address, const http_answer& answer) {
    if (!answer.is_success()) {
        m_sink(load_failed{server, to_backend_failure(answer.failure)});
        return;
    }
    const QJsonObject json = QJsonDocument::fromJson(answer.body).object();
    std::optional<load_report> report = parse_load(server, json);
    if (!report) {
        m_sink(load_failed{server, backend_failure::bad_answer});
        return;
    }
    cache_position& position = m_cache_positions[server];
    if (position.incarnation != report->incarnation) {
        position = {report->incarnation, 0, position.polling};
    }
    // Plain services have neither KV memory nor a prefix cache to poll.
    if (json.contains("kv_capacity_tokens") && !position.polling) {
        poll_cache_events(server, address);
    }
    m_sink(*std::move(report));
}

void engine_client::poll_cache_events(const server_name& server, const endpoint& address) {
    cache_position& position = m_cache_positions[server];
    position.polling = true;
    http_call call;
    call.url = server_url(address, "/v1/cache_events");
    call.url.setQuery("after=" + QString::number(position.next));
    call.timeout = poll_timeout;
    send(call, [this, server](const http_answer& answer) { handle_cache_events(server, answer); });
}

void engine_client::handle_cache_events(const server_name& server, const http_answer& answer) {
    cache_position& position = m_cache_positions[server];
    position.polling = false;
    const QJsonObject json = QJsonDocument::fromJson(answer.body).object();
    if (!answer.is_success() || !json.value("next").isDouble()) {
        return;
    }
    position.next = json.value("next").toInteger();
    for (const auto item : json.value("events").toArray()) {
        const QJsonObject event = item.toObject();
        bool number = false;
        const std::uint64_t hash = event.value("prefix_hash").toString().toULongLong(&number, 16);
        if (number) {
            m_sink(cache_event{server, hash, event.value("stored").toBool(true)});
        }
    }
}

void engine_client::run(const list_streams& command) {
    http_call call;
    call.url = server_url(command.address, "/v1/streams");
    call.timeout = poll_timeout;
    send(call, [this, server = command.server](const http_answer& answer) {
        const auto json = QJsonDocument::fromJson(answer.body).object();
        std::optional<stream_listing> listing = answer.is_success() ? parse_listing(server, json) : std::nullopt;
        if (listing) {
            m_sink(*std::move(listing));
        } else {
            m_sink(load_failed{server, to_backend_failure(answer.failure)});
        }
    });
}

// ---- KV memory

void engine_client::run(const reserve_memory& command) {
    const auto expires = std::chrono::duration_cast<std::chrono::milliseconds>(command.expires_in);
    const QJsonObject body{{"reservation", text(command.reservation)},
                           {"tokens", static_cast<qint64>(command.tokens)},
                           {"expires_ms", static_cast<qint64>(expires.count())}};
    const http_call call = json_call("POST", server_url(command.address, "/v1/reservations"), body);
    send(call, [this, command](const http_answer& answer) {
        // The reservation may have taken effect although there was no answer.
        if (answer.failure != http_failure::none && answer.failure != http_failure::refused) {
            run(release_memory{command.server, command.address, command.reservation});
        }
        m_sink(memory_reserved{command.server, command.reservation, answer.is_success()});
    });
}

void engine_client::run(const release_memory& command) {
    http_call call;
    call.method = "DELETE";
    const QByteArray name = QUrl::toPercentEncoding(text(command.reservation));
    call.url = server_url(command.address, "/v1/reservations/" + QString::fromUtf8(name));
    send(call, [](const http_answer&) {});
}

void engine_client::run(const replace_part& command) {
    const QJsonObject part{{"url", "http://" + text(command.replacement_address.address)},
                           {"reservation", text(command.replacement.reservation)},
                           {"tokens", static_cast<qint64>(command.replacement.tokens)}};
    const QJsonObject body{{"lost_url", url_of(command.lost_server)}, {"part", part}};
    const http_call call = json_call("PUT", server_url(command.address, stream_path(command.stream) + "/parts"), body);
    send(call, [this, key = stream_key{command.server, command.stream}](const http_answer& answer) {
        const auto found = m_streams.find(key);
        if (!answer.is_success() && found != m_streams.end()) {
            m_client.cancel(found->second.call);
            fail_stream(key, failure_of(answer), "the lost part could not be replaced");
        }
    });
}

}  // namespace verbenahold
