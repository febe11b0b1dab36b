// State that an owner keeps for one backend server: requests in flight (exact
// for the owner's own requests, estimated for those of other daemons), KV
// memory, prefill backlog, cold-start window, and whether the server accepts
// new work. "Foreign" work is work that other daemons started on the server.
#pragma once

#include "attempt_record.hpp"
#include "backend_server.hpp"
#include "cold_claim.hpp"
#include "cold_start_window.hpp"

#include "verbenahold/events.hpp"
#include "verbenahold/records.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace verbenahold {

// A new owner waits this long before its first dispatch. Until then the
// previous owner may not know of the change and may still dispatch: its failure
// detector suspects a member for up to 2 s before declaring it dead.
inline constexpr duration handover_wait = std::chrono::seconds(2);
inline constexpr duration load_poll_interval = std::chrono::milliseconds(250);
inline constexpr duration listing_interval = std::chrono::seconds(5);
// Used while other daemons' requests run on the server: each occupies a slot
// until a listing shows that it has ended.
inline constexpr duration foreign_listing_interval = std::chrono::milliseconds(500);
// Minimum time between listings when foreign work blocks a dispatch.
inline constexpr duration blocked_listing_interval = std::chrono::milliseconds(50);
// A load poll or listing without an answer is repeated after this time. The
// I/O layer fails each one within 1 s, so this covers only a lost event.
inline constexpr duration poll_answer_timeout = std::chrono::seconds(3);
// A server that refused a request gets no new work for this long, which is at
// least until its next load report.
inline constexpr duration refusal_pause = std::chrono::milliseconds(250);
// A server that died gets no new work for this long, even if it answers polls.
inline constexpr duration death_pause = std::chrono::seconds(1);
// Consecutive failed load polls after which a server counts as unreachable.
inline constexpr int failed_polls_limit = 3;
// Maximum prompt tokens that may wait for prefill on one server. About two
// medium prompts, so that a short prompt queued behind them still meets its
// time to first token.
inline constexpr std::int64_t prefill_budget_tokens = 65'536;
// Load reports lag by up to about this much. A report may still count own
// requests that ran within this time, so they are not taken for foreign ones.
inline constexpr duration max_report_lag = std::chrono::seconds(2);

// KV memory that a request needs on the server that runs its stream, in tokens.
// Memory parts reserved on other servers are not counted.
std::int64_t kv_tokens_needed(const submit& request);
// Prompt tokens that `server` has to prefill. Only the preferred server named
// by the caller side is assumed to have the prompt's prefix in its cache.
std::int64_t prefill_tokens_needed(const submit& request, const server_name& server);

class server_state {
public:
    server_state(backend_server server, bool released, time_point now);

    [[nodiscard]] const backend_server& server() const { return m_server; }
    void refresh(const backend_server& server) { m_server = server; }
    // Applies the capacities of the current service record.
    void configure(const service_spec& spec);

    // Ownership. The state of a server that this owner lost is kept until its
    // attempts there have ended.
    void set_owned(bool released, time_point now);
    void set_lost() { m_owned = false; }
    void end_handover(time_point now);
    [[nodiscard]] bool owned() const { return m_owned; }
    [[nodiscard]] bool has_work() const { return !m_running.empty() || !m_parts.empty(); }

    // Attempts of this owner.
    void start(attempt_record& record, time_point now);
    // Removes the prompt from the prefill backlog; called at the first token.
    void end_prefill(attempt_record& record);
    void end(attempt_record& record, time_point now);
    // A completion may widen the cold-start window. Must be called before end(),
    // while the attempt still counts as in flight.
    void count_completion(const attempt_record& record);
    [[nodiscard]] const std::unordered_set<attempt_record*>& running() const { return m_running; }

    // KV memory reserved here for very long prompts whose stream runs on another
    // server.
    void hold_part(const std::string& reservation, std::int64_t tokens);
    void free_part(const std::string& reservation) { m_parts.erase(reservation); }
    [[nodiscard]] const std::map<std::string, std::int64_t>& parts() const { return m_parts; }
    // Tokens of a reservation in the last listing, if it was listed.
    [[nodiscard]] std::optional<std::int64_t> find_listed_reservation(const std::string& reservation) const;
    [[nodiscard]] time_point listed_at() const { return m_listed_at; }

    // Reports of the server itself. Both return true when the server is cold
    // because it restarted (new incarnation); on_report also for a new model
    // version.
    bool on_report(const load_report& report, time_point now);
    bool on_listing(const stream_listing& listing, std::string_view own_stream_suffix, time_point now);
    // Detects running answers that stopped producing tokens. Resets the window
    // and returns true when they show that the server has become cold. Must be
    // called at each load report.
    bool check_stalls(duration predicted_gap, time_point now);
    void on_poll_failed(time_point now);

