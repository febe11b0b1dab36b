#include "placer.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

namespace {

// Retry-After when no server of the service is known: the list of servers is
// refreshed within a second.
constexpr duration retry_without_servers = std::chrono::milliseconds(700);
// Retry-After when all servers are at the bound of what they may be sent in a
// second.
constexpr duration retry_when_paced = std::chrono::milliseconds(300);
// Weight in milliseconds of a place that is taken and of another zone, when
// servers are otherwise alike.
constexpr double place_weight_ms = 1.5;
constexpr double other_zone_ms = 1;
// Cost in milliseconds of reading beside an interactive stream.
constexpr double beside_short_ms = 12;
// A sequence more than the server has places for waits for another to end.
constexpr double no_place_ms = 500;
// What a short stream gains by joining others instead of an idle server, which
// long prompts need.
constexpr double packing_gain_ms = 4;

duration from_ms(double milliseconds) {
    return std::chrono::microseconds(std::llround(milliseconds * 1'000));
}

std::size_t draw(std::mt19937_64& random, std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

// The entries sorted by cost, equal ones in random order.
template <class Cost>
std::vector<const server_entry*> cheapest_first(const placement_field& field, Cost cost) {
    std::vector<std::pair<double, const server_entry*>> ranked;
    std::uniform_real_distribution<double> tie(0, 0.5);
    for (const server_entry* server : field.servers) {
        ranked.emplace_back(cost(*server) + tie(field.random), server);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const server_entry*> sorted;
    for (const auto& [unused, server] : ranked) {
        sorted.push_back(server);
    }
    return sorted;
}

placement place_plain(const placement_field& field) {
    const auto ranked = cheapest_first(field, [&](const server_entry& server) {
        const auto load = field.load.load_of(server.id, field.now);
        return load.places * 10 + (server.zone == field.request.own_zone ? 0 : other_zone_ms);
    });
    return {.first = ranked.front(), .helpers = {}, .part_ms = 0, .predicted = {}};
}

placement place_short(const placement_field& field, const engine_figures& engine, double alone_ms) {
    const int packed_places = std::max(1, engine.batch_slots - places_left_by_packing);
    double best_wait = 0;
    const auto ranked = cheapest_first(field, [&](const server_entry& server) {
        const auto load = field.load.load_of(server.id, field.now);
        double cost = load.backlog_ms + pass_ms(engine, load) * 0.2;
        if (load.places >= engine.batch_slots) {
            cost += no_place_ms;
        } else if (load.places >= packed_places) {
            cost += place_weight_ms * load.places;
        } else {
            cost -= packing_gain_ms * load.short_sequences;
        }
        return cost;
    });
    const auto load = field.load.load_of(ranked.front()->id, field.now);
    best_wait = load.backlog_ms + pass_ms(engine, load) * 1.5 + alone_ms;
    return {.first = ranked.front(), .helpers = {}, .part_ms = alone_ms, .predicted = from_ms(best_wait)};
}

placement place_spread(const placement_field& field, const engine_figures& engine, double alone_ms) {
    const auto parts_wanted = static_cast<std::size_t>(std::ceil(alone_ms / longest_part_ms));
    const auto parts = std::clamp<std::size_t>(parts_wanted, 1, std::min(most_helpers + 1, field.servers.size()));
    const auto ranked = cheapest_first(field, [&](const server_entry& server) {
        const auto load = field.load.load_of(server.id, field.now);
        double cost = load.backlog_ms + beside_short_ms * load.short_sequences + place_weight_ms * load.places;
        if (load.places >= engine.batch_slots) {
            cost += no_place_ms;
        }
        return cost;
    });
    // The first server holds the prompt's memory, so it is the one with the
    // least context among the chosen.
    std::vector<const server_entry*> chosen(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(parts));
    const auto first = std::min_element(chosen.begin(), chosen.end(), [&](const auto* left, const auto* right) {
        return field.load.load_of(left->id, field.now).context_tokens <
               field.load.load_of(right->id, field.now).context_tokens;
    });
    std::iter_swap(chosen.begin(), first);
    placement result{.first = chosen.front(), .helpers = {chosen.begin() + 1, chosen.end()}, .part_ms = 0, .predicted = {}};
    result.part_ms = alone_ms / static_cast<double>(parts);
    double slowest = 0;
    for (const server_entry* server : chosen) {
        const auto load = field.load.load_of(server->id, field.now);
        slowest = std::max(slowest, load.backlog_ms + pass_ms(engine, load) * 1.5);
    }
    result.predicted = from_ms(slowest + result.part_ms);
    return result;
}

}  // namespace

placement random_policy::choose(const placement_field& field) const {
    return {.first = field.servers[draw(field.random, field.servers.size())], .helpers = {}, .part_ms = 0, .predicted = {}};
}

placement least_outstanding_policy::choose(const placement_field& field) const {
    return place_plain(field);
}

placement separating_policy::choose(const placement_field& field) const {
    if (!field.request.wanted->engine) {
        return place_plain(field);
    }
    const auto& engine = *field.request.wanted->engine;
    const double alone_ms = reading_ms(engine, field.request.prompt_tokens);
    const bool interactive = field.request.matched->pause_target <= short_pause;
    if (interactive && alone_ms <= longest_part_ms) {
        return place_short(field, engine, alone_ms);
    }
    return place_spread(field, engine, alone_ms);
}

placement_result placer::place(const placement_request& request, const server_registry& servers,
                               const engine_load& load, const std::function<bool(const server_entry&)>& may_send,
                               time_point now) {
    const auto usable = servers.usable(request.wanted->name, now);
    if (usable.empty()) {
        return no_placement{"no server of the service is in use", retry_without_servers};
    }
    std::vector<const server_entry*> candidates;
    for (const server_entry* server : usable) {
        const bool excluded =
            std::find(request.excluded.begin(), request.excluded.end(), server->id) != request.excluded.end();
        if (!excluded && may_send(*server)) {
            candidates.push_back(server);
        }
    }
    if (candidates.empty()) {
        return no_placement{"every server is excluded or at its bound of requests a second", retry_when_paced};
    }
    const placement_field field{request, candidates, load, m_random, now};
    return std::visit([&](const auto& policy) { return policy.choose(field); }, m_policy);
}

}  // namespace verbenahold::serving
