// Load that all daemons together have placed on each backend server: pending
// prefill, decoding sequences, and the iteration time that results from them.
#pragma once

#include "desired_state.hpp"
#include "server_report.hpp"

#include <compare>
#include <map>
#include <vector>

namespace verbenahold::serving {

// Identifies a request of one daemon; unique while the request is in progress.
struct work_id {
    std::uint64_t daemon = 0;
    std::uint64_t number = 0;
    auto operator<=>(const work_id&) const = default;
};

// The load that one request puts on one server.
struct work_item {
    server_name server;
    // Prefill time on the server, in milliseconds; 0 for plain calls.
    double prefill_ms = 0;
    // Context tokens held on the server; 0 for a prefill helper.
    std::int64_t context_tokens = 0;
    // The request decodes on this server and takes a batch slot there.
    bool decodes = true;
    // Target for the longest gap between two events; limits the iteration time.
    duration event_gap_target{};
    // Target for the time from sending the request to the first event.
    duration latency_target{};
    // Weight of the request in units of a request with a mean prompt.
    double weight = 1;
};

// A request in prefill at a server. All prompts prefilled in one iteration are
// done at its end, so additional prefill delays this request.
struct pending_prefill {
    time_point sent{};
    duration latency_target{};
    double weight = 1;
};

// A stream that decodes at a server, or will decode there after its prefill.
struct open_stream {
    duration event_gap_target{};
    double weight = 1;
    // Its own prompt is still in prefill.
    bool in_prefill = false;
};

// Load of one server at one point in time.
struct server_load {
    // Used batch slots, by requests in prefill or decode there. Includes requests
    // that are known only from the server's own report.
    int used_slots = 0;
    // Sequences in prefill or decode that are interactive, see is_interactive.
    int interactive_sequences = 0;
    std::int64_t context_tokens = 0;
    // Time until the server has finished all prefill placed on it.
    double backlog_ms = 0;
    // Execution time relative to the engine's cost model; 2 means half speed.
    double slowdown = 1;
    // When a batch slot was last taken or became free.
    time_point slots_changed{};
    std::vector<pending_prefill> pending_prefills;
    std::vector<open_stream> streams;
};

// Streams with an event gap target up to this count as interactive; placement
// concentrates them on few servers. The value lies between the gap targets of
// short and of longer prompts.
inline constexpr duration max_interactive_gap = std::chrono::milliseconds(400);

// Whether a stream has a target for the gap between events that is short enough
// to count as interactive.
bool is_interactive(duration event_gap_target);
// Milliseconds that one server takes to prefill `tokens` of a prompt on its own.
double prefill_time_ms(const engine_cost_model& engine, std::int64_t tokens);
// Server time that decoding an answer takes, in milliseconds: its part of the steps of a full
// batch, and what its own context adds to them.
double decode_share_ms(const engine_cost_model& engine, std::int64_t prompt_tokens, double answer_tokens);
// Duration of one iteration that decodes only, in milliseconds.
double decode_iteration_ms(const engine_cost_model& engine, const server_load& load);

// A request in progress, as told to a daemon that does not know it yet.
struct open_work {
    work_id id;
    // Prefill times are those that are left.
    std::vector<work_item> items;
    bool in_prefill = false;
    // Time until the request expires.
    duration lifetime{};
};

class engine_load {
public:
    // The request was sent to the server. A request spread over several servers
    // adds one item for each of them.
    void add(work_id id, const work_item& item, time_point now, time_point expires);
    // The first event arrived, so prefill of the request is done on all its
    // servers.
    void on_prefill_done(work_id id, time_point now);
    void remove(work_id id, time_point now);
    [[nodiscard]] bool contains(work_id id) const { return m_requests.contains(id); }
    // The requests of one daemon that are in progress.
    [[nodiscard]] std::vector<open_work> list_open_work(std::uint64_t daemon, time_point now) const;
    // An event of a stream arrived from the server.
    void on_stream_event(const server_name& server, time_point now);
    // Time of the last stream event from the server; the clock's epoch if none.
    [[nodiscard]] time_point last_stream_event(const server_name& server) const;
    // Time of the last stream event or load report from the server. It shows that
    // the server is alive even while a long iteration delays its streams.
    [[nodiscard]] time_point last_event_or_report(const server_name& server) const;
    // Send time of the most recently sent request whose prefill is done. Servers
    // prefill in order of arrival, so a request sent long before it that is still
    // in prefill is stuck.
    [[nodiscard]] time_point newest_prefilled_sent_at(const server_name& server) const;
    // Applies a load report. Load reported beyond the tracked requests is attributed
    // to daemons that have ended. It counts until the next report or for
    // report_lifetime.
    void on_report(const server_report& report, time_point now);
    // Removes all requests of a daemon that has ended.
    void remove_daemon(std::uint64_t daemon, time_point now);
    // Drops requests past their expiry time, for which no end was received, and
    // servers that have been idle for a while.
    void drop_expired(time_point now);

    [[nodiscard]] server_load load_of(const server_name& server, time_point now) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct tracked_request {
        std::vector<work_item> items;
        bool in_prefill = true;
        time_point added{};
        time_point expires{};
    };
    struct tracked_server {
        server_load load;
        std::map<work_id, pending_prefill> pending_prefills;
        std::map<work_id, open_stream> streams;
        time_point prefill_ends{};
        time_point last_stream_event{};
        time_point newest_prefilled_sent_at{};
        // Reported requests and tokens beyond those tracked.
        int untracked_requests = 0;
        std::int64_t untracked_tokens = 0;
        double slowdown = 1;
        time_point last_report{};
        // Maxima of the tracked load since the previous report. A report lags, so
        // it may include requests that have ended meanwhile.
        int max_used_slots = 0;
        std::int64_t max_context_tokens = 0;
    };

    void remove_from_servers(work_id id, const tracked_request& request, time_point now);
    void end_prefill(work_id id, tracked_request& request, time_point now);

    std::map<work_id, tracked_request> m_requests;
    std::map<server_name, tracked_server> m_servers;
};

}  // namespace verbenahold::serving
