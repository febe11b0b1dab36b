#include "rendezvous.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::string_view host) {
    return hash_text(host, key_hash);
}

}  // namespace verbenahold
