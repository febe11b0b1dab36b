// Chooses the owned server that runs a request. The policies are alternatives
// of a std::variant: headroom, and plain baselines to measure it against.
#pragma once

#include "server_state.hpp"

#include "verbenahold/records.hpp"

#include <random>
#include <span>
#include <variant>

namespace verbenahold {

struct server_query {
    const submit& request;
    // Short work of the service is queued, runs, or came a moment ago.
    bool short_present = false;
    // The work has waited so long that it goes before younger work.
    bool aged = false;
    double long_share = 0.5;
    time_point now{};
    // Server that only short work and aged long work may use.
    const server_state* held = nullptr;
};

// True when the server has a slot and KV memory for the request, whatever the
// policy is.
bool can_carry(const server_state& server, const server_query& query);
// True when the request also keeps to the server's prefill budget and the
// share of long work.
bool can_take(const server_state& server, const server_query& query);

// Least prefill work in front of the request, prefix cache included.
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
