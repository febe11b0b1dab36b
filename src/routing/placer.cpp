#include "placer.hpp"

#include "duration_units.hpp"
#include "lateness.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbenahold::serving {

namespace {

// Retry-After when the service has no usable server; the list of servers is
// refreshed within a second.
constexpr duration retry_without_servers = std::chrono::milliseconds(700);
// Retry-After when all servers are excluded or have reached their rate limit.
constexpr duration retry_when_paced = std::chrono::milliseconds(300);

// Relative cost of an outstanding request and of a server in another zone. Zones
// only decide between servers with equally many outstanding requests.
constexpr double place_cost = 10;
constexpr double other_zone_cost = 1;

// Numbers of servers that a prompt may be spread over, including the server that
// answers.
constexpr std::array<std::size_t, 9> spreads{1, 2, 3, 4, 6, 8, 11, 14, most_helpers + 1};

std::size_t draw(std::mt19937_64& random, std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

placement alone_on(const server_entry* server) {
    return {.first = {server->id, server->address}, .helpers = {}, .part_ms = 0, .predicted = {}};
}

placement place_plain(const placement_field& field) {
    std::uniform_real_distribution<double> tie(0, 0.5);
    const server_entry* best = nullptr;
    double least = 0;
    for (const server_entry* server : field.servers) {
        const double away = server->zone == field.request.own_zone ? 0 : other_zone_cost;
        const double cost = field.load.load_of(server->id, field.now).places * place_cost + away + tie(field.random);
        if (best == nullptr || cost < least) {
            best = server;
            least = cost;
        }
    }
    return alone_on(best);
}

// Refuses a prompt that the servers can't prefill soon without making many other
// requests late.
std::optional<no_placement> refuse_for_reading(const placement_request& request,
                                               std::span<const server_entry* const> servers, const engine_load& load,
                                               time_point now) {
    if (request.answer_begun || !request.wanted->engine || is_interactive(request.matched->pause_target)) {
        return std::nullopt;
    }
    double all_ms = 0;
    for (const server_entry* server : servers) {
        all_ms += load.load_of(server->id, now).backlog_ms;
    }
    const double count = static_cast<double>(servers.size());
    const double target_ms = to_ms(request.matched->latency_target);
    const double backlog_ms = all_ms / count;
    const double share_ms = reading_ms(*request.wanted->engine, request.prompt_tokens) / count;
    const double room = std::max(0.0, 1 - share_ms / (largest_share_of_target * target_ms));
    const double bound_ms = std::max(idle_part_of_target, backlog_part_of_target * room) * target_ms;
    if (backlog_ms <= bound_ms) {
        return std::nullopt;
    }
    return no_placement{"reading the prompt now would make others late", from_ms(backlog_ms - bound_ms), true};
}

// A candidate server with its load and the time of an iteration without prefill.
struct weighed_server {
    const server_entry* server = nullptr;
    server_load load;
    double base_pass_ms = 0;
};

class spread_search {
public:
    spread_search(const placement_field& field, const engine_figures& engine)
        : m_request(field.request),
          m_engine(engine),
          m_now(field.now),
          m_alone_ms(reading_ms(engine, field.request.prompt_tokens)) {
        std::uniform_real_distribution<double> tie(0, tie_cost);
        for (const server_entry* server : field.servers) {
            const auto load = field.load.load_of(server->id, field.now);
            m_servers.push_back({server, load, pass_ms(engine, load)});
            m_ties.push_back(tie(field.random));
        }
        m_weight = request_weight(engine, field.request.prompt_tokens);
    }

    // The placement with the lowest cost.
    placement best() {
        std::optional<placement> best;
        double least = 0;
        for (const auto count : spreads) {
            if (count > m_servers.size()) {
                break;
            }
            const auto [candidate, cost] = spread_over(count);
            if (!best || cost < least) {
                best = candidate;
                least = cost;
            }
            // Parts would be too short to gain from spreading further.
            if (m_alone_ms / static_cast<double>(count) < shortest_part_ms) {
                break;
            }
        }
        return *best;
    }

private:
    // Upper limit of the random cost that breaks ties between servers.
    static constexpr double tie_cost = 0.01;
    // Shorter parts cost more in iterations than they save in prefill time.
    static constexpr double shortest_part_ms = 40;
    // Cost of queueing for a batch slot: the wait is longer than predicted if the
    // running requests are long.
    static constexpr double no_place_cost = 0.5;
    // Cost of too little KV memory: the request is rejected or waits for others to
    // end.
    static constexpr double no_memory_cost = 2;
    // Cost of each memory reservation: two calls and their network delay.
    static constexpr double reservation_cost = 0.05;
    // Gain of placing an interactive stream beside another one: it keeps other
    // servers free of interactive streams for long prefills.
    static constexpr double packing_gain = 0.03;
    // Cost of each server that takes part.
    static constexpr double server_cost = 0.07;

    [[nodiscard]] bool interactive() const { return is_interactive(m_request.matched->pause_target); }

    // Time until the server has finished the prefill of a part that is sent now.
    [[nodiscard]] double part_done_ms(const weighed_server& server, double part_ms) const {
        const double wait = std::max(server.base_pass_ms * 0.5, server.load.backlog_ms);
        return wait + server.base_pass_ms + part_ms * server.load.pace;
    }

    // Time until the server has a free batch slot for this request. Assumes that
    // each slot becomes free once in the time of a mean answer.
    [[nodiscard]] double place_wait_ms(const weighed_server& server) const {
        const int ahead = server.load.places - m_engine.batch_slots + 1;
        if (ahead <= 0) {
            return 0;
        }
        const double passes = m_engine.usual_answer_tokens / m_engine.steps_per_pass;
        return ahead * passes * server.base_pass_ms / m_engine.batch_slots;
    }

    [[nodiscard]] double cost_of_first(const weighed_server& server) const {
        double cost = server.load.places >= m_engine.batch_slots ? no_place_cost : 0;
        if (interactive()) {
            const int joined = std::min(server.load.short_sequences, m_engine.batch_slots - places_left_by_packing);
            cost -= packing_gain * joined;
        }
        // Held context lengthens each iteration for all sequences that decode there.
        return cost + 1e-6 * static_cast<double>(server.load.context_tokens);
    }

    std::pair<placement, double> spread_over(std::size_t count) {
        const double part_ms = m_alone_ms / static_cast<double>(count);
        std::vector<std::pair<double, std::size_t>> ranked;
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            const auto& server = m_servers[index];
            const double done_ms = part_done_ms(server, part_ms) + (count == 1 ? place_wait_ms(server) : 0);
            double cost = harm(server, part_ms) + m_ties[index];
            cost += m_weight * lateness(done_ms, to_ms(m_request.matched->latency_target));
            if (count == 1) {
                cost += cost_of_first(server);
            }
            ranked.emplace_back(cost, index);
        }
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        ranked.resize(count);
        const auto first = std::min_element(ranked.begin(), ranked.end(), [&](const auto& left, const auto& right) {
            return cost_of_first(m_servers[left.second]) < cost_of_first(m_servers[right.second]);
        });
        std::iter_swap(ranked.begin(), first);
        return judge(ranked, part_ms);
    }

    std::pair<placement, double> judge(const std::vector<std::pair<double, std::size_t>>& ranked, double part_ms) {
        placement chosen = alone_on(m_servers[ranked.front().second].server);
        chosen.part_ms = part_ms;
        const double place_wait = place_wait_ms(m_servers[ranked.front().second]);
        double slowest = 0;
        double cost = cost_of_first(m_servers[ranked.front().second]) * (ranked.size() > 1 ? m_weight : 1);
        for (std::size_t place = 0; place < ranked.size(); ++place) {
            const auto& server = m_servers[ranked[place].second];
            slowest = std::max(slowest, part_done_ms(server, part_ms) + (place == 0 ? place_wait : 0));
            cost += harm(server, part_ms) + server_cost + m_ties[ranked[place].second];
            if (place > 0) {
                chosen.helpers.push_back({{server.server->id, server.server->address}, 0});
            }
        }
        cost += plan_memory(ranked, chosen);
        chosen.predicted = from_ms(slowest);
        cost += m_weight * lateness(slowest, to_ms(m_request.matched->latency_target));
        return {chosen, cost};
    }

    [[nodiscard]] std::int64_t free_memory(const weighed_server& server) const {
        const double planned = planned_part_of_memory * static_cast<double>(m_engine.memory_tokens);
        return std::max<std::int64_t>(0, static_cast<std::int64_t>(planned) - server.load.context_tokens);
    }

    // Reserves the KV memory that the first server can't hold at the helpers with
    // the most free memory. Returns the cost of the reservations.
    double plan_memory(const std::vector<std::pair<double, std::size_t>>& ranked, placement& chosen) const {
        const auto needed = m_request.prompt_tokens + m_request.max_output_tokens;
        auto missing = needed - free_memory(m_servers[ranked.front().second]);
        if (missing <= 0) {
            return 0;
        }
        std::vector<std::pair<std::int64_t, std::size_t>> holders;
        for (std::size_t place = 1; place < ranked.size(); ++place) {
            holders.emplace_back(free_memory(m_servers[ranked[place].second]), place - 1);
        }
        std::sort(holders.rbegin(), holders.rend());
        double cost = 0;
        for (const auto& [available, helper] : holders) {
            if (missing <= 0) {
                break;
            }
            chosen.helpers[helper].reserved_tokens = std::min(available, missing);
            missing -= available;
            cost += reservation_cost;
        }
        if (missing <= 0) {
            return cost;
        }
        for (auto& helper : chosen.helpers) {
            helper.reserved_tokens = 0;
        }
        return no_memory_cost * m_weight;
    }

    // Cost for the server's other requests of prefilling a part there.
    [[nodiscard]] double harm(const weighed_server& server, double part_ms) const {
        return harm_of_reading(server.load, server.base_pass_ms, part_ms * server.load.pace, m_now);
    }

    const placement_request& m_request;
    const engine_figures& m_engine;
    time_point m_now;
    double m_alone_ms;
    double m_weight = 1;
    std::vector<weighed_server> m_servers;
    std::vector<double> m_ties;
};

}  // namespace

