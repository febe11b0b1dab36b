// The HTTP interface for callers: locate, completions, plain services, health
// and metrics. It turns requests into events for the core and the core's
// replies into HTTP responses.
#pragma once

#include <QTimer>

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>

#include "completion_format.hpp"
#include "http_server.hpp"
#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class caller_listener : public http_server {
public:
    using event_sink = std::function<void(entry_event&&)>;

    // Interval of keep-alive comments on a stream without other output.
    static constexpr std::chrono::milliseconds keep_alive_period{5'000};
    static constexpr int max_keys_per_locate = 100;

    struct hooks {
        event_sink sink;
        std::function<bool()> is_ready;
        std::function<QByteArray()> metrics_text;
        // Receives the finished spans of the "caller" hop.
        std::function<void(const span_ended&)> on_span;
    };

    // `seed` seeds the generator of span ids.
    caller_listener(hooks given, std::uint64_t seed, http_limits limits = {}, QObject* parent = nullptr);

    // Carry out the core's replies. A reply to a caller that has disconnected is
    // ignored.
    void run(const reply_tokens& reply);
    void run(const reply_finished& reply);
    void run(const reply_service& reply);
    void run(const reply_refused& reply);
    void run(const reply_located& reply);

    [[nodiscard]] std::size_t open_requests() const { return m_open.size(); }

private:
    struct open_request {
        shared_reply reply;
        completion_identity identity;
        bool stream = false;
        // Text collected so far for an answer that is not streamed.
        std::string text;
        std::chrono::steady_clock::time_point last_write;
        std::chrono::steady_clock::time_point started;
        std::string traceparent;
        std::string parent;
    };

    void add_routes();
    void handle_locate(const http_request& request, const shared_reply& reply);
    void handle_completion(const http_request& request, const shared_reply& reply);
    void handle_service(const http_request& request, const shared_reply& reply);
    open_request& open(std::uint64_t ticket, const http_request& request, const shared_reply& reply);
    void begin_stream(open_request& request);
    void write(open_request& request, const QByteArray& bytes);
    void close(std::uint64_t ticket, bool ok);
    void send_keep_alives();

    hooks m_hooks;
    std::mt19937_64 m_random;
    std::uint64_t m_last_ticket = 0;
    std::unordered_map<std::uint64_t, open_request> m_open;
    QTimer m_keep_alive;
};

}  // namespace verbenahold
