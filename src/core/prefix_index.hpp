// Hints of which server has which prompt prefix in its cache, learned from
// what was sent there and from cache events. A wrong hint costs time only.
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

// Tokens of a prompt, rounded up.
std::int64_t count_prompt_tokens(std::string_view prompt);
// Hash of the prompt at each multiple of prefix_block_tokens.
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);

// Prefixes kept; at about 130 bytes each, 8 MB of the 32 MB that a daemon may
// spend on control.
inline constexpr std::size_t prefix_index_capacity = 65'536;

class prefix_index {
public:
    explicit prefix_index(std::size_t capacity = prefix_index_capacity);

    struct hit {
        server_name server;
        daemon_id owner;
        std::int64_t cached_tokens = 0;
    };

    // The server now holds all prefixes of a prompt, whether it had
    // `cached_tokens` of them before or not.
    void on_completed(const server_name& server, const daemon_id& owner, std::span<const std::uint64_t> prefix_hashes,
                      std::int64_t cached_tokens);
    void on_cache_event(const server_name& server, std::uint64_t prefix_hash, bool stored);
    void forget_server(const server_name& server);
    // The server with the longest known prefix.
    [[nodiscard]] std::optional<hit> find(std::span<const std::uint64_t> prefix_hashes) const;
    // Cached tokens that one server is believed to hold of the prompt.
    [[nodiscard]] std::int64_t cached_on(const server_name& server, std::span<const std::uint64_t> prefix_hashes) const;

private:
    // Servers remembered for one prefix; the latest replaces the oldest.
    static constexpr std::size_t holders_per_prefix = 4;

    // A server's slot; the generation tells a forgotten server's references
    // from those of the slot's next user.
    struct holder {
        std::uint32_t slot = 0;
        std::uint32_t generation = 0;
        bool operator==(const holder&) const = default;
    };
    struct entry {
        std::uint64_t hash = 0;
        std::size_t holder_count = 0;
        // The latest first.
        std::array<holder, holders_per_prefix> holders{};
    };
    struct server_slot {
        server_name name;
        daemon_id owner;
        std::uint32_t generation = 0;
    };
    using entry_list = std::list<entry>;

    holder slot_for(const server_name& server);
    void store(std::uint64_t hash, holder by);
    void drop(std::uint64_t hash, holder by);
    [[nodiscard]] const server_slot* live_slot(holder by) const;
    // Latest holder of the prefix whose owner is known.
    [[nodiscard]] const server_slot* latest_holder(std::uint64_t hash) const;
    [[nodiscard]] bool holds(holder by, std::uint64_t hash) const;

    std::size_t m_capacity;
    // The most recently stored first.
    entry_list m_entries;
    std::unordered_map<std::uint64_t, entry_list::iterator> m_by_hash;
    std::vector<server_slot> m_slots;
    std::vector<std::uint32_t> m_free_slots;
    std::unordered_map<server_name, std::uint32_t> m_slot_by_name;
};

}  // namespace verbenahold
