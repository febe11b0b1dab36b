// The text that fake engines generate: token number i of the answer to a
// prompt is a fixed function of both, so that anyone can check an answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenahold::standins {

std::uint64_t hash_prompt(std::string_view prompt);
std::string token_text(std::uint64_t prompt_hash, std::uint64_t index);

}  // namespace verbenahold::standins
