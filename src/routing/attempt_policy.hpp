// Decides what happens to a request after a server didn't give a complete
// answer: another server, a failure of our own or the server's failure as it
// is. A request that may run only once is sent again only if it certainly did
// not run.
#pragma once

#include "desired_state.hpp"

#include <string_view>
#include <variant>

namespace verbenahold::serving {

// The request never left: no connection was made.
struct attempt_not_sent {};
// The server states that it did not run the request.
struct attempt_not_executed {};
// The answer is missing, incomplete or not proved; the request may have run.
struct attempt_lost {};
// A whole answer that reports a failure of the server.
struct attempt_failed {};

using attempt_outcome = std::variant<attempt_not_sent, attempt_not_executed, attempt_lost, attempt_failed>;

// What was done for the request so far, the attempt just ended included.
struct attempt_history {
    // Servers that got the request.
    int sent = 0;
    // Servers that may have run it.
    int may_have_run = 0;
    // Connections that failed before anything was sent.
    int not_sent = 0;
    // Part of the answer has gone to the caller.
    bool answer_begun = false;
};

struct send_elsewhere {
    // The new attempt counts as a repeat for the budget.
    bool is_repeat = false;
};
struct deliver_failure {};
struct give_up {
    // The request certainly did not run.
    bool not_run = false;
    std::string_view reason;
};
// The answer that has begun can't be completed.
struct cut_off {};

using attempt_decision = std::variant<send_elsewhere, deliver_failure, give_up, cut_off>;

// Connections that may fail before a request counts as impossible to place.
inline constexpr int most_failed_connections = 3;
// Attempts beyond the route's bound that servers may reject without running:
// the bound counts servers that run a request.
inline constexpr int rejections_beyond_bound = 1;

attempt_decision decide_next(const route& matched, const attempt_history& history, const attempt_outcome& outcome);

}  // namespace verbenahold::serving
