// Decides whether a request takes the best placement that was found for it or waits
// for a better one. Answers a load near or above what the servers can do: a request
// that is sent at once then waits in a server's own queue, where it delays requests
// that could still be in time, and a long prompt that is prefilled at once stalls the
// streams beside it.
#pragma once

#include "duration_units.hpp"

#include <optional>
#include <string_view>

namespace verbenahold::serving {

// The best placement that was found for a request.
struct placement_offer {
    // Predicted time to the first event.
    duration predicted{};
    // The part of it that is spent waiting for other requests.
    duration queueing{};
    // Cost for the other requests of the servers, in units of late callers with a mean
    // prompt.
    double harm = 0;
    // Batch slots that are free at the server that answers.
    int free_slots = 0;
};

// Properties of the request that decide how urgent it is.
struct admission_request {
    // Time since the request arrived.
    duration waited{};
    duration latency_target{};
    // Time since its arrival after which it is refused.
    duration max_wait{};
    // Weight in units of a request with a mean prompt.
    double weight = 1;
    // Its client account uses more than its share while others wait.
    bool yields = false;
    // An interactive stream, of which many compete for each batch slot. Long prompts are few,
    // and would get none if they could not take the last ones.
    bool interactive = true;
    // Time to the first event if as many servers as possible, all of them idle, shared the
    // prefill.
    duration shortest{};
};

// Batch slots of a server that are left to requests that can still be in time, so that
// those which are late anyway don't take each slot that becomes free.
inline constexpr int slots_reserved_for_timely = 2;

// Whether the request can still meet its target, by the prediction.
bool is_timely(const admission_request& request, duration predicted);

// Whether it could still meet its target if enough servers became free now.
bool can_become_timely(const admission_request& request);

// The reason why the request waits for a better placement; empty if it takes this one.
std::optional<std::string_view> reason_to_wait(const admission_request& request, const placement_offer& offer);

}  // namespace verbenahold::serving
