// How long a request that no server can take waits in its daemon, and when it is
// refused instead.
#pragma once

#include "placer.hpp"

#include <variant>

namespace verbenahold::serving {

// What is known of a request that got no place.
struct waiting_request {
    const route* matched = nullptr;
    // Time since it first got no place.
    duration waited{};
    // Time until the answer is of no use.
    duration time_left{};
    // Part of the answer has gone to the caller.
    bool answer_begun = false;
    // Some server of the service is in use.
    bool servers_exist = false;
};

// It asks for a place again after this time.
struct ask_again {
    duration after{};
};

// It is refused now; another try pays after `retry_after`.
struct refuse_now {
    duration retry_after{};
};

using waiting_decision = std::variant<ask_again, refuse_now>;

// Answers bursts in which places or reading are short for a moment: a caller
// that is told to come back loses more than the wait, but one that waits long
// has no time left for another try.
waiting_decision decide_waiting(const waiting_request& request, const no_placement& reason);

}  // namespace verbenahold::serving
