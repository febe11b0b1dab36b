// Finds leaked streams and reservations in the listings of one server. A stream
// is leaked if its owner is dead and it has no reader, or if its owner is this
// daemon and doesn't know it. A reservation is leaked if the daemon that received
// its request is dead. What this daemon knows is never leaked. The creator, which
// is the owner of a stream or that daemon of a reservation, is parsed from the id.
#pragma once

#include "membership.hpp"

#include "verbenahold/events.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenahold {

// A creator must have been dead for this long before its streams and
// reservations are freed.
inline constexpr duration dead_creator_grace = std::chrono::seconds(10);
// A dead creator's stream is cancelled only after it has had no reader for this
// long.
inline constexpr duration no_reader_grace = std::chrono::seconds(5);

// The owner in a stream id of the form
// "host.incarnation.sequence.attempt.owner_host.owner_incarnation"; nothing for
// ids of another form.
std::optional<daemon_id> parse_stream_owner(std::string_view stream);
// The daemon in the first two fields of a stream or reservation id, which is
// the request's caller side.
std::optional<daemon_id> parse_origin(std::string_view id);

class memory_sweep {
public:
    struct result {
        std::vector<std::string> streams;
        std::vector<std::string> reservations;
    };

    // Returns what must be freed. `is_known` tells whether this daemon currently
    // runs the stream or holds the reservation with that id.
    result on_listing(const stream_listing& listing, const membership& members,
                      const std::function<bool(std::string_view)>& is_known, time_point now);

private:
    struct observation {
        std::optional<time_point> without_reader_since;
        // Consecutive listings in which this daemon didn't know a stream that
        // carries its own id.
        int unknown_listings = 0;
    };

    static bool must_cancel(const listed_stream& stream, const membership& members, bool known, observation& seen,
                            time_point now);

    std::unordered_map<std::string, observation> m_observations;
};

}  // namespace verbenahold
