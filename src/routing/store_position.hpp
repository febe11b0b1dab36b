// Where a copy of the store's rows stands.
#pragma once

#include <compare>
#include <cstdint>

namespace verbenahold::serving {

// A version of the store's rows. When the store comes back from an older copy of itself, it
// gives out versions again and its era rises, so that versions of different eras say nothing
// about each other.
struct store_position {
    // 0 if unknown: earlier releases don't state it.
    std::uint64_t era = 0;
    std::uint64_t version = 0;

    // The later era is the newer one, whatever the versions.
    auto operator<=>(const store_position&) const = default;
};

}  // namespace verbenahold::serving
