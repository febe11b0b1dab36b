// Puts sets of traits together that arrive in parts. A set that is not whole says too much:
// a block without some of its traits would refuse more requests, and a crash without some of
// its suspects would hold the others responsible.
#pragma once

#include "suspect_index.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace verbenahold::serving {

// Bounds on sets that are not whole yet.
inline constexpr std::size_t max_incomplete_sets = 32;
inline constexpr std::size_t max_traits_of_set = 100'000;

// Identifies a set; `traits` are sorted.
std::uint64_t digest_of(std::span<const request_trait> traits);

// Names the set of which a message carries a part.
struct trait_set_id {
    std::uint64_t digest = 0;
    std::size_t size = 0;
};

class trait_assembly {
public:
    // Takes in a part. Returns the set, sorted, if it is whole now.
    std::optional<std::vector<request_trait>> add(const trait_set_id& set, std::span<const request_trait> part);

private:
    struct incomplete_set {
        std::vector<request_trait> traits;
        std::uint64_t last_part = 0;
    };

    void drop_oldest();

    std::map<std::uint64_t, incomplete_set> m_sets;
    std::uint64_t m_parts = 0;
};

}  // namespace verbenahold::serving
