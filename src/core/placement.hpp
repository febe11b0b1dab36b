// Policies by which the caller side chooses the owner that it sends a request
// to. They are alternatives of a std::variant: headroom (the default) and simple
// baselines for comparison.
#pragma once

#include "prefix_index.hpp"
#include "summary_table.hpp"

#include "verbenahold/records.hpp"

#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace verbenahold {

// Time to first token lost when the owner is in another zone: one round trip
// between two zones of a region, at 1.5 ms one-way latency.
inline constexpr duration cross_zone_round_trip = std::chrono::milliseconds(3);
// Prefill time per block assumed without a cost model: 10,000 tokens a second.
inline constexpr duration default_prefill_per_block = std::chrono::milliseconds(100);

struct placement_query {
    service_name service;
    length_class length = length_class::short_prompt;
    std::int64_t uncached_tokens = 0;
    std::int64_t total_tokens = 0;
    std::span<const std::uint64_t> prefix_hashes;
    zone_name own_zone;
    bool prefer_same_zone = true;
    duration time_left{};
    // Owners that already bounced this request.
    std::span<const daemon_id> excluded;
    // Tells which zones are out, meaning that they take no new work.
    const config_snapshot* config = nullptr;
    // Prefill time of prefix_block_tokens uncached tokens, from the cost model.
    duration prefill_per_block = default_prefill_per_block;
};

struct placement_choice {
    daemon_id owner;
    zone_name zone;
    // Set when the prefix index knows a server of the owner that has a
    // sufficiently long prefix cached.
    std::optional<server_name> preferred_server;
    std::int64_t cached_tokens = 0;
};

// Input of a policy: the owners that may be chosen and the data to compare
// them. Valid during one decision.
struct policy_input {
    const placement_query& query;
    // Rows with servers in usable zones, without excluded owners; not empty.
    std::span<const summary_table::row* const> rows;
    const prefix_index& prefixes;
    std::mt19937_64& random;
};

// Chooses every server with the same probability.
struct random_policy {
    [[nodiscard]] const summary_table::row* choose(const policy_input& input) const;
};

// Chooses the servers in turn.
struct round_robin_policy {
    std::uint64_t position = 0;
    const summary_table::row* choose(const policy_input& input);
};

// Chooses the owner with the fewest requests in flight per server.
struct least_outstanding_policy {
    [[nodiscard]] const summary_table::row* choose(const policy_input& input) const;
};

// Power of two choices: draws two owners with headroom for the length class and
// takes the one with the lower cost, which is the predicted wait less the
// prefill time saved by a cached prefix. Owners in the own zone are preferred
// unless another zone is better by more than cross_zone_round_trip. If no owner has
// headroom, takes the one with the lowest cost.
struct headroom_policy {
    // Owners with headroom and their cumulative weights. Members, so that the
    // memory is reused by the next decision.
    struct weighted_rows {
        std::vector<const summary_table::row*> rows;
        std::vector<std::uint64_t> cumulative_weights;
    };
    // Owners in the own zone, or in all zones if the query does not prefer it.
    weighted_rows same_zone;
    weighted_rows other_zone;
    const summary_table::row* choose(const policy_input& input);
};

class placement {
public:
    explicit placement(std::uint64_t seed);

    // Nothing when no owner has a server of the service in a usable zone. The
    // best owner is chosen even if it is predicted to miss the deadline:
    // predictions lag, and the owner itself decides with exact data.
    std::optional<placement_choice> choose(placement_policy policy, const placement_query& query,
                                           const summary_table& summaries, const prefix_index& prefixes);

private:
    using policy_state = std::variant<headroom_policy, least_outstanding_policy, round_robin_policy, random_policy>;

    policy_state& state_for(const service_name& service, placement_policy policy);
    void collect_usable(const placement_query& query, const summary_table& summaries);

    std::mt19937_64 m_random;
    std::unordered_map<service_name, policy_state> m_states;
    std::vector<const summary_table::row*> m_usable;
    // Whether a zone is usable, by zone index of the summary table.
    std::vector<char> m_zone_usable;
};

}  // namespace verbenahold