    // Failures.
    void on_refused_work(time_point now);
    void on_out_of_memory(time_point now);
    void on_death(time_point now);
    // Adds a measured gap between two tokens. Resets the window and returns true
    // when the average is so far above `predicted` that the server must be cold.
    bool on_token_gap(duration gap, duration predicted, time_point now);

    // True when a poll or listing is due. The caller must then send it: the next
    // one is due only after the answer or poll_answer_timeout.
    bool take_due_poll(time_point now);
    bool take_due_listing(time_point now);
    // Makes a listing due now, or blocked_listing_interval after the last one
    // when that showed foreign work.
    void request_listing(time_point now);
    [[nodiscard]] time_point listing_sent_at() const { return m_listing_sent_at; }
    void request_poll(time_point now) { m_next_poll = now; }
    [[nodiscard]] time_point next_due() const;

    // True when the server is owned, reachable and not leaving, any wait after a
    // handover or failure is over, and its foreign work is known.
    [[nodiscard]] bool is_usable(time_point now) const;
    // False while the server is dead or its last load polls all failed.
    [[nodiscard]] bool is_reachable() const { return !m_dead && m_failed_polls < failed_polls_limit; }
    // True when a claim must be granted before the next dispatch, because the
    // cold server can run only one request.
    [[nodiscard]] bool must_claim_first() const;
    [[nodiscard]] cold_claim& claim() { return m_claim; }
    [[nodiscard]] int in_flight() const;
    [[nodiscard]] int foreign_requests() const;
    [[nodiscard]] int free_slots(time_point now) const;
    [[nodiscard]] int window() const { return m_window.window(); }
    [[nodiscard]] bool is_cold() const { return m_window.is_cold(); }
    [[nodiscard]] bool is_dead() const { return m_dead; }
    [[nodiscard]] std::int64_t kv_capacity() const { return m_kv_capacity; }
    [[nodiscard]] std::int64_t free_kv() const;
    [[nodiscard]] std::int64_t prefill_backlog() const { return m_prefill_backlog; }
    [[nodiscard]] std::int64_t long_prefill() const { return m_long_prefill; }
    [[nodiscard]] std::int64_t long_kv() const { return m_long_kv; }
    [[nodiscard]] int long_running() const { return m_long_running; }
    [[nodiscard]] int short_running() const { return m_short_running; }

    // Set while the server runs a request suspected of crashing servers, or
    // finishes its other work to run one alone.
    bool isolated = false;

private:
    void update_incarnation(std::uint64_t incarnation, bool& changed, time_point now);
    [[nodiscard]] int recent_own_peak(time_point now) const;
    void update_own_peak(time_point now);
    void raise_kv(attempt_record& record, std::int64_t tokens);

    backend_server m_server;
    bool m_owned = true;
    bool m_dead = false;
    bool m_is_model = true;
    time_point m_ready_at{};
    cold_start_window m_window;
    std::uint64_t m_incarnation = 0;
    std::string m_model_version;

    std::unordered_set<attempt_record*> m_running;
    std::int64_t m_own_kv = 0;
    std::int64_t m_prefill_backlog = 0;
    std::int64_t m_long_prefill = 0;
    std::int64_t m_long_kv = 0;
    int m_long_running = 0;
    int m_short_running = 0;
    std::map<std::string, std::int64_t> m_parts;

    // Foreign work. It is unknown after this owner gained the server, after a
    // death and after a restart, until a listing (of a plain service: a load
    // report) shows it; nothing is dispatched until then.
    bool m_foreign_known = false;
    int m_listed_foreign_requests = 0;
    std::int64_t m_listed_foreign_kv = 0;
    int m_reported_foreign_requests = 0;
    // Peak number of own attempts in flight, in the current and the previous
    // period of max_report_lag.
    int m_own_peak = 0;
    int m_previous_own_peak = 0;
    time_point m_peak_period_start{};

    std::int64_t m_kv_capacity = 0;
    // KV memory treated as used after an out_of_memory error, until a listing
    // shows the actual use.
    std::int64_t m_assumed_used_kv = 0;
    cold_claim m_claim;
    bool m_listing_requested = false;

    time_point m_next_poll{};
    time_point m_next_listing{};
    int m_failed_polls = 0;
    bool m_listing_outstanding = false;
    time_point m_listing_sent_at{};
    time_point m_listed_at{};
    std::map<std::string, std::int64_t> m_listed_reservations;
    time_point m_reported_at{};
    time_point m_previous_report_at{};

    // Exponentially weighted moving average of the gap between tokens.
    double m_gap_seconds = 0;
    int m_gap_samples = 0;
    time_point m_gap_reset_at{};
};

}  // namespace verbenahold
