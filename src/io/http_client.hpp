// HTTP requests and server-sent event streams to other hosts, over kept
// connections. Every call ends with exactly one callback, within its time
// limit. QNetworkAccessManager is not used: it repeats requests by itself, and
// its thread and signals took most of the processor time of a call.
#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenahold {

enum class http_failure : std::uint8_t {
    none,
    // No connection was made: the server received nothing.
    refused,
    // The connection ended before the whole answer.
    reset,
    // No answer in time, or silence on a stream.
    timed_out,
    // The answer is not HTTP, is too long, or is not an event stream.
    bad_answer,
};

struct http_call {
    QByteArray method = "GET";
    QUrl url{};
    QByteArray content_type{};
    QByteArray body{};
    std::vector<std::pair<QByteArray, QByteArray>> headers{};
    // Of the whole call; for streams, of the time to the answer's headers.
    std::chrono::milliseconds timeout{2'000};
};

struct http_answer {
    http_failure failure = http_failure::none;
    // Zero if there was no answer.
    int status = 0;
    QByteArray content_type;
    QByteArray body;

    // True for an answer with a 2xx status.
    [[nodiscard]] bool good() const { return failure == http_failure::none && status / 100 == 2; }
};

// Calls of one stream; on_end comes last. An answer other than 200 comes to
// on_end with its body, without on_open.
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

    // Largest answer; a longer one is a bad answer.
    static constexpr qint64 answer_limit = 64LL * 1024 * 1024;

    // Sends a call. A GET, HEAD or DELETE is sent a second time when a kept
    // connection turns out to be closed; any other call is sent once only.
    call_id send(const http_call& call, answer_callback done);
    // Opens a stream of server-sent events that is given up after
    // `silence_limit` without a byte.
    call_id open_stream(const http_call& call, std::chrono::milliseconds silence_limit, stream_callbacks callbacks);
    // Ends a call without a callback. Does nothing for a call that has ended.
    void cancel(call_id which);
    // Ends a call without a callback as cancel() does, but lets its answer come
    // to its end, so that the connection can be kept.
    void detach(call_id which);

private:
    struct connection;
    struct active_call;
    using idle_list = std::vector<std::unique_ptr<connection>>;

    active_call& start(const http_call& call, call_id id);
    void assign_connection(call_id id, active_call& call);
    std::unique_ptr<connection> take_idle(const active_call& call);
    std::unique_ptr<connection> connect_to(const QUrl& url);
    void send_request(active_call& call);
    void read(call_id id);
    void handle_stream_bytes(call_id id, const QByteArray& bytes);
    void handle_end(call_id id);
    void handle_timeout(call_id id);
    void finish(call_id id, http_failure failure);
    void release(std::unique_ptr<connection> used, bool reusable);
    static void discard(std::unique_ptr<connection> used);
    void drop_idle(const QByteArray& target);
    void trim_idle();

    std::map<QByteArray, idle_list> m_idle;
    std::unordered_map<call_id, std::unique_ptr<active_call>> m_calls;
    call_id m_last = 0;
    QTimer m_trim;
};

}  // namespace verbenahold
