#include "cold_claim.hpp"

#include <algorithm>

namespace verbenahold {

namespace {

constexpr std::string_view marker_suffix = ".cold";

}  // namespace

std::string cold_claim::marker_name(const daemon_id& daemon) {
    return to_string(daemon).append(marker_suffix);
}

bool cold_claim::is_marker(std::string_view reservation) {
    return reservation.ends_with(marker_suffix);
}

bool cold_claim::request_if_due(time_point now) {
    const bool lost = m_state == state::requested && now >= m_next;
    if (now < m_next || (m_state != state::none && !lost))
        return false;
    m_state = state::requested;
    // If the answer is lost, the claim may be made again once the marker expired.
    m_next = now + claim_expiry;
    return true;
}

void cold_claim::on_answer(bool granted, time_point now, std::mt19937_64& random) {
    if (m_state != state::requested)
        return;
    if (granted)
        m_state = state::marker_set;
    else
        back_off(now, random);
}

bool cold_claim::on_listing(const stream_listing& listing, const daemon_id& self, time_point now,
                            std::mt19937_64& random) {
    if (m_state != state::marker_set)
        return true;
    const std::string own = marker_name(self);
    const bool own_listed =
        std::ranges::find(listing.reservations, own, &listed_reservation::reservation) != listing.reservations.end();
    const bool other_listed = std::ranges::any_of(listing.reservations, [&](const listed_reservation& held) {
        return is_marker(held.reservation) && held.reservation != own;
    });
    // Ended own streams may stay listed for a while with no memory.
    const std::string own_stream_suffix = '.' + to_string(self);
    const bool other_runs = std::ranges::any_of(listing.streams, [&](const listed_stream& stream) {
        return stream.kv_tokens > 0 || !stream.stream.ends_with(own_stream_suffix);
    });
    if (!other_runs && own_listed && !other_listed) {
        m_state = state::confirmed;
        return true;
    }
    back_off(now, random);
    return false;
}

bool cold_claim::end(time_point now) {
    if (m_state == state::none)
        return false;
    m_state = state::none;
    m_next = now;
    return true;
}

void cold_claim::back_off(time_point now, std::mt19937_64& random) {
    m_state = state::none;
    std::uniform_int_distribution<duration::rep> wait(min_claim_backoff.count(), max_claim_backoff.count());
    m_next = now + duration(wait(random));
}

}  // namespace verbenahold
