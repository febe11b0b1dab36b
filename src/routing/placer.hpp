// Chooses the servers of one request: the one that answers and, for prompts
// that would hold up others, those that help to read. The policies are
// alternatives of a std::variant, so that plain baselines run on the same load.
#pragma once

#include "engine_load.hpp"
#include "server_registry.hpp"

#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenahold::serving {

// What a placement has to know of a request.
struct placement_request {
    const service* wanted = nullptr;
    const route* matched = nullptr;
    zone_name own_zone;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
    // Time until the answer is of no use.
    duration time_left{};
    // Part of the answer has gone to the caller: it is lost if no server
    // continues it.
    bool answer_begun = false;
    // Servers that already had this request.
    std::span<const server_name> excluded;
};

// A server that was chosen. A copy, since its entry may go while the request
// is under way.
struct chosen_server {
    server_name id;
    std::string address;
};

// A server that reads a part of a prompt for another one.
struct reading_helper {
    chosen_server server;
    // Tokens of the prompt whose memory is to be reserved there; 0 for none.
    std::int64_t reserved_tokens = 0;
};

struct placement {
    chosen_server first;
    std::vector<reading_helper> helpers;
    // Milliseconds that each of them reads.
    double part_ms = 0;
    // Predicted time to the answer or its first event.
    duration predicted{};
};

// The server of a placement that has this id or address; null if none has.
const chosen_server* find_server(const placement& placed, std::string_view id_or_address);

// No server can take the request; another try pays after `retry_after`.
struct no_placement {
    std::string_view reason;
    duration retry_after{};
    // What the servers have to read stands in the way, not their places.
    bool reading_backlog = false;
};

using placement_result = std::variant<placement, no_placement>;

// Servers that may be chosen; may not be empty.
struct placement_field {
    const placement_request& request;
    std::span<const server_entry* const> servers;
    const engine_load& load;
    std::mt19937_64& random;
    time_point now{};
};

// Each server has the same chance.
struct random_policy {
    placement choose(const placement_field& field) const;
};

// The server with the fewest requests of all daemons.
struct least_outstanding_policy {
    placement choose(const placement_field& field) const;
};

// Answers a load in which prompts of 1k to 700k tokens share all servers, with
// bursts of one length after the other: takes the placement that makes the
// fewest callers late, those of this request and those beside it.
struct lateness_policy {
    placement choose(const placement_field& field) const;
};

using placement_policy = std::variant<lateness_policy, least_outstanding_policy, random_policy>;

// Helpers that a server accepts for one prompt.
inline constexpr std::size_t most_helpers = 16;
// Parts of the latency target that bound what all servers have to read, for
// each server, when a prompt is taken: nearly idle servers take any prompt; a
// small prompt is taken up to the full bound and one whose reading would take
// the largest share of all servers only when they are nearly idle.
inline constexpr double idle_part_of_target = 0.01;
inline constexpr double backlog_part_of_target = 1.0;
inline constexpr double largest_share_of_target = 0.15;
// Part of a server's memory that is planned with: it is given out in blocks and
// its use is known late.
inline constexpr double planned_part_of_memory = 0.97;
// Places of a server that packing of short streams leaves free, so that its
// passes stay short and a newcomer doesn't queue.
inline constexpr int places_left_by_packing = 4;

class placer {
public:
    placer(placement_policy policy, std::uint64_t seed) : m_policy(policy), m_random(seed) {}

    placement_result place(const placement_request& request, const server_registry& servers, const engine_load& load,
                           const std::function<bool(const server_entry&)>& may_send, time_point now);

private:
    placement_policy m_policy;
    std::mt19937_64 m_random;
};

}  // namespace verbenahold::serving
