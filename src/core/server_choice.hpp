// Policies by which an owner chooses the server that runs a request. They are
// alternatives of a std::variant: headroom (the default) and simple baselines
// for comparison.
#pragma once

#include "server_state.hpp"

#include "verbenahold/records.hpp"

#include <random>
#include <span>
#include <variant>

namespace verbenahold {

struct server_query {
    const submit& request;
    // Short requests of the service are queued, running or arrived recently.
    bool short_work_present = false;
    // The request has waited so long that it is dispatched before younger ones.
    bool aged = false;
    double long_share = 0.5;
    time_point now{};
    // Server that only short prompts and aged long prompts may use, if any.
    const server_state* held_for_long = nullptr;
};

// True when the server has a free slot and enough KV memory for the request.
// All policies require this.
bool has_capacity(const server_state& server, const server_query& query);
// True when the request also stays within the server's prefill budget and the
// long prompts' share. Used by the headroom policy.
bool is_eligible(const server_state& server, const server_query& query);

// Chooses the server with the least prefill work ahead of and for the request,
// taking cached prefixes into account.
class headroom_choice {
public:
    server_state* operator()(std::span<server_state* const> servers, const server_query& query) const;
};

class least_outstanding_choice {
public:
    server_state* operator()(std::span<server_state* const> servers, const server_query& query) const;
};

class round_robin_choice {
public:
    server_state* operator()(std::span<server_state* const> servers, const server_query& query);

private:
    std::size_t m_next = 0;
};

class random_choice {
public:
    explicit random_choice(std::uint64_t seed) : m_random(seed) {}
    server_state* operator()(std::span<server_state* const> servers, const server_query& query);

private:
    std::mt19937_64 m_random;
};

using server_choice = std::variant<headroom_choice, least_outstanding_choice, round_robin_choice, random_choice>;

server_choice make_server_choice(placement_policy policy, std::uint64_t seed);

}  // namespace verbenahold
