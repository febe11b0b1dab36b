#include "wait_policy.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Interval between two attempts to place a waiting request: a fraction of the
// shortest iteration, at whose end a batch slot can become free.
constexpr duration placement_retry_period = std::chrono::milliseconds(20);
// Fractions of the latency target that a request may wait, so that a retry by the
// caller can still meet the target. The fraction is smaller when the request
// waits for the prefill of other prompts, since its own prefill has to follow.
constexpr double max_wait_fraction = 0.5;
constexpr double max_wait_fraction_for_prefill = 0.125;

}  // namespace

wait_decision decide_wait(const unplaced_request& request, const no_placement& reason) {
    const retry_placement again{std::max(placement_retry_period, reason.min_retry_delay)};
    // An answer that has begun is lost unless a server continues it.
    if (request.answer_begun) {
        return again;
    }
    const double part = reason.caused_by_prefill_backlog ? max_wait_fraction_for_prefill : max_wait_fraction;
    const auto max_wait = std::min(scaled(request.matched->latency_target, part), request.time_left);
    if (!request.servers_exist || request.waited >= max_wait) {
        return refuse_request{reason.retry_after};
    }
    return again;
}

}  // namespace verbenahold::serving
