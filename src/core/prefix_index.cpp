#include "prefix_index.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

// Returns how many leading hashes satisfy `known`, by binary search: of the 976
// hashes of a million tokens it checks ten. The search assumes that no hash
// satisfies `known` after one that does not; a gap left by a cache event can hide
// longer prefixes.
template <class Predicate>
std::size_t count_known(std::span<const std::uint64_t> prefix_hashes, Predicate known) {
    const auto end = std::partition_point(prefix_hashes.begin(), prefix_hashes.end(), known);
    return static_cast<std::size_t>(end - prefix_hashes.begin());
}

}  // namespace

std::int64_t count_prompt_tokens(std::string_view prompt) {
    return (static_cast<std::int64_t>(prompt.size()) + bytes_per_token - 1) / bytes_per_token;
}

std::vector<std::uint64_t> hash_prefixes(std::string_view prompt) {
    constexpr std::size_t block_bytes = prefix_block_tokens * bytes_per_token;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(prompt.size() / block_bytes);
    XXH64_state_t state;
    XXH64_reset(&state, 0);
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
        XXH64_update(&state, prompt.data() + (end - block_bytes), block_bytes);
        hashes.push_back(XXH64_digest(&state));
    }
    return hashes;
}

prefix_index::prefix_index(std::size_t capacity) : m_capacity(capacity) {}

prefix_index::server_ref prefix_index::find_or_add_server(const server_name& server) {
    const auto found = m_index_by_name.find(server);
    if (found != m_index_by_name.end()) {
        return {found->second, m_servers[found->second].generation};
    }
    std::uint32_t index = 0;
    if (m_free_indices.empty()) {
        index = static_cast<std::uint32_t>(m_servers.size());
        m_servers.emplace_back();
    } else {
        index = m_free_indices.back();
        m_free_indices.pop_back();
    }
    m_servers[index].name = server;
    m_servers[index].owner = {};
    m_index_by_name.emplace(server, index);
    return {index, m_servers[index].generation};
}

void prefix_index::add_holder(std::uint64_t hash, server_ref ref) {
    const auto found = m_prefix_by_hash.find(hash);
    if (found == m_prefix_by_hash.end()) {
        m_prefixes.push_front({hash, 1, {ref}});
        m_prefix_by_hash.emplace(hash, m_prefixes.begin());
        if (m_prefixes.size() > m_capacity) {
            m_prefix_by_hash.erase(m_prefixes.back().hash);
            m_prefixes.pop_back();
        }
        return;
    }
    prefix_entry& known = *found->second;
    m_prefixes.splice(m_prefixes.begin(), m_prefixes, found->second);
    const auto end = known.holders.begin() + static_cast<std::ptrdiff_t>(known.holder_count);
    auto place = std::find(known.holders.begin(), end, ref);
    if (place == known.holders.end()) {
        --place;
    } else if (place == end) {
        ++known.holder_count;
    }
    *place = ref;
    std::rotate(known.holders.begin(), place, place + 1);
}

void prefix_index::remove_holder(std::uint64_t hash, server_ref ref) {
    const auto found = m_prefix_by_hash.find(hash);
    if (found == m_prefix_by_hash.end()) {
        return;
    }
    prefix_entry& known = *found->second;
    const auto end = known.holders.begin() + static_cast<std::ptrdiff_t>(known.holder_count);
    known.holder_count = static_cast<std::size_t>(std::remove(known.holders.begin(), end, ref) - known.holders.begin());
    if (known.holder_count == 0) {
        m_prefixes.erase(found->second);
        m_prefix_by_hash.erase(found);
    }
}

void prefix_index::on_completed(const server_name& server, const daemon_id& owner,
                                std::span<const std::uint64_t> prefix_hashes, std::int64_t /*cached_tokens*/) {
    const server_ref ref = find_or_add_server(server);
    m_servers[ref.index].owner = owner;
    // Stores the longest prefix first, so that it is evicted first.
    for (auto hash = prefix_hashes.rbegin(); hash != prefix_hashes.rend(); ++hash) {
        add_holder(*hash, ref);
    }
}

void prefix_index::on_cache_event(const server_name& server, std::uint64_t prefix_hash, bool stored) {
    if (stored) {
        add_holder(prefix_hash, find_or_add_server(server));
        return;
    }
    const auto found = m_index_by_name.find(server);
    if (found != m_index_by_name.end()) {
        remove_holder(prefix_hash, {found->second, m_servers[found->second].generation});
    }
}

void prefix_index::forget_server(const server_name& server) {
    const auto found = m_index_by_name.find(server);
    if (found == m_index_by_name.end()) {
        return;
    }
    ++m_servers[found->second].generation;
    m_free_indices.push_back(found->second);
    m_index_by_name.erase(found);
}

const prefix_index::server_entry* prefix_index::find_server(server_ref ref) const {
    const server_entry& server = m_servers[ref.index];
    return server.generation == ref.generation ? &server : nullptr;
}

const prefix_index::server_entry* prefix_index::latest_holder(std::uint64_t hash) const {
    const auto found = m_prefix_by_hash.find(hash);
    if (found == m_prefix_by_hash.end()) {
        return nullptr;
    }
    const prefix_entry& known = *found->second;
    for (std::size_t index = 0; index < known.holder_count; ++index) {
        const server_entry* server = find_server(known.holders.at(index));
        if (server != nullptr && !server->owner.host.empty()) {
            return server;
        }
    }
    return nullptr;
}

bool prefix_index::holds(server_ref ref, std::uint64_t hash) const {
    const auto found = m_prefix_by_hash.find(hash);
    if (found == m_prefix_by_hash.end()) {
        return false;
    }
    const prefix_entry& known = *found->second;
    const auto end = known.holders.begin() + static_cast<std::ptrdiff_t>(known.holder_count);
    return std::find(known.holders.begin(), end, ref) != end;
}

std::optional<prefix_index::hit> prefix_index::find(std::span<const std::uint64_t> prefix_hashes) const {
    const std::size_t count =
        count_known(prefix_hashes, [this](std::uint64_t hash) { return latest_holder(hash) != nullptr; });
    if (count == 0) {
        return std::nullopt;
    }
    const server_entry* server = latest_holder(prefix_hashes[count - 1]);
    return hit{server->name, server->owner, static_cast<std::int64_t>(count) * prefix_block_tokens};
}

std::int64_t prefix_index::cached_tokens_on(const server_name& server,
                                            std::span<const std::uint64_t> prefix_hashes) const {
    const auto found = m_index_by_name.find(server);
    if (found == m_index_by_name.end()) {
        return 0;
    }
    const server_ref ref{found->second, m_servers[found->second].generation};
    const std::size_t count = count_known(prefix_hashes, [&](std::uint64_t hash) { return holds(ref, hash); });
    return static_cast<std::int64_t>(count) * prefix_block_tokens;
}

}  // namespace verbenahold
