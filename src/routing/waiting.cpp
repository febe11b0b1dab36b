#include "waiting.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Interval between two attempts to place a waiting request: a fraction of the
// shortest iteration, at whose end a batch slot can become free.
constexpr duration ask_again_period = std::chrono::milliseconds(20);
// Fractions of the latency target that a request may wait, so that a retry by the
// caller can still meet the target. The fraction is smaller when the request
// waits for the prefill of other prompts, since its own prefill has to follow.
constexpr double waiting_part = 0.5;
constexpr double waiting_part_for_reading = 0.125;

}  // namespace

waiting_decision decide_waiting(const waiting_request& request, const no_placement& reason) {
    // An answer that has begun is lost unless a server continues it.
    if (request.answer_begun) {
        return ask_again{ask_again_period};
    }
    const double part = reason.reading_backlog ? waiting_part_for_reading : waiting_part;
    const auto longest = std::min(scaled(request.matched->latency_target, part), request.time_left);
    if (!request.servers_exist || request.waited >= longest) {
        return refuse_now{reason.retry_after};
    }
    return ask_again{ask_again_period};
}

}  // namespace verbenahold::serving
