// Cost of delays, in units of late callers with a mean prompt. Placements are
// compared by this cost.
#pragma once

#include "engine_load.hpp"

namespace verbenahold::serving {

// How long callers wait for the next event of a stream, the first one included, before
// they leave.
duration caller_patience(duration latency_target, duration event_gap_target);

// Cost of an answer that is predicted to take `predicted_ms`. It approximates the
// probability that the answer is late: it rises from 0 before the target, since
// predictions have errors. Beyond the target it keeps rising slowly, so that a
// shorter delay is preferred among late answers.
double lateness_cost(double predicted_ms, double target_ms);

// Cost for the other requests of a server if it prefills `added_prefill_ms` more
// in its next iterations: gaps in its streams, and delay of its pending prefills.
// `base_iteration_ms` is the time of an iteration without prefill.
double prefill_interference_cost(const server_load& load, double base_iteration_ms, double added_prefill_ms,
                                 time_point now);

// Weight of a request in units of a request with a mean prompt: the ratio of its
// prompt length to the mean, at least 1. The work wasted when a request fails
// grows with its prompt.
double request_weight(const engine_cost_model& engine, std::int64_t prompt_tokens);

}  // namespace verbenahold::serving