const chosen_server* find_server(const placement& placed, std::string_view id_or_address) {
    const auto is_named = [&](const chosen_server& server) {
        return server.id.value == id_or_address || server.address == id_or_address;
    };
    if (is_named(placed.first)) {
        return &placed.first;
    }
    const auto found = std::find_if(placed.helpers.begin(), placed.helpers.end(),
                                    [&](const reading_helper& helper) { return is_named(helper.server); });
    return found == placed.helpers.end() ? nullptr : &found->server;
}

placement random_policy::choose(const placement_field& field) const {
    return alone_on(field.servers[draw(field.random, field.servers.size())]);
}

placement least_outstanding_policy::choose(const placement_field& field) const {
    return place_plain(field);
}

placement lateness_policy::choose(const placement_field& field) const {
    if (!field.request.wanted->engine) {
        return place_plain(field);
    }
    return spread_search(field, *field.request.wanted->engine).best();
}

placement_result placer::place(const placement_request& request, const server_registry& servers,
                               const engine_load& load, const std::function<bool(const server_entry&)>& may_send,
                               time_point now) {
    const auto usable = servers.usable(request.wanted->name, now);
    if (usable.empty()) {
        return no_placement{"no server of the service is in use", retry_without_servers};
    }
    if (auto refused = refuse_for_reading(request, usable, load, now)) {
        return *refused;
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
