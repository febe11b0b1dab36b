// Claim on a server that can run only one request while it is cold. After a
// change of owner, two daemons may both believe that they own the server, and
// with a listing alone both could see it idle and dispatch. So each first
// reserves one token of KV memory as a marker and then requests a listing.
// Because the engine serializes reservations and listings, at least one of two
// owners sees the other's marker or stream. An owner that sees one removes its
// own marker and retries after a random delay.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/types.hpp"

#include <random>
#include <string>

namespace verbenahold {

// The engine drops a marker after this time if it isn't removed. Longer than a
// dispatched request takes to appear in a listing.
inline constexpr duration claim_expiry = std::chrono::seconds(10);
// Bounds of the random delay before a claim is retried: several round trips.
inline constexpr duration min_claim_backoff = std::chrono::milliseconds(20);
inline constexpr duration max_claim_backoff = std::chrono::milliseconds(200);

class cold_claim {
public:
    // Reservation name of a daemon's marker. It starts with the daemon id, from
    // which memory_sweep reads the creator.
    static std::string marker_name(const daemon_id& daemon);
    static bool is_marker(std::string_view reservation);

    // True when the caller must reserve the marker now. A claim whose answer was
    // lost is due again after claim_expiry.
    bool request_if_due(time_point now);
    // Answer to the marker's reservation. When refused, the claim is retried
    // after a random delay.
    void on_answer(bool granted, time_point now, std::mt19937_64& random);
    // True while the marker is set and the next listing decides the claim.
    [[nodiscard]] bool awaits_listing() const { return m_state == state::marker_set; }
    // False if the claim failed; the caller must then remove the marker.
    bool on_listing(const stream_listing& listing, const daemon_id& self, time_point now, std::mt19937_64& random);
    // True from a listing that showed no other work or marker until the dispatch.
    [[nodiscard]] bool is_confirmed() const { return m_state == state::confirmed; }
    void on_dispatch() { m_state = state::used; }
    // Ends the claim. True if the caller must remove the marker.
    bool end(time_point now);

private:
    enum class state : std::uint8_t { none, requested, marker_set, confirmed, used };

    void back_off(time_point now, std::mt19937_64& random);

    state m_state = state::none;
    time_point m_next{};
};

}  // namespace verbenahold
