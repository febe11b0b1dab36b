#include "http_client.hpp"

#include "answer_parser.hpp"
#include "event_stream_parser.hpp"

#include <algorithm>
#include <string_view>

namespace verbenahold {

namespace {

using parse_progress = serving::answer_parser::progress;

constexpr std::chrono::seconds trim_period{10};
constexpr std::chrono::milliseconds max_idle_time{30'000};
constexpr int http_port = 80;
constexpr int https_port = 443;

QString server_of(const QUrl& url) {
    return url.scheme() + "://" + url.authority();
}

// A complete request. A body, also an empty one of a method that has one, comes with its length.
QByteArray request_bytes(const http_call& call) {
    const auto target = call.url.toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority | QUrl::RemoveFragment);
    QByteArray bytes = call.method + ' ' + (target.startsWith('/') ? target : '/' + target) + " HTTP/1.1\r\n";
    bytes += "Host: " + call.url.authority(QUrl::FullyEncoded | QUrl::RemoveUserInfo).toLatin1() + "\r\n";
    bytes += "Accept-Encoding: identity\r\n";
    if (!call.content_type.isEmpty()) {
        bytes += "Content-Type: " + call.content_type + "\r\n";
    }
    for (const auto& [name, value] : call.headers) {
        bytes += name + ": " + value + "\r\n";
    }
    if (!call.body.isEmpty() || call.method == "POST" || call.method == "PUT") {
        bytes += "Content-Length: " + QByteArray::number(call.body.size()) + "\r\n";
    }
    return bytes + "\r\n" + call.body;
}

QByteArray to_bytes(std::string_view text) {
    return {text.data(), static_cast<qsizetype>(text.size())};
}

}  // namespace

struct http_client::active_call {
    QString server;
    QUrl url;
    QByteArray request;
    bool has_body = false;
    byte_channel* channel = nullptr;
    // The connection has carried another call before.
    bool is_kept = false;
    serving::answer_parser answer;
    QByteArray body;
    answer_callback done;
    std::unique_ptr<stream_callbacks> stream;
    event_stream_parser events;
    bool opened = false;
    std::chrono::milliseconds silence_limit{};
    QTimer timer;

    // The answer's body is a stream of events.
    [[nodiscard]] bool streams() const { return stream && answer.has_head() && answer.head().status == 200; }
};

http_client::http_client(QObject* parent) : QObject(parent) {
    m_trim.setInterval(trim_period);
    connect(&m_trim, &QTimer::timeout, this, [this] { trim_idle(); });
    m_trim.start();
}

http_client::~http_client() {
    for (auto& [id, call] : m_calls) {
        discard(*call);
    }
}

http_client::active_call& http_client::start(const http_call& call, call_id id) {
    auto& active = *m_calls.emplace(id, std::make_unique<active_call>()).first->second;
    active.server = server_of(call.url);
    active.url = call.url;
    active.request = request_bytes(call);
    active.has_body = !call.body.isEmpty();
    active.answer.restart(call.method == "HEAD");
    active.timer.setSingleShot(true);
    active.timer.setTimerType(Qt::PreciseTimer);
    connect(&active.timer, &QTimer::timeout, this, [this, id] { fail(id, http_failure::timed_out); });
    active.timer.start(call.timeout);
    send_request(id, active, true);
    return active;
}

void http_client::send_request(call_id id, active_call& call, bool may_use_kept) {
    auto* channel = may_use_kept ? take_idle(call.server) : nullptr;
    call.is_kept = channel != nullptr;
    if (channel == nullptr) {
        const bool uses_tls = call.url.scheme() == "https";
        const auto port = static_cast<std::uint16_t>(call.url.port(uses_tls ? https_port : http_port));
        channel = uses_tls ? static_cast<byte_channel*>(new tls_channel(call.url.host(), port, this))
                           : new tcp_channel(call.url.host(), port, this);
    }
    call.channel = channel;
    channel->on_bytes = [this, id](const QByteArray& bytes) { on_bytes(id, bytes); };
    channel->on_end = [this, id](channel_end how) { on_end(id, how); };
    channel->send(call.request);
}

byte_channel* http_client::take_idle(const QString& server) {
    const auto found = m_idle.find(server);
    if (found == m_idle.end() || found->second.empty()) {
        return nullptr;
    }
    auto* channel = found->second.back().channel;
    found->second.pop_back();
    return channel;
}

void http_client::keep(const QString& server, byte_channel& channel) {
    // Bytes that no call asked for spoil the connection.
    channel.on_bytes = [this, server, &channel](const QByteArray&) { drop_idle(server, channel); };
    channel.on_end = [this, server, &channel](channel_end) { drop_idle(server, channel); };
    auto& idle = m_idle[server].emplace_back(idle_channel{&channel});
    idle.since.start();
}

void http_client::drop_idle(const QString& server, const byte_channel& channel) {
    auto& idle = m_idle[server];
    const auto found =
        std::find_if(idle.begin(), idle.end(), [&](const auto& kept) { return kept.channel == &channel; });
    if (found != idle.end()) {
        found->channel->close();
        found->channel->deleteLater();
        idle.erase(found);
    }
}

http_client::call_id http_client::send(const http_call& call, answer_callback done) {
    const call_id id = ++m_last;
    start(call, id).done = std::move(done);
    return id;
}

http_client::call_id http_client::open_stream(const http_call& call, std::chrono::milliseconds silence_limit,
                                              stream_callbacks callbacks) {
    const call_id id = ++m_last;
    active_call& active = start(call, id);
    active.silence_limit = silence_limit;
    active.stream = std::make_unique<stream_callbacks>(std::move(callbacks));
    active.events.on_event = [this, id](const QByteArray& data) {
        if (const auto found = m_calls.find(id); found != m_calls.end()) {
            found->second->stream->on_event(data);
        }
    };
    active.events.on_comment = [this, id] {
        if (const auto found = m_calls.find(id); found != m_calls.end() && found->second->stream->on_comment) {
            found->second->stream->on_comment();
        }
    };
    return id;
}

void http_client::on_bytes(call_id id, const QByteArray& bytes) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const auto progress = found->second->answer.feed({bytes.constData(), static_cast<std::size_t>(bytes.size())});
    if (progress == parse_progress::broken) {
        fail(id, http_failure::bad_answer);
    } else if (take_arrived(id) && progress == parse_progress::complete) {
        complete(id);
    }
}

