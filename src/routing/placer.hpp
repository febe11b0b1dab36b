// Chooses the servers of one request: the server that answers it and, for a long
// prompt, helpers that each prefill a part of it. The policies are alternatives of
// a std::variant, so that baseline policies can be compared under the same load.
#pragma once

#include "engine_load.hpp"
#include "kept_prefixes.hpp"
#include "server_registry.hpp"
#include "slot_turns.hpp"

#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace verbenahold::serving {

// Properties of a request that its placement depends on.
struct placement_request {
    const service* wanted = nullptr;
    const route* matched = nullptr;
    zone_name own_zone;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
    // Time until the request's deadline.
    duration time_left{};
    // Time since the request arrived.
    duration waited{};
    // Its client account uses more than its share.
    bool yields = false;
    // The daemons that have requests for the last free batch slots, this one first. Null: no
    // other daemon places requests on the same servers.
    const slot_turns* turns = nullptr;
    std::span<const slot_turns::contender> contenders;
    // Part of the answer was already sent to the caller; it is lost unless a server
    // continues it.
    bool answer_begun = false;
    // Servers that this request was already sent to.
    std::span<const server_name> excluded;
    // Servers that probably cache a part of the prompt, sorted by name.
    std::span<const kept_prefix> kept;
};

// A chosen server. Holds a copy, since the registry's entry may be removed while
// the request is in progress.
struct chosen_server {
    server_name id;
    std::string address;
    std::int64_t started_at_unix_ms = 0;
};

// A server that prefills a part of a prompt for the server that answers.
struct prefill_helper {
    chosen_server server;
    // KV memory to reserve there for the prompt, in tokens; 0 for none.
    std::int64_t reserved_tokens = 0;
};

struct placement {
    // The server that answers.
    chosen_server primary;
    std::vector<prefill_helper> helpers;
    // Prefill time on each of the servers, in milliseconds.
    double part_ms = 0;
    // Predicted time to the answer, or to its first event.
    duration predicted{};
    // What admission weighs, see placement_offer.
    duration queueing{};
    double harm = 0;
    int free_slots = 0;
};

// The server of a placement with this id or address; null if there is none.
const chosen_server* find_server(const placement& placed, std::string_view id_or_address);

// No server can take the request now; a retry may succeed after `retry_after`.
struct no_placement {
    std::string_view reason;
    duration retry_after{};
    // The reason is the prefill backlog of the servers.
    bool caused_by_prefill_backlog = false;
    // Placing the request again sooner costs calls to servers for nothing.
    duration min_retry_delay{};
    // Servers could run the request, but others need their capacity more at the moment.
    bool waits_for_capacity = false;
    // The request can't end before its deadline wherever it is placed.
    bool is_hopeless = false;
};

using placement_result = std::variant<placement, no_placement>;

// Retry-After when the servers' KV memory is full: about the time that the
// answer to a long prompt takes.
inline constexpr duration retry_after_out_of_memory = std::chrono::milliseconds(1'500);

// Input of a policy. `servers` are the candidates; there must be at least one.
struct placement_context {
    const placement_request& request;
    std::span<const server_entry* const> servers;
    const engine_load& load;
    std::mt19937_64& random;
    time_point now{};
};

// Chooses uniformly at random.
struct random_policy {
    placement_result choose(const placement_context& context) const;
};

// Chooses the server with the fewest outstanding requests of all daemons; prefers
// the own zone among equals.
struct least_outstanding_policy {
    placement_result choose(const placement_context& context) const;
};

// Chooses the placement with the lowest predicted cost of lateness, for this
// request and for the other requests on the same servers. Made for a load in which
// prompts of 1k to 700k tokens share all servers and come in bursts of similar
// length. Plain calls go to the server with the fewest outstanding requests.
struct lateness_policy {
    // Requests wait for capacity where taking the best placement would harm others more
    // than it gains, see admission.hpp. Without it, each takes the best placement at once.
    bool admits_by_capacity = true;

    placement_result choose(const placement_context& context) const;
};

using placement_policy = std::variant<lateness_policy, least_outstanding_policy, random_policy>;

// Maximum number of helpers that a server accepts for one prompt.
inline constexpr std::size_t max_helpers = 16;
// A prompt that is not interactive is accepted while the mean prefill backlog of the servers is within a
// limit, given as a fraction of the latency target. The limit falls from
// `max_backlog_fraction` for a very short prompt to `min_backlog_fraction` for a
// prompt whose prefill, divided among all servers, takes
// `max_prefill_share_fraction` or more. Nearly idle servers thus accept any prompt.
inline constexpr double min_backlog_fraction = 0.01;
inline constexpr double max_backlog_fraction = 1.0;
inline constexpr double max_prefill_share_fraction = 0.15;
// Fraction of a server's KV memory that placements may use. The margin covers
// allocation in blocks and the delay until memory use is known.
inline constexpr double plannable_memory_fraction = 0.97;
// Batch slots of a server that packing of interactive streams leaves free, so that
// its iterations stay short and a new request gets a slot at once.
inline constexpr int slots_left_free_by_packing = 4;

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
