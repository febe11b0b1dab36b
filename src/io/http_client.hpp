// HTTP client for requests and server-sent event streams. Every call that is not
// cancelled ends with exactly one final callback, within its time limit.
#pragma once

#include <QByteArray>
#include <QElapsedTimer>
#include <QObject>
#include <QTimer>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "byte_channel.hpp"

namespace verbenahold {

enum class http_failure : std::uint8_t {
    none,
    // No connection was made: the server received nothing.
    refused,
    // The connection ended before the answer was complete.
    reset,
    // No answer within the timeout, or no data on a stream for too long.
    timed_out,
    // The answer is not HTTP, or is too long.
    bad_answer,
};

struct http_call {
    QByteArray method = "GET";
    QUrl url{};
    QByteArray content_type{};
    QByteArray body{};
    std::vector<std::pair<QByteArray, QByteArray>> headers{};
    // Limit for the whole call; for streams, until the response headers arrive.
    std::chrono::milliseconds timeout{2'000};
};

struct http_answer {
    http_failure failure = http_failure::none;
    // Zero if there was no answer.
    int status = 0;
    QByteArray content_type;
    QByteArray body;

    // True for an answer with a 2xx status.
    [[nodiscard]] bool is_success() const { return failure == http_failure::none && status / 100 == 2; }
};

// Callbacks of one stream; on_end is called last. An answer with a status other
// than 200 is passed to on_end with its body, without a call of on_open.
struct stream_callbacks {
    std::function<void()> on_open{};
    std::function<void(const QByteArray&)> on_event{};
    std::function<void()> on_comment{};
    std::function<void(const http_answer&)> on_end{};
};

class http_client : public QObject {
public:
    using call_id = std::uint64_t;
    using answer_callback = std::function<void(const http_answer&)>;

    explicit http_client(QObject* parent = nullptr);
    ~http_client() override;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Size limit in bytes of an answer; a longer one is a bad answer.
    static constexpr qint64 answer_limit = 64LL * 1024 * 1024;

    // Sends a call. A call with a body is sent at most once; a call without a
    // body is sent again if the server closes a kept connection without an answer.
    call_id send(const http_call& call, answer_callback done);
    // Opens a stream of server-sent events, which times out after `silence_limit`
    // without data.
    call_id open_stream(const http_call& call, std::chrono::milliseconds silence_limit, stream_callbacks callbacks);
    // Ends a call without a callback. No effect if the call has ended.
    void cancel(call_id which);

private:
    struct active_call;
    struct idle_channel {
        byte_channel* channel = nullptr;
        QElapsedTimer since{};
    };

    active_call& start(const http_call& call, call_id id);
    // Sends the call on a kept connection to its server, or on a new one.
    void send_request(call_id id, active_call& call, bool may_use_kept);
    byte_channel* take_idle(const QString& server);
    void keep(const QString& server, byte_channel& channel);
    void drop_idle(const QString& server, const byte_channel& channel);
    void on_bytes(call_id id, const QByteArray& bytes);
    void on_end(call_id id, channel_end how);
    // Takes in the head and the bytes of the body that have arrived. Returns false if the
    // call has ended.
    bool take_arrived(call_id id);
    bool take_events(call_id id, const QByteArray& bytes);
    void complete(call_id id);
    void fail(call_id id, http_failure failure);
    void deliver(call_id id, const http_answer& answer);
    void discard(active_call& call);
    void trim_idle();

    // By scheme and authority.
    std::map<QString, std::vector<idle_channel>> m_idle;
    std::map<call_id, std::unique_ptr<active_call>> m_calls;
    call_id m_last = 0;
    QTimer m_trim;
};

}  // namespace verbenahold
