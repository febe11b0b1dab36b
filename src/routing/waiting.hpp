// Decides whether a request that no server can take now waits in its daemon or
// is refused.
#pragma once

#include "placer.hpp"

#include <variant>

namespace verbenahold::serving {

// State of a request that could not be placed.
struct waiting_request {
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
struct ask_again {
    duration after{};
};

// Refuse the request now and tell the caller to retry after `retry_after`.
struct refuse_now {
    duration retry_after{};
};

using waiting_decision = std::variant<ask_again, refuse_now>;

// In a short burst, when batch slots or prefill capacity are exhausted for a
// moment, waiting costs a caller less than being refused and retrying. A request
// that has waited too long is refused while the caller still has time to retry.
waiting_decision decide_waiting(const waiting_request& request, const no_placement& reason);

}  // namespace verbenahold::serving
