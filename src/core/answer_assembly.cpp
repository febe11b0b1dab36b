#include "answer_assembly.hpp"

namespace verbenahold {

namespace {

// Limits the memory that tokens of a faulty sender can take beyond a gap.
constexpr std::size_t max_waiting_tokens = 65'536;

}  // namespace

std::span<const std::string> answer_assembly::add(std::uint64_t first_index, std::span<const std::string> tokens) {
    const std::size_t had = m_tokens.size();
    std::uint64_t index = first_index;
    for (const std::string& token : tokens) {
        if (index == m_tokens.size()) {
            append(token);
        } else if (index > m_tokens.size() && m_waiting.size() < max_waiting_tokens) {
            m_waiting.emplace(index, token);
        }
        ++index;
    }
    while (!m_waiting.empty() && m_waiting.begin()->first <= m_tokens.size()) {
        if (m_waiting.begin()->first == m_tokens.size()) {
            append(m_waiting.begin()->second);
        }
        m_waiting.erase(m_waiting.begin());
    }
    return std::span(m_tokens).subspan(had);
}

void answer_assembly::drop_beyond_gap() {
    m_waiting.clear();
}

void answer_assembly::append(const std::string& token) {
    m_tokens.push_back(token);
    m_checksum.add(token);
}

}  // namespace verbenahold
