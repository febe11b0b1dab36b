#include "placer.hpp"

#include "admission.hpp"
#include "duration_units.hpp"
#include "lateness_cost.hpp"
#include "wait_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbenahold::serving {

namespace {

// Retry-After when the service has no usable server; the list of servers is
// refreshed within a second.
constexpr duration retry_after_no_servers = std::chrono::milliseconds(700);
// Retry-After when all servers are excluded or have reached their rate limit.
constexpr duration retry_after_rate_limit = std::chrono::milliseconds(300);

// Relative cost of an outstanding request and of a server in another zone. Zones
// only decide between servers with equally many outstanding requests.
constexpr double outstanding_request_cost = 10;
constexpr double other_zone_cost = 1;

// Numbers of servers that a prompt may be spread over, including the server that
// answers.
constexpr std::array<std::size_t, 9> spread_counts{1, 2, 3, 4, 6, 8, 11, 14, max_helpers + 1};

std::size_t random_index(std::mt19937_64& random, std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

chosen_server choose(const server_entry& entry) {
    return {entry.id, entry.address, entry.started_at_unix_ms};
}

placement single_server_placement(const server_entry* server) {
    return {.primary = choose(*server), .helpers = {}, .part_ms = 0, .predicted = {}};
}

placement place_least_outstanding(const placement_context& context) {
    std::uniform_real_distribution<double> tie(0, 0.5);
    const server_entry* best = nullptr;
    double lowest_cost = 0;
    for (const server_entry* server : context.servers) {
        const double zone_cost = server->zone == context.request.own_zone ? 0 : other_zone_cost;
        const double cost = context.load.load_of(server->id, context.now).used_slots * outstanding_request_cost +
                            zone_cost + tie(context.random);
        if (best == nullptr || cost < lowest_cost) {
            best = server;
            lowest_cost = cost;
        }
    }
    return single_server_placement(best);
}

// Refuses a prompt that the servers can't prefill soon without making many other
// requests late.
std::optional<no_placement> refuse_for_prefill_backlog(const placement_request& request,
                                                       std::span<const server_entry* const> servers,
                                                       const engine_load& load, time_point now) {
    if (request.answer_begun || !request.wanted->engine || is_interactive(request.matched->event_gap_target)) {
        return std::nullopt;
    }
    double all_ms = 0;
    for (const server_entry* server : servers) {
        all_ms += load.load_of(server->id, now).backlog_ms;
    }
    const double count = static_cast<double>(servers.size());
    const double target_ms = to_ms(request.matched->latency_target);
    const double backlog_ms = all_ms / count;
    const double share_ms = prefill_time_ms(*request.wanted->engine, request.prompt_tokens) / count;
    const double unused_share = std::max(0.0, 1 - share_ms / (max_prefill_share_fraction * target_ms));
    const double limit_ms = std::max(min_backlog_fraction, max_backlog_fraction * unused_share) * target_ms;
    if (backlog_ms <= limit_ms) {
        return std::nullopt;
    }
    return no_placement{"reading the prompt now would make others late", from_ms(backlog_ms - limit_ms), true};
}

// A candidate server with its load and the time of an iteration without prefill.
struct candidate_server {
    const server_entry* server = nullptr;
    server_load load;
    double base_iteration_ms = 0;
    // Prefill time of the whole prompt on this server, without what it has cached.
    double whole_prompt_ms = 0;
    // This daemon may take one of the server's last free batch slots now.
    bool in_turn = true;
};

class spread_search {
public:
    spread_search(const placement_context& context, const engine_cost_model& engine, bool admits_by_capacity)
        : m_admits_by_capacity(admits_by_capacity),
          m_request(context.request),
          m_engine(engine),
          m_now(context.now),
          m_prefill_ms(prefill_time_ms(engine, context.request.prompt_tokens)) {
        std::uniform_real_distribution<double> tie(0, tie_cost);
        for (const server_entry* server : context.servers) {
            const auto load = context.load.load_of(server->id, context.now);
            m_servers.push_back(
                {server, load, decode_iteration_ms(engine, load), m_prefill_ms - saved_prefill_ms(*server)});
            m_servers.back().in_turn = free_slots(m_servers.back()) > contended_slots || in_turn(m_servers.back());
            m_tie_costs.push_back(tie(context.random));
        }
        m_weight = request_weight(engine, context.request.prompt_tokens);
    }

    // The placement with the lowest cost; empty if no servers can hold the prompt now.
    std::optional<placement> best() {
        std::optional<placement> best;
        double lowest_cost = 0;
        for (const auto count : spread_counts) {
            if (count > m_servers.size()) {
                break;
            }
            const auto [candidate, cost] = spread_over(count);
            if (fits(candidate) && (!best || cost < lowest_cost)) {
                best = candidate;
                lowest_cost = cost;
            }
            // Parts would be too short to gain from spreading further.
            if (best && m_prefill_ms / static_cast<double>(count) < min_part_ms) {
                break;
            }
        }
        return best;
    }

    // Time to the first event with all servers that may share a prompt, if they were idle.
    [[nodiscard]] duration shortest() const {
        const auto count = std::min(m_servers.size(), max_helpers + 1);
        return from_ms(m_prefill_ms / static_cast<double>(count) + 1.5 * decode_iteration_ms(m_engine, {}));
    }

private:
    // Upper limit of the random cost that breaks ties between servers.
    static constexpr double tie_cost = 0.01;
    // Shorter parts cost more in iterations than they save in prefill time.
    static constexpr double min_part_ms = 40;
    // Cost of queueing for a batch slot: the wait is longer than predicted if the
    // running requests are long.
    static constexpr double slot_queueing_cost = 0.5;
    // The same where requests wait for a batch slot in their daemon: any server with a
    // free one is better.
    static constexpr double no_slot_cost = 100;
    // The last free batch slots of a server, which several daemons may take at once.
    static constexpr int contended_slots = 2;
    // Time to the next event of a stream that is continued: callers leave two seconds after
    // the last one, and about half of that has passed when a server is given up.
    static constexpr double max_resume_ms = 800;
    // Cost of too little KV memory: the request is rejected or waits for others to
    // end.
    static constexpr double no_memory_cost = 2;
    // Cost of each memory reservation: two calls and their network delay.
    static constexpr double reservation_cost = 0.05;
    // Cost of an answer that would not even begin before the request's deadline.
    static constexpr double out_of_time_cost = 5;
    // Gain of placing an interactive stream beside another one: it keeps other
    // servers free of interactive streams for long prefills.
    static constexpr double packing_gain = 0.03;
    // The same for each stream of a longer prompt beside others like it. Servers without
    // streams can prefill long parts at no cost, so a stream on one of them is in the way of
    // more than itself. The gain grows with the prompt up to this weight; beyond it, a prompt
    // would stall the streams that it joins.
    static constexpr double bulk_packing_gain = 0.3;
    static constexpr double max_bulk_packing_weight = 4;
    // Cost of each server that takes part.
    static constexpr double server_cost = 0.07;

    // Whether the first server could hold what is not reserved at helpers, if nothing
    // else ran there. It rejects the request otherwise.
    [[nodiscard]] bool fits(const placement& candidate) const {
        auto needed = m_request.prompt_tokens + m_request.max_output_tokens;
        for (const auto& helper : candidate.helpers) {
            needed -= helper.reserved_tokens;
        }
        return needed <= m_engine.memory_tokens;
    }

    // Prefill time that the server saves by what it has cached of the prompt.
    [[nodiscard]] double saved_prefill_ms(const server_entry& server) const {
        const auto& kept = m_request.kept;
        const auto found =
            std::lower_bound(kept.begin(), kept.end(), server.id,
                             [](const kept_prefix& left, const server_name& right) { return left.server < right; });
        if (found == kept.end() || found->server != server.id ||
            found->started_at_unix_ms != server.started_at_unix_ms) {
            return 0;
        }
        return prefill_time_ms(m_engine, std::min(found->tokens, m_request.prompt_tokens));
    }

    // Prefill time of one part if `count` servers share the prompt. What a server has
    // cached is used only if it prefills the prompt alone.
    [[nodiscard]] double part_ms_on(const candidate_server& server, std::size_t count) const {
        return count == 1 ? server.whole_prompt_ms : m_prefill_ms / static_cast<double>(count);
    }

    [[nodiscard]] bool interactive() const { return is_interactive(m_request.matched->event_gap_target); }

    [[nodiscard]] int free_slots(const candidate_server& server) const {
        return m_engine.batch_slots - server.load.used_slots;
    }

    // Several daemons see a batch slot become free at the same moment, and would all take it.
    [[nodiscard]] bool in_turn(const candidate_server& server) const {
        return !m_admits_by_capacity || m_request.turns == nullptr ||
               m_request.turns->is_own_turn(m_request.contenders, server.server->id, m_now - server.load.slots_changed);
    }

    [[nodiscard]] bool has_slot(const candidate_server& server) const {
        return free_slots(server) > 0 && server.in_turn;
    }

    // The time within which the first event should arrive. A stream that is continued has
    // been silent already, and its caller leaves soon.
    [[nodiscard]] double target_ms() const {
        const double target = to_ms(m_request.matched->latency_target);
        return m_admits_by_capacity && m_request.answer_begun ? std::min(target, max_resume_ms) : target;
    }

    // Time until the server has finished the prefill of a part that is sent now.
    [[nodiscard]] double part_finish_ms(const candidate_server& server, double part_ms) const {
        const double wait = std::max(server.base_iteration_ms * 0.5, server.load.backlog_ms);
        return wait + server.base_iteration_ms + part_ms * server.load.slowdown;
    }

    // Time until the server has a free batch slot for this request. Assumes that
    // each slot becomes free once in the time of a mean answer.
    [[nodiscard]] double slot_wait_ms(const candidate_server& server) const {
        const int ahead = server.load.used_slots - m_engine.batch_slots + 1;
        if (ahead <= 0) {
            return 0;
        }
        const double iterations = m_engine.mean_answer_tokens / m_engine.steps_per_iteration;
        return ahead * iterations * server.base_iteration_ms / m_engine.batch_slots;
    }

    // Streams of a server beside which packing places another one.
    [[nodiscard]] int packed_beside(int streams) const {
        return std::min(streams, m_engine.batch_slots - slots_left_free_by_packing);
    }

    [[nodiscard]] double primary_cost(const candidate_server& server) const {
        double cost = 0;
        if (!has_slot(server)) {
            cost = m_admits_by_capacity ? no_slot_cost : slot_queueing_cost;
        }
        if (interactive()) {
            cost -= packing_gain * packed_beside(server.load.interactive_sequences);
        }
        // Held context lengthens each iteration for all sequences that decode there.
        return cost + 1e-6 * static_cast<double>(server.load.context_tokens);
    }

    // What the choice of the server that answers costs if `count` servers share the prompt.
    [[nodiscard]] double answering_cost(const candidate_server& server, std::size_t count) const {
        double cost = primary_cost(server) * (count > 1 ? m_weight : 1);
        // Beside interactive streams it would stall those.
        if (m_admits_by_capacity && !interactive() && server.load.interactive_sequences == 0) {
            const int bulk_streams = static_cast<int>(server.load.streams.size());
            cost -= bulk_packing_gain * std::min(m_weight, max_bulk_packing_weight) * packed_beside(bulk_streams);
        }
        return cost;
    }

    std::pair<placement, double> spread_over(std::size_t count) {
        std::vector<std::pair<double, std::size_t>> ranked;
        for (std::size_t index = 0; index < m_servers.size(); ++index) {
            const auto& server = m_servers[index];
            const double part_ms = part_ms_on(server, count);
            const double finish_ms = part_finish_ms(server, part_ms) + (count == 1 ? slot_wait_ms(server) : 0);
            double cost = interference_cost(server, part_ms) + m_tie_costs[index];
            cost += m_weight * lateness_cost(finish_ms, target_ms());
            if (count == 1) {
                cost += answering_cost(server, count);
            }
            ranked.emplace_back(cost, index);
        }
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        ranked.resize(count);
        const auto cheapest = std::min_element(ranked.begin(), ranked.end(), [&](const auto& left, const auto& right) {
            return answering_cost(m_servers[left.second], count) < answering_cost(m_servers[right.second], count);
        });
        std::iter_swap(ranked.begin(), cheapest);
        return evaluate(ranked, part_ms_on(m_servers[ranked.front().second], count));
    }

    std::pair<placement, double> evaluate(const std::vector<std::pair<double, std::size_t>>& ranked, double part_ms) {
        placement chosen = single_server_placement(m_servers[ranked.front().second].server);
        chosen.part_ms = part_ms;
        const double primary_wait_ms = slot_wait_ms(m_servers[ranked.front().second]);
        double slowest_ms = 0;
        double cost = answering_cost(m_servers[ranked.front().second], ranked.size());
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            const auto& server = m_servers[ranked[rank].second];
            slowest_ms = std::max(slowest_ms, part_finish_ms(server, part_ms) + (rank == 0 ? primary_wait_ms : 0));
            const double harm = interference_cost(server, part_ms);
            chosen.harm += harm;
            chosen.queueing = std::max(chosen.queueing, from_ms(server.load.backlog_ms));
            cost += harm + server_cost + m_tie_costs[ranked[rank].second];
            if (rank > 0) {
                chosen.helpers.push_back({choose(*server.server), 0});
            }
        }
        const auto& primary = m_servers[ranked.front().second];
        chosen.free_slots = has_slot(primary) ? free_slots(primary) : 0;
        cost += plan_reservations(ranked, chosen);
        chosen.predicted = from_ms(slowest_ms);
        cost += m_weight * lateness_cost(slowest_ms, target_ms());
        if (m_admits_by_capacity && chosen.predicted >= m_request.time_left) {
            cost += out_of_time_cost * m_weight;
        }
        return {chosen, cost};
    }

    [[nodiscard]] std::int64_t free_memory(const candidate_server& server) const {
        const double planned = plannable_memory_fraction * static_cast<double>(m_engine.memory_tokens);
        return std::max<std::int64_t>(0, static_cast<std::int64_t>(planned) - server.load.context_tokens);
    }

    // Plans reservations at the helpers with the most free memory for the KV memory
    // that the primary can't hold. Returns the cost of the reservations, or the cost
    // of too little memory if the helpers can't hold it either. Without a free batch
    // slot at the primary nothing is reserved, since the memory would be held unused
    // until the request gets one.
    double plan_reservations(const std::vector<std::pair<double, std::size_t>>& ranked, placement& chosen) const {
        const auto needed = m_request.prompt_tokens + m_request.max_output_tokens;
        auto missing = needed - free_memory(m_servers[ranked.front().second]);
        if (missing <= 0) {
            return 0;
        }
        if (m_servers[ranked.front().second].load.used_slots >= m_engine.batch_slots) {
            return no_memory_cost * m_weight;
        }
        std::vector<std::pair<std::int64_t, std::size_t>> holders;
        for (std::size_t rank = 1; rank < ranked.size(); ++rank) {
            holders.emplace_back(free_memory(m_servers[ranked[rank].second]), rank - 1);
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
    [[nodiscard]] double interference_cost(const candidate_server& server, double part_ms) const {
        return prefill_interference_cost(server.load, server.base_iteration_ms, part_ms * server.load.slowdown, m_now);
    }

    bool m_admits_by_capacity;
    const placement_request& m_request;
    const engine_cost_model& m_engine;
    time_point m_now;
    double m_prefill_ms;
    double m_weight = 1;
    std::vector<candidate_server> m_servers;
    std::vector<double> m_tie_costs;
};

}  // namespace

const chosen_server* find_server(const placement& placed, std::string_view id_or_address) {
    const auto is_named = [&](const chosen_server& server) {
        return server.id.value == id_or_address || server.address == id_or_address;
    };
    if (is_named(placed.primary)) {
        return &placed.primary;
    }
    const auto found = std::find_if(placed.helpers.begin(), placed.helpers.end(),
                                    [&](const prefill_helper& helper) { return is_named(helper.server); });
    return found == placed.helpers.end() ? nullptr : &found->server;
}

placement_result random_policy::choose(const placement_context& context) const {
    return single_server_placement(context.servers[random_index(context.random, context.servers.size())]);
}

placement_result least_outstanding_policy::choose(const placement_context& context) const {
    return place_least_outstanding(context);
}

placement_result lateness_policy::choose(const placement_context& context) const {
    if (!context.request.wanted->engine) {
        return place_least_outstanding(context);
    }
    const auto& request = context.request;
    const auto& engine = *request.wanted->engine;
    spread_search search(context, engine, admits_by_capacity);
    if (auto best = search.best()) {
        const auto max_wait = max_capacity_wait(*request.matched, request.waited + request.time_left);
        const admission_request asked{request.waited,   request.matched->latency_target,
                                      max_wait,         request_weight(engine, request.prompt_tokens),
                                      request.yields,   is_interactive(request.matched->event_gap_target),
                                      search.shortest()};
        const placement_offer offer{best->predicted, best->queueing, best->harm, best->free_slots};
        if (admits_by_capacity && !request.answer_begun) {
            if (best->predicted - best->queueing >= request.time_left) {
                return no_placement{
                    "no servers can prefill the prompt before its deadline", {}, false, {}, false, true};
            }
            if (const auto reason = reason_to_wait(asked, offer)) {
                return no_placement{*reason, offer.queueing, false, {}, true};
            }
        }
        return std::move(*best);
    }
    return no_placement{"no servers have memory and a free batch slot for the prompt", retry_after_out_of_memory};
}

placement_result placer::place(const placement_request& request, const server_registry& servers,
                               const engine_load& load, const std::function<bool(const server_entry&)>& may_send,
                               time_point now) {
    const auto usable = servers.usable(request.wanted->name, now);
    if (usable.empty()) {
        return no_placement{"no server of the service is in use", retry_after_no_servers};
    }
    const auto* by_lateness = std::get_if<lateness_policy>(&m_policy);
    if (by_lateness == nullptr || !by_lateness->admits_by_capacity) {
        if (auto refused = refuse_for_prefill_backlog(request, usable, load, now)) {
            return *refused;
        }
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
        return no_placement{"every server is excluded or at its bound of requests a second", retry_after_rate_limit};
    }
    const placement_context context{request, candidates, load, m_random, now};
    return std::visit([&](const auto& policy) { return policy.choose(context); }, m_policy);
}

}  // namespace verbenahold::serving
