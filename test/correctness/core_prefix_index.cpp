// Checks how the prefix index finds the server that has a prompt's prefix cached.
#include "prefix_index.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <string>

using namespace verbenahold;

namespace {

const daemon_id owner{host_name("entry-1"), 1};
const server_name first("server-1");
const server_name second("server-2");

// A prompt with one whole block for each letter, filled with that letter.
std::string prompt_of(const std::string& letters) {
    std::string prompt;
    for (const char letter : letters) {
        prompt.append(prefix_block_tokens * bytes_per_token, letter);
    }
    return prompt;
}

}  // namespace

TEST_CASE("prompt tokens are bytes over four, rounded up") {
    REQUIRE(count_prompt_tokens("") == 0);
    REQUIRE(count_prompt_tokens("12345") == 2);
    REQUIRE(count_prompt_tokens("12345678") == 2);
    std::cout << "prompt token count: passed\n";
}

TEST_CASE("prompts share the hashes of their common blocks only") {
    const auto left = hash_prefixes(prompt_of("abc") + "tail");
    const auto right = hash_prefixes(prompt_of("abd"));
    REQUIRE(left.size() == 3);
    REQUIRE(right.size() == 3);
    REQUIRE(left[0] == right[0]);
    REQUIRE(left[1] == right[1]);
    REQUIRE(left[2] != right[2]);
    REQUIRE(hash_prefixes("short").empty());
    std::cout << "prefix hashes: passed\n";
}

TEST_CASE("the longest known prefix is found with its server and owner") {
    prefix_index index;
    index.on_completed(first, owner, hash_prefixes(prompt_of("ab")), 0);
    index.on_completed(second, owner, hash_prefixes(prompt_of("abcd")), 0);
    index.on_completed(first, owner, hash_prefixes(prompt_of("ab")), 0);
    const auto hit = index.find(hash_prefixes(prompt_of("abcx")));
    REQUIRE(hit);
    REQUIRE(hit->server == second);
    REQUIRE(hit->owner == owner);
    REQUIRE(hit->cached_tokens == 3 * prefix_block_tokens);
    REQUIRE(index.cached_tokens_on(first, hash_prefixes(prompt_of("abcx"))) == 2 * prefix_block_tokens);
    REQUIRE_FALSE(index.find(hash_prefixes(prompt_of("xa"))));
    std::cout << "longest prefix: passed\n";
}

TEST_CASE("dropped prefixes and forgotten servers are not hinted at") {
    prefix_index index;
    const auto hashes = hash_prefixes(prompt_of("ab"));
    index.on_completed(first, owner, hashes, 0);
    index.on_cache_event(first, hashes[1], false);
    REQUIRE(index.cached_tokens_on(first, hashes) == prefix_block_tokens);
    index.forget_server(first);
    REQUIRE_FALSE(index.find(hashes));
    // A server that reuses the freed entry must not get the removed server's
    // prefixes.
    index.on_completed(second, owner, hash_prefixes(prompt_of("z")), 0);
    REQUIRE_FALSE(index.find(hashes));
    REQUIRE(index.cached_tokens_on(second, hashes) == 0);
    std::cout << "forgotten prefixes: passed\n";
}

TEST_CASE("the index evicts the prefixes stored longest ago, longer ones first") {
    prefix_index index(4);
    const auto old_hashes = hash_prefixes(prompt_of("abc"));
    index.on_completed(first, owner, old_hashes, 0);
    index.on_completed(second, owner, hash_prefixes(prompt_of("xy")), 0);
    REQUIRE(index.cached_tokens_on(first, old_hashes) == 2 * prefix_block_tokens);
    REQUIRE(index.cached_tokens_on(second, hash_prefixes(prompt_of("xy"))) == 2 * prefix_block_tokens);
    std::cout << "prefix eviction order: passed\n";
}
