#include "prefix_cache.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <memory>

namespace verbenahold::standins {

namespace {

constexpr std::int64_t block_tokens = 1024;
constexpr std::size_t block_bytes = 4096;
// Events that are kept; a reader that is further behind sees a gap.
constexpr std::size_t max_changes = 4096;

}  // namespace

std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt) {
    const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(), &XXH64_freeState);
    XXH64_reset(state.get(), 0);
    std::vector<std::uint64_t> hashes;
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
        XXH64_update(state.get(), prompt.data() + end - block_bytes, block_bytes);
        hashes.push_back(XXH64_digest(state.get()));
    }
    return hashes;
}

prefix_cache::prefix_cache(std::int64_t capacity_tokens, duration event_lag)
    : m_capacity_blocks(static_cast<std::size_t>(capacity_tokens / block_tokens)), m_event_lag(event_lag) {}

std::int64_t prefix_cache::find(const std::vector<std::uint64_t>& hashes) {
    std::int64_t tokens = 0;
    for (const std::uint64_t hash : hashes) {
        const auto found = m_blocks.find(hash);
        if (found == m_blocks.end()) {
            break;
        }
        m_recently_used.splice(m_recently_used.begin(), m_recently_used, found->second);
        tokens += block_tokens;
    }
    return tokens;
}

void prefix_cache::store(const std::vector<std::uint64_t>& hashes, time_point now) {
    // Touches the last block first: a block is usable only together with all
    // blocks before it, so the first blocks have to be evicted last.
    const std::size_t count = std::min(hashes.size(), m_capacity_blocks);
    for (std::size_t i = count; i > 0; --i) {
        touch(hashes[i - 1], now);
    }
}

void prefix_cache::touch(std::uint64_t hash, time_point now) {
    if (const auto found = m_blocks.find(hash); found != m_blocks.end()) {
        m_recently_used.splice(m_recently_used.begin(), m_recently_used, found->second);
        return;
    }
    if (m_blocks.size() >= m_capacity_blocks) {
        const std::uint64_t oldest = m_recently_used.back();
        m_recently_used.pop_back();
        m_blocks.erase(oldest);
        add_change(oldest, false, now);
    }
    m_recently_used.push_front(hash);
    m_blocks[hash] = m_recently_used.begin();
    add_change(hash, true, now);
}

void prefix_cache::add_change(std::uint64_t hash, bool stored, time_point now) {
    ++m_last_change;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_drop_share) {
        return;
    }
    m_changes.push_back({m_last_change, hash, stored, now + m_event_lag});
    if (m_changes.size() > max_changes) {
        m_changes.pop_front();
    }
}

void prefix_cache::clear() {
    m_recently_used.clear();
    m_blocks.clear();
}

std::vector<cache_change> prefix_cache::changes(std::uint64_t after, time_point now) const {
    std::vector<cache_change> visible;
    for (const cache_change& change : m_changes) {
        if (change.number > after && change.visible_from <= now) {
            visible.push_back(change);
        }
    }
    return visible;
}

}  // namespace verbenahold::standins
