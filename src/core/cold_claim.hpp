// Exclusive use of a server that can carry only one request while cold. A
// listing alone leaves a gap in which two owners both see an empty server, so
// each first puts a marker there, a reservation of one token, and then lists.
// The engine orders markers and listings: of two owners at least one sees the
// other's marker or stream, and whoever sees one steps back.
#pragma once

#include "verbenahold/events.hpp"
#include "verbenahold/types.hpp"

#include <random>
#include <string>

namespace verbenahold {

// The engine drops a marker by itself after this time. Longer than a dispatch
// may take to show as a stream.
inline constexpr duration claim_expiry = std::chrono::seconds(10);
// Bounds of the random wait after stepping back, several round trips long.
inline constexpr duration shortest_claim_wait = std::chrono::milliseconds(20);
inline constexpr duration longest_claim_wait = std::chrono::milliseconds(200);

class cold_claim {
public:
    // Reservation name of a daemon's marker. The daemon comes first, so that a
    // sweep can read the creator from it.
    static std::string marker_of(const daemon_id& daemon);
    static bool is_marker(std::string_view reservation);

    // True when the marker is to be set now; counts as done.
    bool take_due(time_point now);
    // The marker is set, or could not be: then it is tried again later.
    void on_answer(bool granted, time_point now, std::mt19937_64& random);
    // True while the next listing decides.
    [[nodiscard]] bool awaits_listing() const { return m_state == state::marked; }
    // True if the claim stands; otherwise the marker is to be removed.
    bool on_listing(const stream_listing& listing, const daemon_id& self, time_point now, std::mt19937_64& random);
    // True between a listing that showed nothing else and the dispatch.
    [[nodiscard]] bool stands() const { return m_state == state::stands; }
    void on_dispatch() { m_state = state::used; }
    // Ends the claim; true if a marker is to be removed.
    bool end(time_point now);

private:
    enum class state : std::uint8_t { none, asked, marked, stands, used };

    void step_back(time_point now, std::mt19937_64& random);

    state m_state = state::none;
    time_point m_next{};
};

}  // namespace verbenahold
