#include "placement.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace verbenahold {

namespace {

using row = summary_table::row;

bool is_long(length_class length) {
    return length == length_class::long_prompt || length == length_class::very_long_prompt;
}

std::uint64_t draw_below(std::uint64_t limit, std::mt19937_64& random) {
    return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(random);
}

// Row of the server with this number, when servers are numbered across all rows.
const row* row_of_server(std::span<const row* const> rows, std::uint64_t number) {
    for (const row* candidate : rows) {
        if (number < candidate->room.servers) {
            return candidate;
        }
        number -= candidate->room.servers;
    }
    return rows.back();
}

std::uint64_t count_servers(std::span<const row* const> rows) {
    std::uint64_t servers = 0;
    for (const row* candidate : rows) {
        servers += candidate->room.servers;
    }
    return servers;
}

// Tokens sent since the owner's last summary, spread over its servers.
std::int64_t tokens_sent_per_server(const row& candidate, std::int64_t tokens) {
    return tokens / candidate.room.servers;
}

// Medium prompts use the same budget as short ones; only long prompts are
// limited to their share.
bool has_headroom(const row& candidate, const placement_query& query) {
    const headroom& room = candidate.room;
    if (candidate.requests_sent_since >= room.free_slots) {
        return false;
    }
    const bool long_prompt = is_long(query.length);
    const std::int64_t free_tokens = long_prompt ? room.free_long_tokens - candidate.long_tokens_sent_since
                                                 : room.free_short_tokens - candidate.tokens_sent_since;
    if (free_tokens < query.uncached_tokens) {
        return false;
    }
    // A very long prompt may use the memory of several servers.
    const std::int64_t free_memory =
        room.largest_free_kv_tokens - tokens_sent_per_server(candidate, candidate.tokens_sent_since);
    return query.length == length_class::very_long_prompt || free_memory >= query.total_tokens;
}

duration prefill_time(const placement_query& query, std::int64_t tokens) {
    return query.prefill_per_block * tokens / prefix_block_tokens;
}

// Wait in the owner's last summary plus the prefill time of the work sent
// since. Long prompts wait for all of that work, others not for long prompts.
duration predict_wait(const row& candidate, const placement_query& query) {
    const duration summarized_wait = is_long(query.length) ? candidate.room.long_wait : candidate.room.short_wait;
    const std::int64_t ahead = is_long(query.length) ? candidate.tokens_sent_since
                                                     : candidate.tokens_sent_since - candidate.long_tokens_sent_since;
    return summarized_wait + prefill_time(query, tokens_sent_per_server(candidate, ahead));
}

struct scored_row {
    const row* candidate = nullptr;
    duration cost = duration::max();
};

// Computes the cost of a row: its predicted wait less the prefill time saved by
// a prefix that its owner has cached.
class row_scorer {
public:
    row_scorer(const placement_query& query, std::optional<prefix_index::hit> hit)
        : m_query(query), m_hit(std::move(hit)) {}

    [[nodiscard]] bool holds_prefix(const row& candidate) const { return m_hit && candidate.owner == m_hit->owner; }

    [[nodiscard]] scored_row score(const row* candidate) const {
        duration cost = predict_wait(*candidate, m_query);
        if (holds_prefix(*candidate)) {
            cost -= prefill_time(m_query, m_hit->cached_tokens);
        }
        return {candidate, cost};
    }

private:
    const placement_query& m_query;
    std::optional<prefix_index::hit> m_hit;
};

bool is_better(const scored_row& left, const scored_row& right) {
    return left.cost < right.cost;
}

void clear(headroom_policy::weighted_rows& list) {
    list.rows.clear();
    list.cumulative_weights.clear();
}

// Weighs an owner by its free slots.
void add(headroom_policy::weighted_rows& list, const row* candidate) {
    const std::uint64_t before = list.cumulative_weights.empty() ? 0 : list.cumulative_weights.back();
    list.rows.push_back(candidate);
    list.cumulative_weights.push_back(
        before + static_cast<std::uint64_t>(candidate->room.free_slots - candidate->requests_sent_since));
}

std::size_t draw_index(const headroom_policy::weighted_rows& list, std::mt19937_64& random) {
    const std::uint64_t target = draw_below(list.cumulative_weights.back(), random);
    const auto found = std::upper_bound(list.cumulative_weights.begin(), list.cumulative_weights.end(), target);
    return static_cast<std::size_t>(found - list.cumulative_weights.begin());
}

// Draws an index other than `first`, by weight.
std::size_t draw_other_index(const headroom_policy::weighted_rows& list, std::size_t first, std::mt19937_64& random) {
    const std::uint64_t before = first == 0 ? 0 : list.cumulative_weights[first - 1];
    const std::uint64_t weight = list.cumulative_weights[first] - before;
    const std::uint64_t rest = list.cumulative_weights.back() - weight;
    std::uint64_t target = draw_below(rest, random);
    if (target >= before) {
        target += weight;
    }
    const auto found = std::upper_bound(list.cumulative_weights.begin(), list.cumulative_weights.end(), target);
    return static_cast<std::size_t>(found - list.cumulative_weights.begin());
}

// The better of two rows drawn by weight; an empty result for an empty list.
scored_row better_of_two(const headroom_policy::weighted_rows& list, const row_scorer& scorer,
                         std::mt19937_64& random) {
    if (list.rows.empty()) {
        return {};
    }
    const std::size_t first = draw_index(list, random);
    const scored_row first_scored = scorer.score(list.rows[first]);
    if (list.rows.size() == 1) {
        return first_scored;
    }
    const scored_row second_scored = scorer.score(list.rows[draw_other_index(list, first, random)]);
    return is_better(second_scored, first_scored) ? second_scored : first_scored;
}

const row* shortest_wait(const policy_input& input, const row_scorer& scorer) {
    scored_row best;
    for (const row* candidate : input.rows) {
        scored_row scored = scorer.score(candidate);
        if (input.query.prefer_same_zone && candidate->room.zone != input.query.own_zone) {
            scored.cost += cross_zone_round_trip;
        }
        if (is_better(scored, best)) {
            best = scored;
        }
    }
    return best.candidate;
}

}  // namespace

