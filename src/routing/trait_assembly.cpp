#include "trait_assembly.hpp"

#include <xxhash.h>

#include <algorithm>

namespace verbenahold::serving {

std::uint64_t digest_of(std::span<const request_trait> traits) {
    return XXH64(traits.data(), traits.size_bytes(), 0);
}

void trait_assembly::drop_oldest() {
    m_sets.erase(std::min_element(m_sets.begin(), m_sets.end(), [](const auto& left, const auto& right) {
        return left.second.last_part < right.second.last_part;
    }));
}

std::optional<std::vector<request_trait>> trait_assembly::add(const trait_set_id& set,
                                                              std::span<const request_trait> part) {
    if (part.empty() || set.size > max_traits_of_set || part.size() > set.size) {
        return std::nullopt;
    }
    if (!m_sets.contains(set.digest) && m_sets.size() >= max_incomplete_sets) {
        drop_oldest();
    }
    auto& known = m_sets[set.digest];
    known.last_part = ++m_parts;
    auto& traits = known.traits;
    // A part may come again.
    if (std::find(traits.begin(), traits.end(), part.front()) != traits.end()) {
        return std::nullopt;
    }
    traits.insert(traits.end(), part.begin(), part.end());
    if (traits.size() < set.size) {
        return std::nullopt;
    }
    auto whole = std::move(traits);
    m_sets.erase(set.digest);
    std::sort(whole.begin(), whole.end());
    return whole.size() == set.size && digest_of(whole) == set.digest ? std::optional(std::move(whole)) : std::nullopt;
}

}  // namespace verbenahold::serving
