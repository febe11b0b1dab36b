// One backend server as its owner sees it: the work in flight, exact for the
// owner's own work and estimated for that of others, KV memory, prefill
// backlog, cold-start window, and whether new work may go there.
#pragma once

#include "attempt_record.hpp"
#include "backend_server.hpp"
#include "cold_claim.hpp"
#include "cold_start.hpp"

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

// A new owner waits this long before its first dispatch: by then the previous
// owner's membership view has caught up, which takes up to 2 s of suspicion.
inline constexpr duration handover_wait = std::chrono::seconds(2);
inline constexpr duration load_poll_interval = std::chrono::milliseconds(250);
inline constexpr duration listing_interval = std::chrono::seconds(5);
// Listings come faster while other daemons' work is on the server, because it
// occupies places until a listing shows that it has ended.
inline constexpr duration foreign_listing_interval = std::chrono::milliseconds(500);
// Shortest time to the next listing when foreign work blocks a dispatch.
inline constexpr duration blocked_listing_interval = std::chrono::milliseconds(50);
// A request that was not answered for this long is made again. The shell ends
// each within 1 s.
inline constexpr duration poll_answer_limit = std::chrono::seconds(3);
// No work for a server that refused some, until its next load report at least.
inline constexpr duration refusal_pause = std::chrono::milliseconds(250);
// A dead server gets no work for this long even if it answers polls.
inline constexpr duration death_pause = std::chrono::seconds(1);
// Load polls that fail in a row before a server counts as unreachable.
inline constexpr int failed_polls_limit = 3;
// Prompt tokens waiting for prefill on one server, beyond which no further
// work is sent there: about two medium prompts, so that a short prompt that
// has to wait for them keeps its time to first token.
inline constexpr std::int64_t prefill_budget_tokens = 65'536;
// Load reports lag by up to about this much; own work that ran within it may
// still show in a report and is not taken for foreign work.
inline constexpr duration report_lag_limit = std::chrono::seconds(2);

// KV memory that a request needs on its lead server, in tokens.
std::int64_t needed_kv(const submit& request);
// Prompt tokens that `server` has to prefill: only the server that the caller
// side names is believed to have the prefix.
std::int64_t prefill_needed(const submit& request, const server_name& server);

class server_state {
public:
    server_state(backend_server server, bool released, time_point now);

    [[nodiscard]] const backend_server& server() const { return m_server; }
    void refresh(const backend_server& server) { m_server = server; }
    // Takes the capacities of the service record in force.
    void configure(const service_spec& spec);

    // Ownership. A server that is lost stays known until its work has ended.
    void set_owned(bool released, time_point now);
    void set_lost() { m_owned = false; }
    void end_handover(time_point now);
    [[nodiscard]] bool owned() const { return m_owned; }
    [[nodiscard]] bool has_work() const { return !m_running.empty() || !m_parts.empty(); }

    // Work of this owner.
    void start(attempt_record& record, time_point now);
    // The first token has come: the prompt is no longer prefill backlog.
    void end_prefill(attempt_record& record);
    void end(attempt_record& record, time_point now);
    // A completion may widen the window; call before end().
    void note_completed(const attempt_record& record);
    [[nodiscard]] const std::unordered_set<attempt_record*>& running() const { return m_running; }

    // KV memory reserved for very long prompts of other lead servers.
    void hold_part(const std::string& reservation, std::int64_t tokens);
    void free_part(const std::string& reservation) { m_parts.erase(reservation); }
    [[nodiscard]] const std::map<std::string, std::int64_t>& parts() const { return m_parts; }
    // Tokens of a reservation in the last listing, if it was there.
    [[nodiscard]] std::optional<std::int64_t> find_listed(const std::string& reservation) const;
    [[nodiscard]] time_point listed_at() const { return m_listed_at; }

    // What the server says of itself. True when it is a new incarnation or
    // model version, which is cold.
    bool on_report(const load_report& report, time_point now);
    bool on_listing(const stream_listing& listing, std::string_view own_suffix, time_point now);
    // Looks for running answers that have stopped. True when they show that
    // the server has become cold; to be called at each load report.
    bool check_stalls(duration predicted_gap, time_point now);
    void on_poll_failed(time_point now);

    // What goes wrong.
    void on_refused_work(time_point now);
    void on_out_of_memory(time_point now);
    void on_death(time_point now);
    // A gap between two tokens, and the gap predicted. True when it shows that
    // the server has become cold.
    bool on_token_gap(duration gap, duration predicted, time_point now);

    // Polls due. Each call that returns true counts as having been made.
    bool take_due_poll(time_point now);
    bool take_due_listing(time_point now);
    // A listing is to be made now, or soon when the last one showed foreign
    // work.
    void want_listing(time_point now);
    [[nodiscard]] time_point listing_asked_at() const { return m_listing_asked_at; }
    void want_poll(time_point now) { m_next_poll = now; }
    [[nodiscard]] time_point next_due() const;

    // Whether new work may go there at all.
    [[nodiscard]] bool is_usable(time_point now) const;
    // False while the server is dead or does not answer polls.
    [[nodiscard]] bool is_reachable() const { return !m_dead && m_failed_polls < failed_polls_limit; }
    // A server that carries only one request cold is used after a claim.
    [[nodiscard]] bool must_claim_first() const;
    [[nodiscard]] cold_claim& claim() { return m_claim; }
    [[nodiscard]] int in_flight() const;
    [[nodiscard]] int foreign() const;
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

    // Set while the server runs a suspect request, or empties itself for one.
    bool isolated = false;

private:
    void note_incarnation(std::uint64_t incarnation, bool& changed, time_point now);
    [[nodiscard]] int recent_own_peak(time_point now) const;
    void note_own_count(time_point now);
    void raise_kv(attempt_record& record, std::int64_t tokens);

    backend_server m_server;
    bool m_owned = true;
    bool m_dead = false;
    bool m_model = true;
    time_point m_ready_at{};
    cold_start m_window;
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

    // Work of other daemons. Unknown until the server has told after a gain, a
    // death or a new incarnation; nothing is sent before.
    bool m_foreign_known = false;
    int m_listed_foreign = 0;
    std::int64_t m_listed_foreign_kv = 0;
    int m_reported_foreign = 0;
    // Own work in flight lately: the peak of this and the previous period.
    int m_own_peak = 0;
    int m_previous_own_peak = 0;
    time_point m_peak_period_start{};

    std::int64_t m_kv_capacity = 0;
    // Memory that the accounting does not explain, after an out_of_memory.
    std::int64_t m_unexplained_kv = 0;
    cold_claim m_claim;
    bool m_listing_wanted = false;

    time_point m_next_poll{};
    time_point m_next_listing{};
    int m_failed_polls = 0;
    bool m_listing_outstanding = false;
    time_point m_listing_asked_at{};
    time_point m_listed_at{};
    std::map<std::string, std::int64_t> m_listed_reservations;
    time_point m_reported_at{};
    time_point m_previous_report_at{};

    // Moving average of token gaps, in seconds.
    double m_gap_seconds = 0;
    int m_gap_samples = 0;
    time_point m_gap_reset_at{};
};

}  // namespace verbenahold
