#include "lateness.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Parts of a target at which the first caller may be late and at which all are.
constexpr double first_late = 0.65;
constexpr double all_late = 1.1;
// What each further target of delay costs a caller who is late already.
constexpr double cost_of_later = 0.25;
// What delay costs within the target, to prefer the earlier of two placements.
constexpr double cost_of_early = 0.05;

// Parts of its pause target that a pass may last until the first stream is late
// and until each one is: events also need their way to the caller.
constexpr double first_pause_late = 0.7;
constexpr double all_pauses_late = 1.0;
// What a millisecond of reading costs each stream beside it in any case.
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
