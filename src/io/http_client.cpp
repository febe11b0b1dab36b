#include "http_client.hpp"

#include "event_stream_parser.hpp"
#include "non_rewindable_body.hpp"

#include <QElapsedTimer>
#include <QNetworkRequest>

#include <algorithm>

namespace verbenahold {

namespace {

// QNetworkAccessManager opens at most this many connections to one server and
// queues further requests behind them.
constexpr int connections_per_manager = 6;
// Limit of managers per server; each one costs about 0.1 MB and a thread.
constexpr std::size_t managers_per_server = 32;
constexpr std::chrono::seconds trim_period{10};
constexpr std::chrono::milliseconds idle_manager_time{30'000};

// QNetworkReply errors from this value on report the status of an answer, not a
// connection failure.
constexpr int first_content_error = 201;

http_failure failure_of(const QNetworkReply& reply) {
    const auto error = reply.error();
    const bool has_status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).isValid();
    switch (error) {
        case QNetworkReply::NoError:
            return has_status ? http_failure::none : http_failure::bad_answer;
        case QNetworkReply::ConnectionRefusedError:
        case QNetworkReply::HostNotFoundError:
        case QNetworkReply::UnknownNetworkError:
            return has_status ? http_failure::reset : http_failure::refused;
        case QNetworkReply::RemoteHostClosedError:
        case QNetworkReply::ContentReSendError:
        case QNetworkReply::SslHandshakeFailedError:
            return http_failure::reset;
        case QNetworkReply::TimeoutError:
        case QNetworkReply::OperationCanceledError:
            return http_failure::timed_out;
        default:
            break;
    }
    return has_status && error >= first_content_error ? http_failure::none : http_failure::reset;
}

QNetworkRequest make_request(const http_call& call) {
    QNetworkRequest request(call.url);
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    if (!call.content_type.isEmpty()) {
        request.setHeader(QNetworkRequest::ContentTypeHeader, call.content_type);
    }
    for (const auto& [name, value] : call.headers) {
        request.setRawHeader(name, value);
    }
    if (!call.body.isEmpty()) {
        request.setHeader(QNetworkRequest::ContentLengthHeader, call.body.size());
    }
    return request;
}

}  // namespace

struct http_client::pooled_manager {
    QNetworkAccessManager manager;
    int active = 0;
    QElapsedTimer idle;
};

struct http_client::pool {
    std::vector<std::unique_ptr<pooled_manager>> managers;
};

struct http_client::active_call {
    QNetworkReply* reply = nullptr;
    pooled_manager* owner = nullptr;
    answer_callback done;
    std::unique_ptr<stream_callbacks> stream;
    event_stream_parser parser;
    bool opened = false;
    bool delivered_end = false;
    std::chrono::milliseconds silence_limit{};
    QTimer timer;
};

http_client::http_client(QObject* parent) : QObject(parent) {
    m_trim.setInterval(trim_period);
    connect(&m_trim, &QTimer::timeout, this, [this] { trim_pools(); });
    m_trim.start();
}

http_client::~http_client() {
    for (auto& [id, call] : m_calls) {
        discard(*call);
    }
}

http_client::pooled_manager& http_client::pick_manager(const QUrl& url) {
    const QString key = url.scheme() + "://" + url.authority();
    std::unique_ptr<pool>& servers = m_pools[key];
    if (!servers) {
        servers = std::make_unique<pool>();
    }
    auto& managers = servers->managers;
    for (const auto& candidate : managers) {
        if (candidate->active < connections_per_manager) {
            return *candidate;
        }
    }
    if (managers.size() < managers_per_server) {
        managers.push_back(std::make_unique<pooled_manager>());
        return *managers.back();
    }
    const auto least = std::min_element(managers.begin(), managers.end(),
                                        [](const auto& a, const auto& b) { return a->active < b->active; });
    return **least;
}

http_client::active_call& http_client::start(const http_call& call, call_id id) {
    pooled_manager& owner = pick_manager(call.url);
    ++owner.active;
    auto active = std::make_unique<active_call>();
    active->owner = &owner;
    const QNetworkRequest request = make_request(call);
    if (call.body.isEmpty()) {
        active->reply = owner.manager.sendCustomRequest(request, call.method);
    } else {
        auto* body = new non_rewindable_body(call.body);
        active->reply = owner.manager.sendCustomRequest(request, call.method, body);
        body->setParent(active->reply);
    }
    active->timer.setSingleShot(true);
    active->timer.setTimerType(Qt::PreciseTimer);
    connect(&active->timer, &QTimer::timeout, this, [this, id] { fail(id, http_failure::timed_out); });
    connect(active->reply, &QNetworkReply::finished, this, [this, id] { finish(id); });
    active->timer.start(call.timeout);
    return *m_calls.emplace(id, std::move(active)).first->second;
}

http_client::call_id http_client::send(const http_call& call, answer_callback done) {
    const call_id id = ++m_last;
    active_call& active = start(call, id);
    active.done = std::move(done);
    connect(active.reply, &QNetworkReply::downloadProgress, this, [this, id](qint64 received) {
        if (received > answer_limit) {
            fail(id, http_failure::bad_answer);
        }
    });
    return id;
}

http_client::call_id http_client::open_stream(const http_call& call, std::chrono::milliseconds silence_limit,
                                              stream_callbacks callbacks) {
    const call_id id = ++m_last;
    active_call& active = start(call, id);
    active.silence_limit = silence_limit;
    active.stream = std::make_unique<stream_callbacks>(std::move(callbacks));
    active.parser.on_event = [this, id](const QByteArray& data) {
        if (const auto found = m_calls.find(id); found != m_calls.end()) {
            found->second->stream->on_event(data);
        }
    };
    active.parser.on_comment = [this, id] {
        if (const auto found = m_calls.find(id); found != m_calls.end() && found->second->stream->on_comment) {
            found->second->stream->on_comment();
        }
    };
    connect(active.reply, &QNetworkReply::readyRead, this, [this, id] { read_stream(id); });
    connect(active.reply, &QNetworkReply::metaDataChanged, this, [this, id] { read_stream(id); });
    return id;
}

void http_client::read_stream(call_id id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    if (call.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt() != 200) {
        return;
    }
    call.timer.start(call.silence_limit);
    if (!std::exchange(call.opened, true) && call.stream->on_open) {
        call.stream->on_open();
        if (!m_calls.contains(id)) {
            return;
        }
    }
    // A callback may cancel this call and so destroy `call`; the parser is moved
    // out of it to outlive that.
    const QByteArray bytes = call.reply->readAll();
    event_stream_parser parser = std::move(call.parser);
    const bool fits = parser.feed(bytes);
    const auto still = m_calls.find(id);
    if (still == m_calls.end()) {
        return;
    }
    still->second->parser = std::move(parser);
    if (!fits) {
        fail(id, http_failure::bad_answer);
    }
}

void http_client::finish(call_id id) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    active_call& call = *found->second;
    http_answer answer;
    answer.failure = failure_of(*call.reply);
    answer.status = call.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    answer.content_type = call.reply->rawHeader("Content-Type");
    if (call.stream && answer.status == 200) {
        read_stream(id);
    } else {
        answer.body = call.reply->readAll();
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
    if (call.reply == nullptr) {
        return;
    }
    QNetworkReply* reply = std::exchange(call.reply, nullptr);
    reply->disconnect(this);
    if (!reply->isFinished()) {
        reply->abort();
    }
    // The manager owns the reply and deletes it in its destructor; delete the
    // reply before the manager is trimmed.
    reply->deleteLater();
    --call.owner->active;
    call.owner->idle.start();
}

void http_client::trim_pools() {
    for (auto pool_entry = m_pools.begin(); pool_entry != m_pools.end();) {
        auto& managers = pool_entry->second->managers;
        std::erase_if(managers, [](const auto& candidate) {
            return candidate->active == 0 && candidate->idle.isValid() &&
                   candidate->idle.hasExpired(idle_manager_time.count());
        });
        pool_entry = managers.empty() ? m_pools.erase(pool_entry) : std::next(pool_entry);
    }
}

}  // namespace verbenahold
