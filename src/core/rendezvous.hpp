// Rendezvous (highest random weight) hashing with XXH64: each key goes to the host
// with the highest weight for it, so that a change of the set of hosts moves few
// keys.
#pragma once

#include <cstdint>
#include <string_view>

namespace verbenahold {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

// Weight of a host for a key that was hashed with hash_text.
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::string_view host);

}  // namespace verbenahold
