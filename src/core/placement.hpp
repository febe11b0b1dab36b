// Chooses the owner that a request is sent to. The policies are alternatives
// of a std::variant, so that plain baselines run beside the default.
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

// Round trip between two zones of a region with 1.5 ms one-way latency: what
// the first token loses when the owner is in another zone.
inline constexpr duration other_zone_cost = std::chrono::milliseconds(3);
// Prefill time assumed without a cost model: 10,000 tokens a second.
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
    // Zones that take no new work.
    const config_snapshot* config = nullptr;
    // Prefill time of prefix_block_tokens uncached tokens, from the cost model.
    duration prefill_per_block = default_prefill_per_block;
};

struct placement_choice {
    daemon_id owner;
    zone_name zone;
    // Set when the prefix index knows a server with a long enough prefix.
    std::optional<server_name> preferred_server;
    std::int64_t cached_tokens = 0;
};

// Owners that may be chosen, and what the policies need to weigh them. Valid
// during one decision.
struct placement_field {
    const placement_query& query;
    // Rows with servers in usable zones, without excluded owners; not empty.
    std::span<const summary_table::row* const> rows;
    const prefix_index& prefixes;
    std::mt19937_64& random;
};

// Each server has the same chance.
struct random_policy {
    [[nodiscard]] const summary_table::row* choose(const placement_field& field) const;
};

// Each server in turn.
struct round_robin_policy {
    std::uint64_t position = 0;
    const summary_table::row* choose(const placement_field& field);
};

// Fewest requests in flight for each server.
struct least_outstanding_policy {
    [[nodiscard]] const summary_table::row* choose(const placement_field& field) const;
};

// The better of two random owners with headroom for the length class, by
// predicted wait less what a cached prefix saves. Owners of the own zone come
// first unless another zone is better by more than other_zone_cost. Without
// headroom anywhere, the owner with the shortest predicted wait.
struct headroom_policy {
    // Owners with headroom and their cumulated weights; kept to save
    // allocations.
    struct weighted_rows {
        std::vector<const summary_table::row*> rows;
        std::vector<std::uint64_t> cumulated;
    };
    weighted_rows near;
    weighted_rows far;
    const summary_table::row* choose(const placement_field& field);
};

class placement {
public:
    explicit placement(std::uint64_t seed);

    // Nothing when no owner has a server of the service in a usable zone. An
    // owner that will probably miss the deadline is still chosen when it is the
    // best: predictions lag, and the owner decides exactly.
    std::optional<placement_choice> choose(placement_policy policy, const placement_query& query,
                                           const summary_table& summaries, const prefix_index& prefixes);

private:
    using policy_state = std::variant<headroom_policy, least_outstanding_policy, round_robin_policy, random_policy>;

    policy_state& state_for(const service_name& service, placement_policy policy);
    void collect_usable(const placement_query& query, const summary_table& summaries);

    std::mt19937_64 m_random;
    std::unordered_map<service_name, policy_state> m_states;
    std::vector<const summary_table::row*> m_usable;
    // By zone index of the summary table.
    std::vector<char> m_zone_usable;
};

}  // namespace verbenahold
