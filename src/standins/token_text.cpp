#include "token_text.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold::standins {

std::uint64_t hash_prompt(std::string_view prompt) {
    return XXH64(prompt.data(), prompt.size(), 0);
}

std::string token_text(std::uint64_t prompt_hash, std::uint64_t index) {
    constexpr std::string_view hex_digits = "0123456789abcdef";
    const std::uint64_t mixed = XXH64(&index, sizeof index, prompt_hash);
    std::string text = " ";
    for (unsigned shift = 0; shift < 16; shift += 4) {
        text += hex_digits[(mixed >> shift) & 0xfU];
    }
    return text;
}

}  // namespace verbenahold::standins
