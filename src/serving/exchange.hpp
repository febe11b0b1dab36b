// Handles one caller's request: matches a route, chooses servers, forwards the
// request, retries where that is allowed, and passes the answer to the caller.
#pragma once

#include "attempt_policy.hpp"
#include "early_end.hpp"
#include "event_splitter.hpp"
#include "gateway_state.hpp"
#include "memory_reservation.hpp"

#include <memory>
#include <optional>

namespace verbenahold::serving {

// Retry-After when servers rejected a request or could not be reached.
inline constexpr duration retry_after_rejection = std::chrono::milliseconds(400);

// Receives the answer for one caller. Calls after the caller disconnected are
// ignored.
class answer_sink {
public:
    answer_sink() = default;
    virtual ~answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    answer_sink(answer_sink&&) = delete;
    answer_sink& operator=(answer_sink&&) = delete;

    // Sends a complete answer. The exchange has ended.
    virtual void answer(const http_answer& answer) = 0;
    // Sends the head of an answer whose body follows in calls of stream().
    virtual void begin_stream(const http_answer_head& head) = 0;
    virtual void stream(std::string bytes) = 0;
    // The stream is complete. The exchange has ended.
    virtual void end_stream() = 0;
    // Breaks off an incomplete stream in a way that the caller can tell from a
    // complete one. The exchange has ended.
    virtual void cut_off(early_end cause) = 0;
    // Bytes that are not yet written to the caller's connection.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
};

// One attempt to run the request at a server, from the choice of the server to
// the attempt's end.
struct server_attempt {
    // Null until the request is forwarded.
    std::shared_ptr<server_connection> connection;
    // Set if KV memory is reserved for the prompt at helping servers.
    std::shared_ptr<memory_reservation> memory;
    placement placed;
    server_name server;
    work_id work;
    time_point sent_at{};
    // When the last stream event arrived; zero before the first.
    time_point last_event_at{};
    time_point first_event_at{};
    std::size_t events_received = 0;
    http_answer answer;
    // The memory of the answer's body.
    body_budget::holding held;
    server_answer decoded;
    event_splitter events;
    bool streams = false;
    bool prefill_done_announced = false;
    // The server has sent a complete answer that is not a stream and no error.
    bool succeeded = false;
    bool kept_waiting_logged = false;
};

class exchange : public std::enable_shared_from_this<exchange> {
public:
    // `sink` outlives the exchange or calls on_connection_ended() first.
    exchange(gateway_state& state, answer_sink& sink, caller_request request, time_point received_at);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    void start();
    // The caller's connection has ended, for this cause.
    void on_connection_ended(early_end cause);
    // The process exits soon: answers with an error, or cuts off an answer that has begun.
    void on_stop();
    // Everything sent so far is written to the caller's connection.
    void on_output_written();

private:
    // Runs a callback; an exception ends the exchange with an error.
    template <class Work>
    void contained(Work&& work) {
        const auto self = shared_from_this();
        m_state.guard.run({"request", m_request.attempt_id}, work, [this] { on_internal_fault(); });
    }
    void on_internal_fault();
    // Ends the exchange before a complete answer of a server: with an error, or by
    // cutting off an answer that has begun.
    void give_up_for(early_end cause, std::string_view reason);
    [[nodiscard]] bool may_wait_for_state() const;
    // Retry-After while no desired state is known.
    [[nodiscard]] duration retry_after_startup() const;
    // Matches route, account and service. Returns false if the request was already
    // answered with an error.
    bool admit();
    // Finds the request's route, account and service in the desired state. False if the
    // request was answered instead.
    bool resolve();
    // Sorted. Their number is bounded by the length of a request's header.
    [[nodiscard]] std::vector<request_trait> traits() const;
    [[nodiscard]] bool crashes_servers() const;
    // Chooses servers among those that were not tried yet.
    [[nodiscard]] placement_result choose_servers();
    void place();
    // Goes on with a request that has waited. One that no server may have run is handled as
    // the desired state that is now in force says.
    void place_again();
    void wait_for_server(const no_placement& reason);
    // Joins the requests that wait for capacity, or is refused if that takes too long.
    void wait_for_capacity(const no_placement& reason);
    // A long prompt can't be placed yet, because this daemon has just started.
    [[nodiscard]] bool is_load_unknown() const;
    void refuse_waiting(admission_lane lane);
    // The request's account uses more than its share, so others go first.
    [[nodiscard]] bool yields_to_others() const;
    // Time from the request's arrival within which its first event has to come: until the
    // deadline, or until the caller leaves.
    [[nodiscard]] duration time_allowed_for_first_event() const;
    [[nodiscard]] waiting_request as_waiting() const;
    // Whether others that wait for the same capacity are tried before this request.
    [[nodiscard]] bool is_behind_others() const;
    void begin_attempt(const placement& chosen);
    void reserve_memory();
    [[nodiscard]] bool may_forward() const;
    void forward();
    // A connection on which the answer to this request can be told from answers to others.
    [[nodiscard]] std::shared_ptr<server_connection> take_connection(const std::string& address);
    [[nodiscard]] forwarding fields_to_add() const;
    void announce_work(work_event event);
    // Records the time between two events of the answer, also across attempts.
    void note_gap();
    // Sets the account and the predicted server time, unless an attempt that was not sent
    // announced them already.
    void set_account_use(work_update& update);
    void end_attempt();
    // The tokens that the service's engine caches of earlier prompts; 0 for other services.
    [[nodiscard]] std::int64_t prefix_cache_tokens() const;
    // Records that the attempt's server has prefilled the prompt. Returns what other
    // daemons should learn of it; empty if the engine caches nothing.
    std::vector<prefix_part> note_prefilled();

