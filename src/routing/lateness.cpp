#include "lateness.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Parts of a target at which the first caller may be late and at which all are.
constexpr double first_late = 0.5;
constexpr double all_late = 1.1;
// What each further target of delay costs a caller who is late already.
constexpr double cost_of_later = 0.25;
// What delay costs within the target, to prefer the earlier of two placements.
constexpr double cost_of_early = 0.1;

// Pass lengths in milliseconds between which streams become late: from well
// under to just under the pause targets of interactive and of other streams.
constexpr double short_pause_begins_ms = 140;
constexpr double short_pause_ends_ms = 240;
constexpr double long_pause_begins_ms = 400;
constexpr double long_pause_ends_ms = 600;
// What a millisecond of reading costs each stream beside it in any case.
constexpr double cost_per_stream_ms = 0.0002;
// Weight of a stream with a long prompt, in interactive ones.
constexpr double long_stream_weight = 3;

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

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
    const double shorts = ramp(after, short_pause_begins_ms, short_pause_ends_ms) -
                          ramp(before, short_pause_begins_ms, short_pause_ends_ms);
    const double longs = ramp(after, long_pause_begins_ms, long_pause_ends_ms) -
                         ramp(before, long_pause_begins_ms, long_pause_ends_ms);
    const int streams = load.short_sequences + load.long_sequences;
    double delayed = 0;
    for (const auto& reader : load.readers) {
        const double waited = to_ms(now - reader.sent);
        const double target = to_ms(reader.latency_target);
        delayed += reader.weight * (lateness(waited + after, target) - lateness(waited + before, target));
    }
    return delayed + load.short_sequences * shorts + long_stream_weight * load.long_sequences * longs +
           cost_per_stream_ms * part_ms * streams;
}

double request_weight(const engine_figures& engine, std::int64_t prompt_tokens) {
    return std::max(1.0, static_cast<double>(prompt_tokens) / engine.usual_prompt_tokens);
}

}  // namespace verbenahold::serving
