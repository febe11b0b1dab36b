#include "reservation_lease.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Parts of the bound on unused time. A holder is first asked after a third, since most
// requests begin before that. Memory that it then reports as unused is released after
// two thirds, and a little later without a report. The lease ends after three quarters;
// the rest covers the delays of orders and reports.
constexpr int ask_after_parts = 12;
constexpr int ask_period_parts = 3;
constexpr int release_after_parts = 24;
constexpr int release_unasked_after_parts = 26;
constexpr int lapse_after_parts = 27;
constexpr int all_parts = 36;

duration fraction(duration whole, int parts) {
    return whole * parts / all_parts;
}

}  // namespace

reservation_lease::reservation_lease(time_point reserved_at, duration lifetime, duration max_unused)
    : m_reserved_at(reserved_at),
      m_last_used(reserved_at),
      m_lifetime(lifetime),
      m_max_unused(max_unused),
      m_asked_at(reserved_at) {}

void reservation_lease::on_used(time_point at) {
    m_was_used = true;
    m_found_unused = false;
    m_last_used = std::max(m_last_used, at);
}

void reservation_lease::on_found_unused(time_point now) {
    m_found_unused = unused_for(now) >= fraction(m_max_unused, release_after_parts);
}

bool reservation_lease::is_check_due(time_point now) const {
    return unused_for(now) >= fraction(m_max_unused, ask_after_parts) &&
           now - m_asked_at >= fraction(m_max_unused, ask_period_parts);
}

bool reservation_lease::is_over(time_point now) const {
    return m_found_unused || unused_for(now) >= fraction(m_max_unused, release_unasked_after_parts);
}

duration reservation_lease::hold(time_point now) const {
    const auto left = fraction(m_max_unused, lapse_after_parts) - unused_for(now);
    return std::clamp(left, duration::zero(), m_lifetime);
}

}  // namespace verbenahold::serving
