#include "body_budget.hpp"

#include <iterator>
#include <utility>

namespace verbenahold::serving {

body_budget::holding::holding(holding&& other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr)),
      m_place(other.m_place),
      m_counted(std::exchange(other.m_counted, 0)) {}

body_budget::holding& body_budget::holding::operator=(holding&& other) noexcept {
    if (this != &other) {
        release();
        m_owner = std::exchange(other.m_owner, nullptr);
        m_place = other.m_place;
        m_counted = std::exchange(other.m_counted, 0);
    }
    return *this;
}

void body_budget::holding::recount(std::size_t counted) {
    m_counted = counted;
    m_owner->recount(*m_place, counted);
}

void body_budget::holding::release() {
    if (m_owner == nullptr) {
        return;
    }
    m_owner->recount(*m_place, 0);
    std::exchange(m_owner, nullptr)->m_entries.erase(m_place);
}

body_budget::holding body_budget::hold(std::function<void()> give_way) {
    m_entries.push_back({0, std::move(give_way), false});
    return {*this, std::prev(m_entries.end())};
}

body_budget::entry* body_budget::find_longest() {
    entry* longest = nullptr;
    for (auto& candidate : m_entries) {
        const bool may_give_way = candidate.give_way && !candidate.is_giving_way && candidate.bytes > 0;
        if (may_give_way && (longest == nullptr || candidate.bytes > longest->bytes)) {
            longest = &candidate;
        }
    }
    return longest;
}

void body_budget::recount(entry& counted, std::size_t bytes) {
    m_held += bytes - counted.bytes;
    if (counted.is_giving_way) {
        m_leaving += bytes - counted.bytes;
    }
    counted.bytes = bytes;
    counted.is_giving_way = counted.is_giving_way && bytes > 0;
    while (m_held - m_leaving > m_limit) {
        auto* longest = find_longest();
        if (longest == nullptr) {
            return;
        }
        longest->is_giving_way = true;
        m_leaving += longest->bytes;
        ++m_given_way;
        m_defer(longest->give_way);
    }
}

}  // namespace verbenahold::serving