    bool on_head(const http_answer_head& head);
    // Counts the answer of the current attempt, which fails if it must give way.
    [[nodiscard]] body_budget::holding hold_answer();
    void on_body(std::string_view bytes);
    void on_events(std::vector<stream_event> events);
    void on_complete();
    void on_failure(const call_failure& failure);
    void on_silence_timeout();
    // The next attempt, charged to the budget for repeats, if nothing prevents it.
    std::optional<placement> replace_silent_server();
    void log_kept_waiting(std::string_view reason);
    void on_deadline();
    void limit_silence_before_answer();
    void limit_silence_in_stream();
    void restart_silence_timer(duration limit);

    // Takes in what the answer's head states of its server.
    void note_statements();
    void note_stated_limit();
    void note_pause();
    void note_leaving();
    [[nodiscard]] bool is_servers_own_answer() const;
    // Time until a server of the service may get a request, if all asked for a pause;
    // otherwise zero.
    [[nodiscard]] duration time_until_end_of_pause() const;
    // The server has begun to answer, at `began`, and still runs.
    void note_sound(time_point began);
    // The server ended the connection inside the answer. Speaks against the request only
    // if the server had not begun to answer.
    void note_crash();
    // The server that the answer names as faulty, or else the attempt's server.
    [[nodiscard]] server_name server_at_fault() const;
    // Reports, counts and logs the failed attempt.
    void note_failed_attempt(const attempt_outcome& outcome, std::string_view reason);
    void handle_outcome(const attempt_outcome& outcome, std::string_view reason);
    void send_answer(const http_answer& answer);
    void fail(int status, std::string_view reason, std::optional<duration> retry_after = std::nullopt);
    // Ends the request with an error of this daemon: 503, which promises that the request did
    // not run, only if no server may have run it, otherwise 502.
    void refuse(std::string_view reason, duration retry_after);
    void cut_off(early_end cause, std::string_view reason);
    void finish(std::string_view outcome, int status, std::string_view reason);

    [[nodiscard]] duration time_left() const { return m_deadline - m_state.timers.now(); }

    gateway_state& m_state;
    answer_sink* m_sink;
    caller_request m_request;
    // The memory of the request's body.
    body_budget::holding m_held;
    time_point m_received_at;
    time_point m_deadline{};
    std::shared_ptr<const route_table> m_routes;
    const route* m_route = nullptr;
    const service* m_service = nullptr;
    const client_account* m_account = nullptr;
    std::vector<request_trait> m_traits;
    // The prefixes of the prompt; empty if the service's engine caches none.
    std::vector<prefix_part> m_prefixes;
    std::uint64_t m_number = 0;
    bool m_ended = false;
    attempt_history m_history;
    std::uint64_t m_attempts_begun = 0;
    std::vector<server_name> m_tried_servers;
    std::vector<std::string> m_tried_addresses;
    std::optional<server_attempt> m_attempt;
    std::optional<std::int64_t> m_last_event;
    // When the newest event of the answer arrived; zero before the first.
    time_point m_newest_event_at{};
    duration m_longest_gap{};
    std::optional<time_point> m_waiting_since;
    // Value of m_history.sent when the account's use was last announced.
    std::optional<int> m_sent_at_account_use;
    loop_timers::subscription m_deadline_timer{};
    loop_timers::subscription m_silence_timer{};
    loop_timers::subscription m_wait_timer{};
};

}  // namespace verbenahold::serving
