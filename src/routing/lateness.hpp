// What a delay costs callers, in callers that are served late: the common
// measure by which placements are compared.
#pragma once

#include "engine_load.hpp"

namespace verbenahold::serving {

// Part of the callers that count an answer as late when it comes after
// `predicted_ms`: rises from the near side of the target, since predictions
// err, and goes on rising slowly, since later is worse.
double lateness(double predicted_ms, double target_ms);

// Callers that become late because a server reads `part_ms` more in its next
// passes: those whose streams pause and those whose prompts are read there.
// `base_pass_ms` is the length of a pass without reading.
double harm_of_reading(const server_load& load, double base_pass_ms, double part_ms, time_point now);

// How many callers with an ordinary prompt one request stands for: its prompt
// against the mean. A long prompt that fails wastes as much work.
double request_weight(const engine_figures& engine, std::int64_t prompt_tokens);

}  // namespace verbenahold::serving
