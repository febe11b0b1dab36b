// Chooses the owner that a request is sent to. The policies are alternatives
// of a std::variant, so that plain baselines run beside the default.
#pragma once

#include "prefix_index.hpp"
#include "summary_table.hpp"

#include "verbenahold/records.hpp"

#include <optional>
#include <random>
#include <span>

namespace verbenahold {

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
};

struct placement_choice {
    daemon_id owner;
    zone_name zone;
    // Set when the prefix index knows a server with a long enough prefix.
    std::optional<server_name> preferred_server;
    std::int64_t cached_tokens = 0;
};

class placement {
public:
    explicit placement(std::uint64_t seed);

    // Nothing when no owner has a server of the service in a usable zone.
    std::optional<placement_choice> choose(placement_policy policy, const placement_query& query,
                                           const summary_table& summaries, const prefix_index& prefixes);
};

}  // namespace verbenahold
