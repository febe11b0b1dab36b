// Decides whether a request that currently can't be placed waits in its daemon
// or is refused.
#pragma once

#include "placer.hpp"

#include <variant>

namespace verbenahold::serving {

// State of a request that could not be placed.
struct unplaced_request {
    const route* matched = nullptr;
    // Time since the first failed placement.
    duration waited{};
    // Time until the request's deadline.
    duration time_left{};
    // Part of the answer was already sent to the caller.
    bool answer_begun = false;
    // The service has at least one usable server.
    bool servers_exist = false;
};

// Try to place the request again after this time.
struct retry_placement {
    duration after{};
};

// Refuse the request now and tell the caller to retry after `retry_after`.
struct refuse_request {
    duration retry_after{};
};

using wait_decision = std::variant<retry_placement, refuse_request>;

// In a short burst, when batch slots or prefill capacity are exhausted for a
// moment, waiting costs a caller less than being refused and retrying. A request
// that has waited too long is refused while the caller still has time to retry.
wait_decision decide_wait(const unplaced_request& request, const no_placement& reason);

// How long after its arrival a request waits for capacity that others need more.
// `allowed` is its whole time, from its arrival to its deadline.
duration max_capacity_wait(const route& matched, duration allowed);

}  // namespace verbenahold::serving
