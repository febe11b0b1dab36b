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

// Row of the server with this number, counting the servers of all rows.
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

// Work sent since the summary is spread over the owner's servers.
std::int64_t tokens_sent_per_server(const row& candidate, std::int64_t tokens) {
    return tokens / candidate.room.servers;
}

// Medium prompts draw on the same budget as short ones; only long prompts are
// limited to a share.
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
    // A very long prompt takes the memory of several servers.
    const std::int64_t free_memory =
        room.largest_free_kv_tokens - tokens_sent_per_server(candidate, candidate.tokens_sent_since);
    return query.length == length_class::very_long_prompt || free_memory >= query.total_tokens;
}

duration prefill_time(const placement_query& query, std::int64_t tokens) {
    return query.prefill_per_block * tokens / prefix_block_tokens;
}

// Waits of long prompts also hold behind short work sent since.
duration predict_wait(const row& candidate, const placement_query& query) {
    const duration shown = is_long(query.length) ? candidate.room.long_wait : candidate.room.short_wait;
    const std::int64_t ahead = is_long(query.length) ? candidate.tokens_sent_since
                                                     : candidate.tokens_sent_since - candidate.long_tokens_sent_since;
    return shown + prefill_time(query, tokens_sent_per_server(candidate, ahead));
}

struct scored_row {
    const row* candidate = nullptr;
    duration cost = duration::max();
};

// Predicted wait of a row, less what the prefix held by its owner saves.
class scoring {
public:
    scoring(const placement_query& query, std::optional<prefix_index::hit> hit)
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
    list.cumulated.clear();
}

// An owner's chance grows with the slots that it has left.
void add(headroom_policy::weighted_rows& list, const row* candidate) {
    const std::uint64_t before = list.cumulated.empty() ? 0 : list.cumulated.back();
    list.rows.push_back(candidate);
    list.cumulated.push_back(before +
                             static_cast<std::uint64_t>(candidate->room.free_slots - candidate->requests_sent_since));
}

std::size_t draw(const headroom_policy::weighted_rows& list, std::mt19937_64& random) {
    const std::uint64_t mark = draw_below(list.cumulated.back(), random);
    const auto found = std::upper_bound(list.cumulated.begin(), list.cumulated.end(), mark);
    return static_cast<std::size_t>(found - list.cumulated.begin());
}

// Index other than `first`, by weight.
std::size_t draw_other(const headroom_policy::weighted_rows& list, std::size_t first, std::mt19937_64& random) {
    const std::uint64_t before = first == 0 ? 0 : list.cumulated[first - 1];
    const std::uint64_t weight = list.cumulated[first] - before;
    const std::uint64_t rest = list.cumulated.back() - weight;
    std::uint64_t mark = draw_below(rest, random);
    if (mark >= before) {
        mark += weight;
    }
    const auto found = std::upper_bound(list.cumulated.begin(), list.cumulated.end(), mark);
    return static_cast<std::size_t>(found - list.cumulated.begin());
}

// Better of two rows drawn by weight; nothing from an empty list.
scored_row better_of_two(const headroom_policy::weighted_rows& list, const scoring& costs, std::mt19937_64& random) {
    if (list.rows.empty()) {
        return {};
    }
    const std::size_t first = draw(list, random);
    const scored_row first_scored = costs.score(list.rows[first]);
    if (list.rows.size() == 1) {
        return first_scored;
    }
    const scored_row second_scored = costs.score(list.rows[draw_other(list, first, random)]);
    return is_better(second_scored, first_scored) ? second_scored : first_scored;
}

const row* shortest_wait(const placement_field& field, const scoring& costs) {
    scored_row best;
    for (const row* candidate : field.rows) {
        scored_row scored = costs.score(candidate);
        if (field.query.prefer_same_zone && candidate->room.zone != field.query.own_zone) {
            scored.cost += other_zone_cost;
        }
        if (is_better(scored, best)) {
            best = scored;
        }
    }
    return best.candidate;
}

}  // namespace

const row* random_policy::choose(const placement_field& field) const {
    return row_of_server(field.rows, draw_below(count_servers(field.rows), field.random));
}

const row* round_robin_policy::choose(const placement_field& field) {
    return row_of_server(field.rows, position++ % count_servers(field.rows));
}

const row* least_outstanding_policy::choose(const placement_field& field) const {
    const row* best = nullptr;
    double fewest = std::numeric_limits<double>::max();
    // A random start breaks ties without favouring the first rows.
    const std::size_t start = draw_below(field.rows.size(), field.random);
    for (std::size_t offset = 0; offset < field.rows.size(); ++offset) {
        const row* candidate = field.rows[(start + offset) % field.rows.size()];
        const double outstanding = candidate->room.in_flight + candidate->requests_sent_since;
        const double per_server = outstanding / candidate->room.servers;
        if (per_server < fewest) {
            best = candidate;
            fewest = per_server;
        }
    }
    return best;
}

const row* headroom_policy::choose(const placement_field& field) {
    const placement_query& query = field.query;
    const scoring costs(query, field.prefixes.find(query.prefix_hashes));
    clear(near);
    clear(far);
    const row* prefix_holder = nullptr;
    for (const row* candidate : field.rows) {
        if (!has_headroom(*candidate, query)) {
            continue;
        }
        const bool is_near = !query.prefer_same_zone || candidate->room.zone == query.own_zone;
        add(is_near ? near : far, candidate);
        if (costs.holds_prefix(*candidate)) {
            prefix_holder = candidate;
        }
    }
    if (near.rows.empty() && far.rows.empty()) {
        return shortest_wait(field, costs);
    }
    scored_row best = better_of_two(near, costs, field.random);
    scored_row other = better_of_two(far, costs, field.random);
    // The holder of the longest prefix competes without being drawn.
    if (prefix_holder != nullptr) {
        const bool is_near = !query.prefer_same_zone || prefix_holder->room.zone == query.own_zone;
        scored_row& group = is_near ? best : other;
        group = std::min(group, costs.score(prefix_holder), is_better);
    }
    if (other.candidate != nullptr) {
        other.cost += other_zone_cost;
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
    const placement_field field{query, m_usable, prefixes, m_random};
    policy_state& state = state_for(query.service, policy);
    const row* chosen = std::visit([&](auto& alternative) { return alternative.choose(field); }, state);
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
