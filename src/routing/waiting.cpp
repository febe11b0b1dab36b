#include "waiting.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// How often a request that waits asks for a place: a fraction of the shortest
// pass in which one can become free.
constexpr duration ask_again_period = std::chrono::milliseconds(20);
// Parts of the latency target that a request may wait, so that another try can
// still come in time. Waiting for other prompts to be read takes from the time
// in which its own prompt has to be read, so it ends sooner.
constexpr double waiting_part = 0.5;
constexpr double waiting_part_for_reading = 0.125;

}  // namespace

waiting_decision decide_waiting(const waiting_request& request, const no_placement& reason) {
    // What has begun is lost unless a server continues it.
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