const row* random_policy::choose(const policy_input& input) const {
    return row_of_server(input.rows, draw_below(count_servers(input.rows), input.random));
}

const row* round_robin_policy::choose(const policy_input& input) {
    return row_of_server(input.rows, position++ % count_servers(input.rows));
}

const row* least_outstanding_policy::choose(const policy_input& input) const {
    const row* best = nullptr;
    double fewest = std::numeric_limits<double>::max();
    // Start at a random row, so that ties do not favour the first rows.
    const std::size_t start = draw_below(input.rows.size(), input.random);
    for (std::size_t offset = 0; offset < input.rows.size(); ++offset) {
        const row* candidate = input.rows[(start + offset) % input.rows.size()];
        const double outstanding = candidate->room.in_flight + candidate->requests_sent_since;
        const double per_server = outstanding / candidate->room.servers;
        if (per_server < fewest) {
            best = candidate;
            fewest = per_server;
        }
    }
    return best;
}

const row* headroom_policy::choose(const policy_input& input) {
    const placement_query& query = input.query;
    const row_scorer scorer(query, input.prefixes.find(query.prefix_hashes));
    clear(same_zone);
    clear(other_zone);
    const row* prefix_holder = nullptr;
    for (const row* candidate : input.rows) {
        if (!has_headroom(*candidate, query)) {
            continue;
        }
        const bool in_preferred_zone = !query.prefer_same_zone || candidate->room.zone == query.own_zone;
        add(in_preferred_zone ? same_zone : other_zone, candidate);
        if (scorer.holds_prefix(*candidate)) {
            prefix_holder = candidate;
        }
    }
    if (same_zone.rows.empty() && other_zone.rows.empty()) {
        return shortest_wait(input, scorer);
    }
    scored_row best = better_of_two(same_zone, scorer, input.random);
    scored_row other = better_of_two(other_zone, scorer, input.random);
    // The owner with the longest cached prefix is considered even if not drawn.
    if (prefix_holder != nullptr) {
        const bool in_preferred_zone = !query.prefer_same_zone || prefix_holder->room.zone == query.own_zone;
        scored_row& zone_best = in_preferred_zone ? best : other;
        zone_best = std::min(zone_best, scorer.score(prefix_holder), is_better);
    }
    if (other.candidate != nullptr) {
        other.cost += cross_zone_round_trip;
    }
    return is_better(other, best) ? other.candidate : best.candidate;
}

placement::placement(std::uint64_t seed) : m_random(seed) {}

placement::policy_state& placement::state_for(const service_name& service, placement_policy policy) {
    policy_state& state = m_states[service];
    switch (policy) {
        case placement_policy::headroom:
            if (!std::holds_alternative<headroom_policy>(state)) {
                state = headroom_policy{};
            }
            break;
        case placement_policy::least_outstanding:
            if (!std::holds_alternative<least_outstanding_policy>(state)) {
                state = least_outstanding_policy{};
            }
            break;
        case placement_policy::round_robin:
            if (!std::holds_alternative<round_robin_policy>(state)) {
                state = round_robin_policy{};
            }
            break;
        case placement_policy::random:
            if (!std::holds_alternative<random_policy>(state)) {
                state = random_policy{};
            }
            break;
    }
    return state;
}

void placement::collect_usable(const placement_query& query, const summary_table& summaries) {
    m_zone_usable.clear();
    for (const zone_name& zone : summaries.zones()) {
        m_zone_usable.push_back(query.config == nullptr || !query.config->is_zone_out(zone));
    }
    m_usable.clear();
    for (const row& candidate : summaries.rows(query.service)) {
        if (candidate.room.servers == 0 || !m_zone_usable[candidate.zone_index]) {
            continue;
        }
        const auto excluded = std::find(query.excluded.begin(), query.excluded.end(), candidate.owner);
        if (excluded == query.excluded.end()) {
            m_usable.push_back(&candidate);
        }
    }
}

std::optional<placement_choice> placement::choose(placement_policy policy, const placement_query& query,
                                                  const summary_table& summaries, const prefix_index& prefixes) {
    collect_usable(query, summaries);
    if (m_usable.empty()) {
        return std::nullopt;
    }
    const policy_input input{query, m_usable, prefixes, m_random};
    policy_state& state = state_for(query.service, policy);
    const row* chosen = std::visit([&](auto& alternative) { return alternative.choose(input); }, state);
    placement_choice choice;
    choice.owner = chosen->owner;
    choice.zone = chosen->room.zone;
    const std::optional<prefix_index::hit> hit = prefixes.find(query.prefix_hashes);
    if (hit && hit->owner == chosen->owner) {
        choice.preferred_server = hit->server;
        choice.cached_tokens = hit->cached_tokens;
    }
    return choice;
}

}  // namespace verbenahold
