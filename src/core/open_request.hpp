// One caller request that has been admitted and not yet answered.
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

// Who waits for the answer: a caller of this daemon, or the key of a keyed
// call that this daemon is the home of.
using reply_target = std::variant<std::uint64_t, std::string>;

enum class request_phase : std::uint8_t {
    // No attempt is out; a placement is tried at `retry_at`.
    placing,
    // Parts of KV memory are being reserved for a very long prompt.
    reserving,
    // Sent to an owner that has not answered yet.
    submitted,
    // Queued or running at the owner.
    accepted,
};

struct open_request {
    request_id id;
    reply_target target;
    // Template of each attempt; its attempt number is the current one.
    submit work;
    request_phase phase = request_phase::placing;
    answer_assembly answer;
    time_point started{};
    time_point deadline{};
    time_point retry_at{};
    std::optional<time_point> first_token_at;
    std::optional<time_point> last_token_at;

    // The current attempt.
    daemon_id owner;
    zone_name zone;
    server_name server;
    time_point attempt_started{};
    time_point last_heard{};
    time_point last_query{};

    // Owners that bounced the request since the last pause.
    std::vector<daemon_id> excluded;
    int placements = 0;
    // When bounces for lack of headroom began.
    std::optional<time_point> bounced_since;
    int lost_attempts = 0;
    // Cleared by a proof that the last attempt did not run.
    bool may_have_run = false;
    double charged_tokens = 0;
    std::string parent_traceparent;
};

}  // namespace verbenahold
