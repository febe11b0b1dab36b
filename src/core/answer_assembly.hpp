// Assembles the numbered tokens of one answer in order. Tokens may arrive late,
// twice or out of order; those beyond a gap wait until the gap is filled.
#pragma once

#include "answer_checksum.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace verbenahold {

class answer_assembly {
public:
    // Adds tokens numbered from `first_index` and returns those that have
    // become contiguous, valid until the next call.
    std::span<const std::string> add(std::uint64_t first_index, std::span<const std::string> tokens);
    // Drops the tokens beyond a gap, since a new attempt generates its own.
    void drop_beyond_gap();

    [[nodiscard]] std::uint64_t count() const { return m_tokens.size(); }
    [[nodiscard]] std::uint64_t checksum() const { return m_checksum.value(); }
    [[nodiscard]] const std::vector<std::string>& tokens() const { return m_tokens; }

private:
    void append(const std::string& token);

    std::vector<std::string> m_tokens;
    answer_checksum m_checksum;
    std::map<std::uint64_t, std::string> m_waiting;
};

}  // namespace verbenahold
