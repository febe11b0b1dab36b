// Checksum over all tokens of an answer, in order. The owner sends it when an
// attempt finishes; the caller side compares it with its own.
#pragma once

#include <cstdint>
#include <string_view>

namespace verbenahold {

class answer_checksum {
public:
    // Includes the token's length, so that the same text split into other tokens
    // has another checksum.
    void add(std::string_view token);
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 0;
};

}  // namespace verbenahold
