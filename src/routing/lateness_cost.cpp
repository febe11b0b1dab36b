#include "lateness_cost.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// The predicted probability of a late answer rises from 0 to 1 between these
// multiples of the latency target.
constexpr double lateness_ramp_begin = 0.65;
constexpr double lateness_ramp_end = 1.1;
// Cost of each further multiple of the target by which an answer is late.
constexpr double overdue_delay_cost = 0.25;
// Cost of a delay of the whole target, so that the earlier of two placements
// within the target is preferred.
constexpr double on_time_delay_cost = 0.05;

// The predicted probability of a late event rises from 0 to 1 when the iteration
// time plus the server's whole prefill backlog reaches these multiples of the gap
// target. The rise starts below 1 because of the network delay to the caller.
constexpr double gap_ramp_begin = 0.7;
constexpr double gap_ramp_end = 1.0;
// Callers wait for the longest of two seconds, four latency targets and eight targets of
// the gap between events.
constexpr duration min_patience = std::chrono::seconds(2);
constexpr int patience_latency_targets = 4;
constexpr int patience_gap_targets = 8;
// The predicted probability that a caller leaves rises from 0 to 1 when an iteration
// takes these fractions of the time that it waits.
constexpr double abandon_ramp_begin = 0.5;
constexpr double abandon_ramp_end = 0.9;
// Cost of a lost stream beyond that of a late one: its caller gets nothing, and the prompt
// is prefilled again at a server that is needed for others. Several streams of a server are
// lost at once.
constexpr double lost_stream_cost = 5;
// Cost of each millisecond of prefill for each stream on the same server, even
// if no event is late.
constexpr double cost_per_prefill_ms_per_stream = 0.0002;

double ramp(double value, double begin, double end) {
    return std::clamp((value - begin) / (end - begin), 0.0, 1.0);
}

// Cost for a stream whose server runs an iteration of this time.
double gap_cost(double iteration_ms, double gap_target_ms) {
    const double abandoned_ms = to_ms(caller_patience({}, from_ms(gap_target_ms)));
    return ramp(iteration_ms / gap_target_ms, gap_ramp_begin, gap_ramp_end) +
           lost_stream_cost * ramp(iteration_ms / abandoned_ms, abandon_ramp_begin, abandon_ramp_end);
}

}  // namespace

duration caller_patience(duration latency_target, duration event_gap_target) {
    return std::max({min_patience, patience_latency_targets * latency_target, patience_gap_targets * event_gap_target});
}

double lateness_cost(double predicted_ms, double target_ms) {
    if (target_ms <= 0) {
        return 0;
    }
    const double ratio_to_target = predicted_ms / target_ms;
    return ramp(ratio_to_target, lateness_ramp_begin, lateness_ramp_end) +
           on_time_delay_cost * std::min(ratio_to_target, 1.0) +
           overdue_delay_cost * std::max(0.0, ratio_to_target - 1);
}

double prefill_interference_cost(const server_load& load, double base_iteration_ms, double added_prefill_ms,
                                 time_point now) {
    const double before = base_iteration_ms + load.backlog_ms;
    const double after = before + added_prefill_ms;
    double stream_cost = 0;
    for (const auto& stream : load.streams) {
        const double target = to_ms(stream.event_gap_target);
        // The stream of a prompt in prefill begins when the prefill before it is done, and
        // what is added now may follow in its iterations.
        const double waits_for = stream.in_prefill ? base_iteration_ms : before;
        stream_cost += stream.weight * (gap_cost(waits_for + added_prefill_ms, target) - gap_cost(waits_for, target));
        stream_cost += cost_per_prefill_ms_per_stream * added_prefill_ms;
    }
    double pending_prefill_cost = 0;
    for (const auto& prefill : load.pending_prefills) {
        const double waited = to_ms(now - prefill.sent);
        const double target = to_ms(prefill.latency_target);
        pending_prefill_cost +=
            prefill.weight * (lateness_cost(waited + after, target) - lateness_cost(waited + before, target));
    }
    return pending_prefill_cost + stream_cost;
}

double request_weight(const engine_cost_model& engine, std::int64_t prompt_tokens) {
    return std::max(1.0, static_cast<double>(prompt_tokens) / engine.mean_prompt_tokens);
}

}  // namespace verbenahold::serving
