#include "server_choice.hpp"

#include <algorithm>
#include <vector>

namespace verbenahold {

namespace {

// Score added to a full server, in tokens of prefill, and in proportion to one
// that is partly full: each decoding answer slows the engine's other work.
constexpr double full_server_penalty_tokens = 4'096;
// Score added to a server that is prefilling a long prompt: a short prompt
// waits for one prefill chunk of the engine.
constexpr double long_prefill_penalty_tokens = 2'048;

bool fits_long_share(const server_state& server, const server_query& query) {
    if (!query.short_work_present)
        return true;
    if (server.long_prefill() > 0)
        return false;
    const int long_slots = std::max(1, static_cast<int>(query.long_share * server.window()));
    if (server.long_running() >= long_slots)
        return false;
    const double share = query.long_share * static_cast<double>(server.kv_capacity());
    const auto long_kv_tokens = static_cast<double>(server.long_kv() + kv_tokens_needed(query.request));
    // A request larger than the whole share could never run beside short work.
    // Once aged, it may run as the server's only long request.
    return long_kv_tokens <= share || (query.aged && server.long_running() == 0);
}

double wait_score(const server_state& server, const server_query& query) {
    const submit& request = query.request;
    const bool is_long = request.length >= length_class::long_prompt;
    const std::int64_t backlog = server.prefill_backlog() - (is_long ? 0 : server.long_prefill());
    double score = static_cast<double>(backlog + prefill_tokens_needed(request, server.server().name));
    score += full_server_penalty_tokens * server.in_flight() / std::max(1, server.window());
    if (server.long_prefill() > 0)
        score += long_prefill_penalty_tokens;
    // Spread long requests: prefer the server with the least long KV memory.
    if (is_long)
        score += static_cast<double>(server.long_kv());
    return score;
}

}  // namespace

bool has_capacity(const server_state& server, const server_query& query) {
    if (server.free_slots(query.now) <= 0 || server.must_claim_first())
        return false;
    return query.request.kind == call_kind::plain || server.free_kv() >= kv_tokens_needed(query.request);
}

bool is_eligible(const server_state& server, const server_query& query) {
    if (!has_capacity(server, query))
        return false;
    // Parts on other servers were reserved for this lead server only.
    if (!query.request.parts.empty())
        return query.request.preferred_server == server.server().name;
    if (query.request.kind == call_kind::plain)
        return true;
    const bool may_use_held = query.request.length == length_class::short_prompt ||
                              (query.aged && query.request.length == length_class::long_prompt);
    if (query.held_for_long == &server && !may_use_held)
        return false;
    if (query.request.length >= length_class::long_prompt)
        return fits_long_share(server, query);
    // The engine prefills short and medium prompts before long ones, so the
    // backlog of long prompts does not count.
    const std::int64_t backlog = server.prefill_backlog() - server.long_prefill();
    const std::int64_t prefill = prefill_tokens_needed(query.request, server.server().name);
    return backlog == 0 || backlog + prefill <= prefill_budget_tokens;
}

server_state* headroom_choice::operator()(std::span<server_state* const> servers, const server_query& query) const {
    server_state* best = nullptr;
    double best_score = 0;
    for (server_state* server : servers) {
        if (!is_eligible(*server, query))
            continue;
        const double score = wait_score(*server, query);
        if (best == nullptr || score < best_score) {
            best = server;
            best_score = score;
        }
    }
    return best;
}

server_state* least_outstanding_choice::operator()(std::span<server_state* const> servers,
                                                   const server_query& query) const {
    server_state* best = nullptr;
    for (server_state* server : servers)
        if (has_capacity(*server, query) && (best == nullptr || server->in_flight() < best->in_flight()))
            best = server;
    return best;
}

server_state* round_robin_choice::operator()(std::span<server_state* const> servers, const server_query& query) {
    for (std::size_t step = 0; step < servers.size(); ++step) {
        server_state* server = servers[m_next++ % servers.size()];
        if (has_capacity(*server, query))
            return server;
    }
    return nullptr;
}

server_state* random_choice::operator()(std::span<server_state* const> servers, const server_query& query) {
    std::vector<server_state*> able;
    std::ranges::copy_if(servers, std::back_inserter(able),
                         [&query](const server_state* server) { return has_capacity(*server, query); });
    if (able.empty())
        return nullptr;
    return able[std::uniform_int_distribution<std::size_t>(0, able.size() - 1)(m_random)];
}

server_choice make_server_choice(placement_policy policy, std::uint64_t seed) {
    switch (policy) {
        case placement_policy::least_outstanding:
            return least_outstanding_choice{};
        case placement_policy::round_robin:
            return round_robin_choice{};
        case placement_policy::random:
            return random_choice(seed);
        case placement_policy::headroom:
            break;
    }
    return headroom_choice{};
}

}  // namespace verbenahold
