// Decides what follows an attempt that ended without a complete answer: another
// attempt at a different server, an error of this daemon, or the server's error
// passed on unchanged. A request with at-most-once semantics is sent again only
// if it certainly did not run.
#pragma once

#include "desired_state.hpp"

#include <string_view>
#include <variant>

namespace verbenahold::serving {

// No connection was made, so the request was never sent.
struct attempt_not_sent {};
// The server reported that it did not run the request.
struct attempt_not_executed {};
// The answer is missing, incomplete or unverified; the request may have run.
struct attempt_outcome_unknown {};
// The server sent a complete answer that reports an error.
struct attempt_failed {};
// The server sent a complete answer whose status tells callers that the request did not
// run, without stating so. It is never passed on.
struct attempt_refusal_unstated {};

using attempt_outcome = std::variant<attempt_not_sent, attempt_not_executed, attempt_outcome_unknown, attempt_failed,
                                     attempt_refusal_unstated>;

// The attempts of one request so far, including the one that has just ended.
struct attempt_history {
    // Servers that the request was sent to.
    int sent = 0;
    // Servers that may have run it.
    int may_have_run = 0;
    // Connections that failed before anything was sent.
    int not_sent = 0;
    // Part of the answer was already sent to the caller.
    bool answer_begun = false;
    // The newest event of the stream bears an id, from which another server can go on.
    bool position_known = true;
};

struct try_another_server {
    // The new attempt is charged to the retry budget.
    bool is_retry = false;
};
// The server's error is passed on to the caller.
struct deliver_failure {};
struct give_up {
    // The request certainly did not run.
    bool not_run = false;
    std::string_view reason;
};
// The answer that has begun can't be completed and is cut off.
struct cut_off {};

using attempt_decision = std::variant<try_another_server, deliver_failure, give_up, cut_off>;

// Failed connections after which the request fails.
inline constexpr int max_failed_connections = 3;
// Attempts beyond the route's maximum that are allowed when servers reject the
// request without running it: the maximum counts servers that run a request.
inline constexpr int extra_attempts_for_rejections = 1;

// An answer that has begun may be continued by another server.
bool may_continue(const route& matched, const attempt_history& history);

attempt_decision decide_next(const route& matched, const attempt_history& history, const attempt_outcome& outcome);

}  // namespace verbenahold::serving
