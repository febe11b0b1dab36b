#include "admission.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Harm to others that a request may do, as a fraction of its own weight. The fraction
// grows as its target comes nearer: until then a better placement may turn up at no
// cost. Late answers are worth about a quarter of those in time.
constexpr double max_harm_fraction = 0.3;
constexpr double max_harm_fraction_when_late = 0.2;
// A request about to be refused may do more, up to this fraction. Much more would stall the
// streams of many short prompts for one long one.
constexpr double max_harm_fraction_at_end = 0.5;
// Harm that is within the error of the predictions.
constexpr double negligible_harm = 0.15;
// A late request joins a server's queue of prefill only if that delays it by less than
// this fraction of its target. Otherwise the requests that are in time would wait behind
// it.
constexpr double max_queueing_fraction_when_late = 0.25;

// The part of its longest wait that the request has waited, 0 to 1.
double wait_used(const admission_request& request) {
    return request.max_wait > duration::zero() ? std::min(1.0, to_ms(request.waited) / to_ms(request.max_wait)) : 0;
}

double allowed_harm(const admission_request& request, duration predicted) {
    if (!is_timely(request, predicted) || request.yields) {
        const double used = wait_used(request);
        const double fraction =
            max_harm_fraction_when_late + (max_harm_fraction_at_end - max_harm_fraction_when_late) * used * used;
        return std::max(negligible_harm, fraction * request.weight);
    }
    const double used = to_ms(request.waited + predicted) / to_ms(request.latency_target);
    return std::max(negligible_harm, max_harm_fraction * used * request.weight);
}

}  // namespace

bool is_timely(const admission_request& request, duration predicted) {
    return request.waited + predicted <= request.latency_target;
}

bool can_become_timely(const admission_request& request) {
    return request.waited + request.shortest <= request.latency_target;
}

std::optional<std::string_view> reason_to_wait(const admission_request& request, const placement_offer& offer) {
    if (request.latency_target <= duration::zero()) {
        return std::nullopt;
    }
    if (offer.free_slots <= 0) {
        return "no batch slot is free";
    }
    const bool timely = is_timely(request, offer.predicted);
    if (((request.interactive && !timely) || request.yields) && offer.free_slots <= slots_reserved_for_timely) {
        return "the free batch slots are kept for requests that can be in time";
    }
    if (!timely && to_ms(offer.queueing) > max_queueing_fraction_when_late * to_ms(request.latency_target)) {
        return "the servers are prefilling prompts that can be in time";
    }
    if (!timely && !request.interactive && can_become_timely(request)) {
        return "servers that prefill the prompt in time may become free";
    }
    if (offer.harm > allowed_harm(request, offer.predicted)) {
        return "prefilling the prompt now would make others late";
    }
    return std::nullopt;
}

}  // namespace verbenahold::serving
