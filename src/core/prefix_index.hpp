// Hints of which server has which prompt prefix in its cache, learned from
// what was sent there and from cache events. A wrong hint costs time only.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace verbenahold {

// Prompt tokens between two prefix hashes.
inline constexpr std::int64_t prefix_block_tokens = 1024;
// Bytes of prompt text that count as one token.
inline constexpr std::int64_t bytes_per_token = 4;

// Tokens of a prompt, rounded up.
std::int64_t count_prompt_tokens(std::string_view prompt);
// Hash of the prompt at each multiple of prefix_block_tokens.
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

class prefix_index {
public:
    struct hit {
        server_name server;
        daemon_id owner;
        std::int64_t cached_tokens = 0;
    };

    void on_completed(const server_name& server, const daemon_id& owner, std::span<const std::uint64_t> prefix_hashes,
                      std::int64_t cached_tokens);
    void on_cache_event(const server_name& server, std::uint64_t prefix_hash, bool stored);
    void forget_server(const server_name& server);
    // The server with the longest known prefix.
    [[nodiscard]] std::optional<hit> find(std::span<const std::uint64_t> prefix_hashes) const;
    // Cached tokens that one server is believed to hold of the prompt.
    [[nodiscard]] std::int64_t cached_on(const server_name& server, std::span<const std::uint64_t> prefix_hashes) const;
};

}  // namespace verbenahold
