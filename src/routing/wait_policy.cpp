#include "wait_policy.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Interval between two attempts to place a waiting request: a fraction of the
// shortest iteration, at whose end a batch slot can become free.
constexpr duration placement_retry_period = std::chrono::milliseconds(20);
// Longest interval: another server may be listed meanwhile.
constexpr duration max_placement_retry_period = std::chrono::milliseconds(200);
// Fractions of the latency target that a request may wait, so that a retry by the
// caller can still meet the target. The fraction is smaller when the request
// waits for the prefill of other prompts, since its own prefill has to follow.
constexpr double max_wait_fraction = 0.5;
constexpr double max_wait_fraction_for_prefill = 0.125;
// Fraction of its whole time that a request waits for capacity, so that a caller who
// is refused after all has time for a retry.
constexpr double max_capacity_wait_fraction = 0.4;

}  // namespace

duration max_capacity_wait(const route& matched, duration allowed) {
    return std::max(scaled(matched.latency_target, max_wait_fraction), scaled(allowed, max_capacity_wait_fraction));
}

wait_decision decide_wait(const unplaced_request& request, const no_placement& reason) {
    const retry_placement again{std::clamp(reason.min_retry_delay, placement_retry_period, max_placement_retry_period)};
    // An answer that has begun is lost unless a server continues it.
    if (request.answer_begun) {
        return again;
    }
    const double part = reason.caused_by_prefill_backlog ? max_wait_fraction_for_prefill : max_wait_fraction;
    const auto max_wait = reason.waits_for_capacity
                              ? max_capacity_wait(*request.matched, request.waited + request.time_left)
                              : std::min(scaled(request.matched->latency_target, part), request.time_left);
    if (reason.is_hopeless) {
        return refuse_request{reason.retry_after};
    }
    // A retry after the longest wait would be refused too.
    const auto next_try = request.waited + reason.min_retry_delay;
    if (!request.servers_exist || request.waited >= max_wait || next_try > max_wait) {
        return refuse_request{std::max(reason.retry_after, reason.min_retry_delay)};
    }
    return again;
}

}  // namespace verbenahold::serving
