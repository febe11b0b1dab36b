// Prefix cache of a simulated engine: bounded memory, least recently used
// blocks are evicted first, and its events come late and can have gaps.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "verbenahold/types.hpp"

namespace verbenahold::standins {

// XXH64 of the prompt up to each multiple of 1,024 tokens of 4 bytes.
std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt);

struct cache_change {
    std::uint64_t number = 0;
    std::uint64_t prefix_hash = 0;
    bool stored = true;
    time_point visible_from{};
};

class prefix_cache {
public:
    prefix_cache(std::int64_t capacity_tokens, duration event_lag);

    // Tokens of the longest cached prefix; marks it as used.
    std::int64_t find(const std::vector<std::uint64_t>& hashes);
    void store(const std::vector<std::uint64_t>& hashes, time_point now);
    // Drops everything without events, as a restart does.
    void clear();
    // Share of the events that never become visible, from 0 to 1.
    void set_drop_share(double share) { m_drop_share = share; }
    // Events after number `after` that are visible now.
    [[nodiscard]] std::vector<cache_change> changes(std::uint64_t after, time_point now) const;

private:
    void touch(std::uint64_t hash, time_point now);
    void add_change(std::uint64_t hash, bool stored, time_point now);

    std::size_t m_capacity_blocks;
    duration m_event_lag;
    // Most recently used first.
    std::list<std::uint64_t> m_recently_used;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<cache_change> m_changes;
    std::uint64_t m_last_change = 0;
    double m_drop_share = 0;
    std::mt19937_64 m_random{1};
};

}  // namespace verbenahold::standins
