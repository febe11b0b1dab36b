#include "http_client.hpp"

#include <QElapsedTimer>
#include <QSslSocket>

#include <algorithm>
#include <optional>

#include "event_stream_parser.hpp"
#include "http_answer_parser.hpp"
#include "http_request_bytes.hpp"

namespace verbenahold {

namespace {

// A kept connection is closed after this; servers commonly wait longer.
constexpr std::chrono::milliseconds longest_idle{20'000};
// A call that must not be repeated takes a kept connection only if it was in
// use until just now: the server may close an older one at the same moment.
constexpr std::chrono::milliseconds longest_idle_for_single_send{1'000};
constexpr std::chrono::milliseconds trim_period{5'000};
// What is left of an answer that nobody waits for must come within this.
constexpr std::chrono::milliseconds detached_time{1'000};
constexpr std::size_t idle_connections_per_server = 256;

bool may_repeat(const QByteArray& method) {
    return method == "GET" || method == "HEAD" || method == "DELETE";
}

QByteArray target_of(const QUrl& url) {
    return (url.scheme() + "://" + url.authority()).toUtf8();
}

}  // namespace

struct http_client::connection {
    std::unique_ptr<QTcpSocket> socket;
    QByteArray target;
    // The call that uses this connection; 0 while it is idle.
    call_id user = 0;
    bool reused = false;
    QElapsedTimer idle;
};

struct http_client::active_call {
    http_call call;
    std::unique_ptr<connection> used;
    answer_callback done;
    std::unique_ptr<stream_callbacks> stream;
    http_answer_parser answer_parser;
    event_stream_parser event_parser;
    QByteArray body;
    bool sent = false;
    bool opened = false;
    bool detached = false;
    bool repeated = false;
    std::chrono::milliseconds limit{};
    std::chrono::milliseconds stream_limit{};
    // Since the last byte of a stream, or since the start of another call.
    QElapsedTimer since;
    QTimer timer;
};

http_client::http_client(QObject* parent) : QObject(parent) {
    m_trim.setInterval(trim_period);
    connect(&m_trim, &QTimer::timeout, this, [this] { trim_idle(); });
    m_trim.start();
}

http_client::~http_client() {
    for (auto& [id, call] : m_calls) {
        call->used->socket->disconnect(this);
    }
    for (auto& [target, connections] : m_idle) {
        for (const auto& kept : connections) {
            kept->socket->disconnect(this);
        }
    }
}

// ---- starting a call

http_client::active_call& http_client::start(const http_call& call, call_id id) {
    auto active = std::make_unique<active_call>();
    active->call = call;
    active->answer_parser = http_answer_parser(call.method == "HEAD");
    active->limit = call.timeout;
    active->since.start();
    active->timer.setSingleShot(true);
    active->timer.setTimerType(Qt::PreciseTimer);
    connect(&active->timer, &QTimer::timeout, this, [this, id] { handle_timeout(id); });
    active->timer.start(call.timeout);
    active_call& kept = *m_calls.emplace(id, std::move(active)).first->second;
    assign_connection(id, kept);
    return kept;
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
    active.stream = std::make_unique<stream_callbacks>(std::move(callbacks));
    active.event_parser.on_event = [this, id](const QByteArray& data) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && !found->second->detached) {
            found->second->stream->on_event(data);
        }
    };
    active.event_parser.on_comment = [this, id] {
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && !found->second->detached && found->second->stream->on_comment) {
            found->second->stream->on_comment();
        }
    };
    active.stream_limit = silence_limit;
    return id;
}

void http_client::assign_connection(call_id id, active_call& call) {
    call.used = take_idle(call);
    if (!call.used) {
        call.used = connect_to(call.call.url);
    }
    call.used->user = id;
    if (call.used->reused) {
        send_request(call);
    }
}

std::unique_ptr<http_client::connection> http_client::take_idle(const active_call& call) {
    const auto found = m_idle.find(target_of(call.call.url));
    if (call.repeated || found == m_idle.end()) {
        return nullptr;
    }
    std::erase_if(found->second,
                  [](const auto& kept) { return kept->socket->state() != QAbstractSocket::ConnectedState; });
    if (found->second.empty()) {
        return nullptr;
    }
    // The one used last is at the end.
    std::unique_ptr<connection>& last = found->second.back();
    if (!may_repeat(call.call.method) && last->idle.hasExpired(longest_idle_for_single_send.count())) {
        return nullptr;
    }
    std::unique_ptr<connection> taken = std::move(last);
    found->second.pop_back();
    taken->reused = true;
    return taken;
}

std::unique_ptr<http_client::connection> http_client::connect_to(const QUrl& url) {
    auto made = std::make_unique<connection>();
    made->target = target_of(url);
    const bool secure = url.scheme() == "https";
    made->socket = secure ? std::make_unique<QSslSocket>() : std::make_unique<QTcpSocket>();
    QTcpSocket* socket = made->socket.get();
    connection* self = made.get();
    const auto handle_ready = [this, self] {
        if (const auto found = m_calls.find(self->user); found != m_calls.end()) {
            send_request(*found->second);
        }
    };
    connect(socket, &QTcpSocket::readyRead, this, [this, self] { read(self->user); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this, self] { handle_end(self->user); });
    if (secure) {
        auto* encrypted = static_cast<QSslSocket*>(socket);
        connect(encrypted, &QSslSocket::encrypted, this, handle_ready);
        encrypted->connectToHostEncrypted(url.host(), static_cast<quint16>(url.port(443)));
    } else {
        connect(socket, &QTcpSocket::connected, this, handle_ready);
        socket->connectToHost(url.host(), static_cast<quint16>(url.port(80)));
    }
    return made;
}

void http_client::send_request(active_call& call) {
    call.sent = true;
    call.used->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    call.used->socket->write(request_bytes(call.call, connection_use::keep));
    call.used->socket->flush();
}

// ---- answers

void http_client::read(call_id id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    QByteArray bytes;
    const auto state = call.answer_parser.feed(call.used->socket->readAll(), bytes);
    if (call.stream && call.answer_parser.status() == 200) {
        handle_stream_bytes(id, bytes);
        if (!m_calls.contains(id)) {
            return;
        }
    } else {
        call.body += bytes;
    }
    if (state == http_answer_parser::state::bad || call.body.size() > answer_limit) {
        finish(id, http_failure::bad_answer);
    } else if (state == http_answer_parser::state::done) {
        finish(id, http_failure::none);
    }
}

void http_client::handle_stream_bytes(call_id id, const QByteArray& bytes) {
    active_call& call = *m_calls.at(id);
    call.since.restart();
    if (!std::exchange(call.opened, true)) {
        call.limit = call.stream_limit;
        call.timer.start(call.limit);
        if (call.stream->on_open && !call.detached) {
            call.stream->on_open();
        }
    }
    if (!m_calls.contains(id)) {
        return;
    }
    // A callback may end this call, so the parser is taken out of it.
    event_stream_parser parser = std::move(call.event_parser);
    const bool fits = parser.feed(bytes);
    const auto still = m_calls.find(id);
    if (still == m_calls.end()) {
        return;
    }
    still->second->event_parser = std::move(parser);
    if (!fits) {
        finish(id, http_failure::bad_answer);
    }
}

// The connection has ended or was never made.
void http_client::handle_end(call_id id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    if (found->second->used->socket->bytesAvailable() > 0) {
        read(id);
        if (!m_calls.contains(id)) {
            return;
        }
    }
    active_call& call = *found->second;
    const bool stale = call.used->reused && !call.answer_parser.saw_bytes();
    if (stale && may_repeat(call.call.method)) {
        call.repeated = true;
        discard(std::move(call.used));
        assign_connection(id, call);
        return;
    }
    const bool whole = call.answer_parser.end_of_input() == http_answer_parser::state::done;
    finish(id, whole ? http_failure::none : call.sent ? http_failure::reset : http_failure::refused);
}

void http_client::handle_timeout(call_id id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    // Bytes of a stream only move `since`; the timer is set again here.
    const auto left = call.limit - std::chrono::milliseconds(call.since.elapsed());
    if (left > std::chrono::milliseconds::zero()) {
        call.timer.start(left);
        return;
    }
    finish(id, call.sent ? http_failure::timed_out : http_failure::refused);
}

void http_client::finish(call_id id, http_failure failure) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const std::unique_ptr<active_call> call = std::move(found->second);
    m_calls.erase(found);
    call->timer.stop();
    if (failure == http_failure::timed_out) {
        drop_idle(call->used->target);
    }
    release(std::move(call->used), failure == http_failure::none && call->answer_parser.keeps_connection());
    if (call->detached) {
        return;
    }
    http_answer answer;
    answer.failure = failure;
    if (call->answer_parser.current() != http_answer_parser::state::head) {
        answer.status = call->answer_parser.status();
        answer.content_type = call->answer_parser.content_type();
    }
    answer.body = std::move(call->body);
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
    found->second->timer.stop();
    discard(std::move(found->second->used));
    // The call may be in the middle of one of its own callbacks.
    const std::shared_ptr<active_call> kept = std::move(found->second);
    m_calls.erase(found);
    QTimer::singleShot(0, this, [kept] {});
}

void http_client::detach(call_id which) {
    const auto found = m_calls.find(which);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    call.detached = true;
    call.limit = detached_time;
    call.stream_limit = detached_time;
    call.since.restart();
    call.timer.start(detached_time);
}

// ---- kept connections

void http_client::release(std::unique_ptr<connection> used, bool reusable) {
    idle_list& list = m_idle[used->target];
    if (!reusable || used->socket->state() != QAbstractSocket::ConnectedState ||
        list.size() >= idle_connections_per_server) {
        discard(std::move(used));
        return;
    }
    used->user = 0;
    used->idle.start();
    list.push_back(std::move(used));
}

// Connections may go silent together; after a timeout the next call gets a new
// one instead of running into the same silence.
void http_client::drop_idle(const QByteArray& target) {
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return;
    }
    for (std::unique_ptr<connection>& kept : found->second) {
        discard(std::move(kept));
    }
    m_idle.erase(found);
}

// The socket may be in the middle of one of its own signals.
void http_client::discard(std::unique_ptr<connection> used) {
    QTcpSocket* socket = used->socket.release();
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
}

void http_client::trim_idle() {
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [](const auto& kept) {
            return kept->socket->state() != QAbstractSocket::ConnectedState ||
                   kept->idle.hasExpired(longest_idle.count());
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

}  // namespace verbenahold
