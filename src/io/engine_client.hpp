// Sends the core's commands to model engines as HTTP calls and turns the
// answers into events for the core.
#pragma once

#include <QObject>

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "http_client.hpp"
#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class engine_client : public QObject {
public:
    using event_sink = std::function<void(entry_event&&)>;

    // A stream without data for this long has failed. Engines send a heartbeat
    // every 500 ms, so this is four missed heartbeats.
    static constexpr std::chrono::milliseconds silence_limit{2'000};
    static constexpr std::chrono::milliseconds poll_timeout{1'000};

    // `client` must outlive this object.
    engine_client(http_client& client, event_sink sink, QObject* parent = nullptr);

    // Sets the receiver of the spans of the "engine" hop; `seed` seeds the
    // generator of their ids.
    void set_span_sink(std::function<void(const span_ended&)> sink, std::uint64_t seed);

    // Sets the addresses of servers, from the host list. Commands name the parts
    // of a group by server; engines need their URLs.
    void set_addresses(std::map<server_name, endpoint> addresses);

    void run(const open_stream& command);
    void run(const reopen_stream& command);
    void run(const cancel_stream& command);
    void run(const poll_load& command);
    void run(const list_streams& command);
    void run(const reserve_memory& command);
    void run(const release_memory& command);
    void run(const replace_part& command);

    [[nodiscard]] std::size_t open_streams() const { return m_streams.size(); }

private:
    using stream_key = std::pair<server_name, std::string>;
    // Read position in the cache events of one incarnation of a server.
    struct cache_position {
        std::uint64_t incarnation = 0;
        std::int64_t next = 0;
        bool polling = false;
    };

    void read_stream(const stream_key& key, const endpoint& address, const http_call& call);
    void handle_event(const stream_key& key, const QByteArray& data);
    void handle_end(const stream_key& key, const endpoint& address, const http_answer& answer);
    void fail_stream(const stream_key& key, backend_failure failure, const std::string& message);
    void handle_load(const server_name& server, const endpoint& address, const http_answer& answer);
    void poll_cache_events(const server_name& server, const endpoint& address);
    void handle_cache_events(const server_name& server, const http_answer& answer);
    [[nodiscard]] QString url_of(const server_name& server) const;
    http_client::call_id send(const http_call& call, std::function<void(const http_answer&)> done);

    struct running_stream {
        http_client::call_id call = 0;
        // Index of the next token to read; a reopened stream continues there.
        std::uint64_t next_index = 0;
        bool opened = false;
        std::string traceparent{};
        std::string parent{};
        std::chrono::steady_clock::time_point started{};
    };

    void end_span(const running_stream& stream, bool ok);

    http_client& m_client;
    event_sink m_sink;
    std::function<void(const span_ended&)> m_on_span;
    std::mt19937_64 m_random;
    std::map<server_name, endpoint> m_addresses;
    std::map<stream_key, running_stream> m_streams;
    std::map<server_name, cache_position> m_cache_positions;
};

}  // namespace verbenahold