void http_client::on_end(call_id id, channel_end how) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    const bool is_unanswered = !call.answer.has_begun();
    if (is_unanswered && call.is_kept && !call.has_body) {
        call.channel->deleteLater();
        send_request(id, call, false);
    } else if (how == channel_end::in_order && call.answer.feed_end() == parse_progress::complete) {
        complete(id);
    } else {
        fail(id, how == channel_end::refused ? http_failure::refused : http_failure::reset);
    }
}

bool http_client::take_arrived(call_id id) {
    active_call& call = *m_calls.at(id);
    if (!call.answer.has_head()) {
        return true;
    }
    // No call asks for a content coding.
    if (!serving::field_value(call.answer.head().fields, "Content-Encoding").empty()) {
        fail(id, http_failure::bad_answer);
        return false;
    }
    const auto bytes = to_bytes(call.answer.take_body());
    if (call.streams()) {
        return take_events(id, bytes);
    }
    call.body += bytes;
    if (call.body.size() > answer_limit) {
        fail(id, http_failure::bad_answer);
        return false;
    }
    return true;
}

bool http_client::take_events(call_id id, const QByteArray& bytes) {
    active_call& call = *m_calls.at(id);
    if (!call.opened || !bytes.isEmpty()) {
        call.timer.start(call.silence_limit);
    }
    if (!std::exchange(call.opened, true) && call.stream->on_open) {
        call.stream->on_open();
        if (!m_calls.contains(id)) {
            return false;
        }
    }
    // A callback may cancel this call and so destroy `call`; the parser is moved
    // out of it to outlive that.
    event_stream_parser events = std::move(call.events);
    const bool fits = events.feed(bytes);
    const auto still = m_calls.find(id);
    if (still == m_calls.end()) {
        return false;
    }
    still->second->events = std::move(events);
    if (!fits) {
        fail(id, http_failure::bad_answer);
    }
    return fits;
}

void http_client::complete(call_id id) {
    active_call& call = *m_calls.at(id);
    const auto& head = call.answer.head();
    http_answer answer;
    answer.status = head.status;
    answer.content_type = to_bytes(serving::field_value(head.fields, "Content-Type"));
    answer.body = std::move(call.body);
    if (call.answer.keep_alive() && !call.answer.has_surplus() && call.channel->has_sent_all()) {
        keep(call.server, *std::exchange(call.channel, nullptr));
    }
    deliver(id, answer);
}

void http_client::fail(call_id id, http_failure failure) {
    http_answer answer;
    answer.failure = failure;
    deliver(id, answer);
}

void http_client::deliver(call_id id, const http_answer& answer) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const std::unique_ptr<active_call> call = std::move(found->second);
    m_calls.erase(found);
    discard(*call);
    if (call->stream) {
        call->stream->on_end(answer);
    } else {
        call->done(answer);
    }
}

void http_client::cancel(call_id which) {
    const auto found = m_calls.find(which);
    if (found == m_calls.end()) {
        return;
    }
    discard(*found->second);
    // One of the call's own callbacks may be running: destroy the call later.
    std::shared_ptr<active_call> kept = std::move(found->second);
    m_calls.erase(found);
    QTimer::singleShot(0, this, [kept] {});
}

void http_client::discard(active_call& call) {
    call.timer.stop();
    if (auto* channel = std::exchange(call.channel, nullptr); channel != nullptr) {
        channel->close();
        // It may be on the call stack.
        channel->deleteLater();
    }
}

void http_client::trim_idle() {
    for (auto& [server, idle] : m_idle) {
        std::erase_if(idle, [](const idle_channel& kept) {
            if (!kept.since.hasExpired(max_idle_time.count())) {
                return false;
            }
            kept.channel->close();
            kept.channel->deleteLater();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace verbenahold
