// The part of class exchange that decides when a silent server is given up.
#include "duration_units.hpp"
#include "exchange.hpp"
#include "log_line.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// A retryable request is sent to another server when its server stays silent
// beyond the predicted time for this many latency targets, and for at least
// min_silence.
constexpr double silence_latency_targets = 2;
constexpr duration min_silence = std::chrono::milliseconds(500);
// A stream is continued at another server after this many targets of
// inter-token latency without an event, and after at least
// min_stream_silence: callers disconnect after two seconds.
constexpr double stream_silence_gap_targets = 5;
constexpr duration min_stream_silence = std::chrono::milliseconds(1'200);
// A decoding engine produces an event of some stream more often than this, even
// when it is overloaded.
constexpr duration max_server_silence = std::chrono::milliseconds(1'600);
// If a request that was sent this much later has finished its prefill first,
// the earlier one is taken to be stuck.
constexpr duration overtaking_margin = std::chrono::milliseconds(400);
// A load report that arrived this long after an event was made after that
// event.
constexpr duration report_lag = std::chrono::milliseconds(300);
// The longest engine step that is waited for in a stream. Callers disconnect
// after a pause of two seconds at the earliest, and a retry after this time
// could not deliver an event before that.
constexpr duration max_engine_step = std::chrono::milliseconds(1'900);
constexpr duration silence_check_period = std::chrono::milliseconds(100);

}  // namespace

void exchange::limit_silence_before_answer() {
    const auto silence = std::max(min_silence, scaled(m_route->latency_target, silence_latency_targets));
    restart_silence_timer(m_attempt->placed.predicted + silence);
}

void exchange::limit_silence_in_stream() {
    restart_silence_timer(std::max(min_stream_silence, scaled(m_route->event_gap_target, stream_silence_gap_targets)));
}

void exchange::restart_silence_timer(duration limit) {
    m_state.timers.unsubscribe(m_silence_timer);
    m_silence_timer = m_state.timers.after(limit, [this] { contained([this] { on_silence_timeout(); }); });
}

void exchange::on_silence_timeout() {
    if (!m_attempt) {
        return;
    }
    const bool spare_attempt = m_history.may_have_run < m_route->max_attempts;
    const bool allowed =
        m_history.answer_begun ? may_continue(*m_route, m_history) : m_route->retry == retry_rule::idempotent;
    if (!spare_attempt || !allowed) {
        return;
    }
    const auto now = m_state.timers.now();
    // A server that reported its load after the stream's last event is alive
    // and in a long engine step. Prefilling the prompt again at another server
    // would lengthen the engine steps there.
    if (m_service->engine && m_history.answer_begun) {
        const auto last_event = m_state.load.last_stream_event(m_attempt->server);
        const bool lives = m_state.load.last_event_or_report(m_attempt->server) > last_event + report_lag;
        if (lives && now - m_attempt->last_event_at < max_engine_step) {
            restart_silence_timer(silence_check_period);
            return;
        }
    }
    // An active server is busy rather than failed, unless later requests
    // overtake this one.
    if (m_service->engine && !m_history.answer_begun) {
        const bool active = now - m_state.load.last_event_or_report(m_attempt->server) < max_server_silence;
        const bool overtaken =
            m_attempt->placed.helpers.empty() &&
            m_state.load.newest_prefilled_sent_at(m_attempt->server) > m_attempt->sent_at + overtaking_margin;
        if (active && !overtaken) {
            restart_silence_timer(silence_check_period);
            return;
        }
    }
    // The server may still answer, so the attempt goes on until another one can begin.
    const auto next = replace_silent_server();
    if (!next) {
        restart_silence_timer(silence_check_period);
        return;
    }
    note_failed_attempt(attempt_outcome_unknown{}, "the server is silent");
    end_attempt();
    begin_attempt(*next);
}

std::optional<placement> exchange::replace_silent_server() {
    if (crashes_servers()) {
        log_kept_waiting("servers crash on requests like this one");
        return std::nullopt;
    }
    const auto result = choose_servers();
    if (const auto* none = std::get_if<no_placement>(&result)) {
        log_kept_waiting(none->reason);
        return std::nullopt;
    }
    const auto& next = std::get<placement>(result);
    const auto reserves = [](const prefill_helper& helper) { return helper.reserved_tokens > 0; };
    if (std::any_of(next.helpers.begin(), next.helpers.end(), reserves)) {
        log_kept_waiting("memory for the prompt is not certain elsewhere");
        return std::nullopt;
    }
    if (!m_state.repeats.take(m_service->name, m_state.sharing_daemons(), m_state.timers.now())) {
        log_kept_waiting("the budget for repeats is used up");
        return std::nullopt;
    }
    return next;
}

void exchange::log_kept_waiting(std::string_view reason) {
    if (std::exchange(m_attempt->kept_waiting_logged, true)) {
        return;
    }
    m_state.counters.add("silent_servers_kept");
    log_line("silent server kept")
        .add("request", m_request.attempt_id)
        .add("server", m_attempt->server.value)
        .add("reason", reason)
        .add("events", m_attempt->events_received)
        .add("left_ms", time_left())
        .info();
}

}  // namespace verbenahold::serving
