// Records which server probably caches which prompt prefixes, learned from
// prefilled prompts. Made for engines that retain prompts after their requests
// have ended, under sessions whose prompts grow and prefixes that many requests
// share. A wrong entry costs the prefill that it was expected to save.
#pragma once

#include "server_report.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenahold::serving {

// One part of a prompt, as its caller names it. Equal ids stand for equal text.
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

// A prefix of a prompt that ends with one of its parts: the hash of the ordered
// parts up to there, and their tokens.
struct prefix_part {
    std::uint64_t hash = 0;
    std::int64_t tokens = 0;
    bool operator==(const prefix_part&) const = default;
};

// Tokens of a prompt that one run of a server probably has cached.
struct kept_prefix {
    server_name server;
    std::int64_t started_at_unix_ms = 0;
    std::int64_t tokens = 0;
};

// Maximum number of prefixes recorded for one prompt.
inline constexpr std::size_t max_prefixes_per_prompt = 64;
// Maximum number of prefixes recorded for all servers together. At about 215
// bytes each they take 14 MB.
inline constexpr std::size_t max_kept_prefixes = 65'536;
// Prefixes that no request has used for this time are forgotten.
inline constexpr duration max_unused_prefix_time = std::chrono::seconds(60);

// The prefixes of a prompt, shortest first, at most max_prefixes_per_prompt.
// Empty if a part has no tokens.
std::vector<prefix_part> hash_prefix_parts(std::span<const prompt_part> parts);
// At most `count` of the prefixes, in order: the first, which other prompts most
// often share, and the longest, which the next prompt of a session shares.
std::vector<prefix_part> select_prefixes(std::span<const prefix_part> prompt, std::size_t count);

class kept_prefixes {
public:
    explicit kept_prefixes(std::size_t capacity = max_kept_prefixes) : m_capacity(capacity) {}

    // The run of the server has prefilled a prompt with these prefixes, shortest
    // first. Its engine caches at most `cache_tokens`. A prompt of an earlier run
    // than the known one is ignored.
    void on_prefilled(const server_name& server, std::int64_t started_at_unix_ms, std::span<const prefix_part> prompt,
                      std::int64_t cache_tokens, time_point now);
    // Forgets the least recently used prefixes that have no room in the memory of
    // `memory_tokens` beside the tokens that the report states as held.
    void on_report(const server_report& report, std::int64_t memory_tokens, time_point now);
    // Forgets prefixes that were not used for max_unused_prefix_time.
    void drop_unused(time_point now);

    // Number of tokens of this prompt that the server probably has cached.
    [[nodiscard]] std::int64_t kept_tokens(const server_name& server, std::span<const prefix_part> prompt,
                                           time_point now) const;
    // The servers that cache a part of the prompt, sorted by name.
    [[nodiscard]] std::vector<kept_prefix> find(std::span<const prefix_part> prompt, time_point now) const;
    // Prefixes recorded for all servers together.
    [[nodiscard]] std::size_t size() const { return m_size; }
    // Tokens that the recorded prefixes of a server take there; text that they share
    // counts once.
    [[nodiscard]] std::int64_t tokens_of(const server_name& server) const;

private:
    struct entry {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0;
        // The longest recorded prefix of this one. It is used whenever this one is,
        // so that it is never forgotten first.
        std::optional<std::uint64_t> parent;
        // Tokens beyond the parent's.
        std::int64_t added_tokens = 0;
        time_point used{};
    };
    using entry_list = std::list<entry>;
    struct kept_server {
        std::int64_t started_at_unix_ms = 0;
        // Most recently used first.
        entry_list entries;
        std::unordered_map<std::uint64_t, entry_list::iterator> entry_by_hash;
        std::int64_t tokens = 0;
        // Room for cached prompts, and when the server reported it.
        std::int64_t reported_room = 0;
        std::optional<time_point> reported_at;
    };
    using server_map = std::map<server_name, kept_server>;
    using server_node = server_map::value_type;

    entry_list::iterator find_or_add(server_node& server, const prefix_part& prefix);
    // Marks prefixes of one prompt and their parents as used.
    static void mark_used(kept_server& server, std::vector<entry_list::iterator> used, time_point now);
    static void set_parent(kept_server& server, entry& which, const entry& parent);
    void forget_last(server_node& server);
    void forget_all(server_node& server);
    void limit_tokens(server_node& server, std::int64_t tokens);
    void forget_least_recent();

    std::size_t m_capacity;
    std::size_t m_size = 0;
    server_map m_servers;
    // The servers with an entry for a prefix, in the order of their addresses in memory.
    std::unordered_map<std::uint64_t, std::vector<const server_node*>> m_holders;
};

}  // namespace verbenahold::serving
