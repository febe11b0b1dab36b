// A caller's request that has been admitted and not yet answered.
#pragma once

#include "answer_assembly.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// Who gets the answer: the ticket of a caller of this daemon, or the key of a
// keyed call whose home is this daemon.
using reply_target = std::variant<std::uint64_t, std::string>;

enum class request_phase : std::uint8_t {
    // No attempt is at an owner; the next placement is due at `retry_at`.
    placing,
    // Parts of KV memory are being reserved for a very long prompt.
    reserving,
    // The attempt was sent to an owner that has not answered yet.
    submitted,
    // The attempt is queued or running at the owner.
    accepted,
};

struct open_request {
    request_id id;
    reply_target target;
    // The message sent to owners. It is updated for each attempt and holds the
    // current attempt's number.
    submit submission;
    request_phase phase = request_phase::placing;
    answer_assembly answer;
    time_point started{};
    time_point deadline{};
    time_point retry_at{};
    std::optional<time_point> first_token_at;
    std::optional<time_point> last_token_at;

    // State of the current attempt.
    daemon_id owner;
    zone_name zone;
    server_name server;
    time_point attempt_started{};
    time_point last_heard{};
    time_point last_query{};

    // Owners not to be chosen again before the next placement delay: they
    // bounced or failed the request, or were lost with it.
    std::vector<daemon_id> excluded_owners;
    int consecutive_placements = 0;
    // Since when no owner could be found; reset when one accepts the request.
    std::optional<time_point> unplaced_since;
    int lost_attempts = 0;
    // True from the first attempt on that was lost or failed without proof that
    // it did not run. Never reset.
    bool may_have_run = false;
    // Tokens taken from the account's limit at admission.
    double charged_tokens = 0;
    std::string parent_traceparent;
};

}  // namespace verbenahold
