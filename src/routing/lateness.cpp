#include "lateness.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// The predicted probability of a late answer rises from 0 to 1 between these
// multiples of the latency target.
constexpr double first_late = 0.65;
constexpr double all_late = 1.1;
// Cost of each further multiple of the target by which an answer is late.
constexpr double cost_of_later = 0.25;
// Cost of a delay of the whole target, so that the earlier of two placements
// within the target is preferred.
constexpr double cost_of_early = 0.05;

// The predicted probability of a late event rises from 0 to 1 between these
// multiples of the gap target, compared with the iteration time. It starts below
// 1 because of the network delay to the caller.
constexpr double first_pause_late = 0.7;
constexpr double all_pauses_late = 1.0;
// Cost of each millisecond of prefill for each stream on the same server, even
// if no event is late.
constexpr double cost_per_stream_ms = 0.0002;

double ramp(double value, double begin, double end) {
    return std::clamp((value - begin) / (end - begin), 0.0, 1.0);
}

}  // namespace

double lateness(double predicted_ms, double target_ms) {
    if (target_ms <= 0) {
        return 0;
    }
    const double targets = predicted_ms / target_ms;
    return ramp(targets, first_late, all_late) + cost_of_early * std::min(targets, 1.0) +
           cost_of_later * std::max(0.0, targets - 1);
}

double harm_of_reading(const server_load& load, double base_pass_ms, double part_ms, time_point now) {
    const double before = base_pass_ms + load.backlog_ms;
    const double after = before + part_ms;
    double paused = 0;
    for (const auto& stream : load.streams) {
        const double target = to_ms(stream.pause_target);
        paused += stream.weight * (ramp(after / target, first_pause_late, all_pauses_late) -
                                   ramp(before / target, first_pause_late, all_pauses_late));
        paused += cost_per_stream_ms * part_ms;
    }
    double delayed = 0;
    for (const auto& reader : load.readers) {
        const double waited = to_ms(now - reader.sent);
        const double target = to_ms(reader.latency_target);
        delayed += reader.weight * (lateness(waited + after, target) - lateness(waited + before, target));
    }
    return delayed + paused;
}

double request_weight(const engine_figures& engine, std::int64_t prompt_tokens) {
    return std::max(1.0, static_cast<double>(prompt_tokens) / engine.usual_prompt_tokens);
}

}  // namespace verbenahold::serving
