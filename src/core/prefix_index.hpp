// Records which server probably has which prompt prefix in its KV cache, learned
// from completed requests and cache events. A wrong entry only costs time.
#pragma once

#include "verbenahold/types.hpp"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenahold {

// Prompt tokens between two prefix hashes.
inline constexpr std::int64_t prefix_block_tokens = 1024;
// Bytes of prompt text that count as one token.
inline constexpr std::int64_t bytes_per_token = 4;

// Estimated number of tokens of a prompt, rounded up.
std::int64_t count_prompt_tokens(std::string_view prompt);
// Hashes of the prompt's prefixes whose length is a multiple of
// prefix_block_tokens.
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

// Maximum number of prefixes. At about 130 bytes each they take 8 MB of the 32 MB
// that a daemon may use for control data.
inline constexpr std::size_t prefix_index_capacity = 65'536;

class prefix_index {
public:
    explicit prefix_index(std::size_t capacity = prefix_index_capacity);

    struct hit {
        server_name server;
        daemon_id owner;
        std::int64_t cached_tokens = 0;
    };

    // The server now holds all prefixes of a prompt, however many tokens of it
    // (`cached_tokens`) it had before.
    void on_completed(const server_name& server, const daemon_id& owner, std::span<const std::uint64_t> prefix_hashes,
                      std::int64_t cached_tokens);
    void on_cache_event(const server_name& server, std::uint64_t prefix_hash, bool stored);
    void forget_server(const server_name& server);
    // Finds the server that holds the longest prefix of the prompt.
    [[nodiscard]] std::optional<hit> find(std::span<const std::uint64_t> prefix_hashes) const;
    // Tokens of the prompt that the server probably has in its cache.
    [[nodiscard]] std::int64_t cached_tokens_on(const server_name& server,
                                                std::span<const std::uint64_t> prefix_hashes) const;

private:
    // Servers kept for one prefix; a new one replaces the oldest.
    static constexpr std::size_t max_holders_per_prefix = 4;

    // Refers to an entry of m_servers. The generation invalidates references to a
    // removed server when its entry is reused.
    struct server_ref {
        std::uint32_t index = 0;
        std::uint32_t generation = 0;
        bool operator==(const server_ref&) const = default;
    };
    struct prefix_entry {
        std::uint64_t hash = 0;
        std::size_t holder_count = 0;
        // Latest first.
        std::array<server_ref, max_holders_per_prefix> holders{};
    };
    struct server_entry {
        server_name name;
        daemon_id owner;
        std::uint32_t generation = 0;
    };
    using prefix_list = std::list<prefix_entry>;

    server_ref find_or_add_server(const server_name& server);
    void add_holder(std::uint64_t hash, server_ref ref);
    void remove_holder(std::uint64_t hash, server_ref ref);
    [[nodiscard]] const server_entry* find_server(server_ref ref) const;
    // The latest holder of the prefix whose owner is known, or null.
    [[nodiscard]] const server_entry* latest_holder(std::uint64_t hash) const;
    [[nodiscard]] bool holds(server_ref ref, std::uint64_t hash) const;

    std::size_t m_capacity;
    // Most recently stored first.
    prefix_list m_prefixes;
    std::unordered_map<std::uint64_t, prefix_list::iterator> m_prefix_by_hash;
    std::vector<server_entry> m_servers;
    std::vector<std::uint32_t> m_free_indices;
    std::unordered_map<server_name, std::uint32_t> m_index_by_name;
};

}  // namespace verbenahold
