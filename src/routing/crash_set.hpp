// A set of crashes, by the places at which they are kept.
#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace verbenahold::serving {

inline constexpr std::size_t max_crashes = 256;

class crash_set {
public:
    void insert(std::size_t place) { m_words[place / bits] |= bit(place); }
    void erase(std::size_t place) { m_words[place / bits] &= ~bit(place); }
    [[nodiscard]] bool contains(std::size_t place) const { return (m_words[place / bits] & bit(place)) != 0; }
    [[nodiscard]] std::size_t size() const {
        std::size_t count = 0;
        for (const auto word : m_words) {
            count += static_cast<std::size_t>(std::popcount(word));
        }
        return count;
    }
    [[nodiscard]] bool empty() const { return *this == crash_set(); }

    crash_set& operator|=(const crash_set& other) {
        for (std::size_t index = 0; index < m_words.size(); ++index) {
            m_words[index] |= other.m_words[index];
        }
        return *this;
    }
    crash_set& operator&=(const crash_set& other) {
        for (std::size_t index = 0; index < m_words.size(); ++index) {
            m_words[index] &= other.m_words[index];
        }
        return *this;
    }
    // Removes what `other` contains.
    crash_set& operator-=(const crash_set& other) {
        for (std::size_t index = 0; index < m_words.size(); ++index) {
            m_words[index] &= ~other.m_words[index];
        }
        return *this;
    }
    auto operator<=>(const crash_set&) const = default;

private:
    static constexpr std::size_t bits = 64;
    static std::uint64_t bit(std::size_t place) { return std::uint64_t{1} << (place % bits); }

    std::array<std::uint64_t, max_crashes / bits> m_words{};
};

}  // namespace verbenahold::serving
