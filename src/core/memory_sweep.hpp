// Finds engine streams and memory reservations that no live daemon owns, from
// the listings of one server. The creator of a stream is read from its id.
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

// How long a creator must have been dead before its work is swept.
inline constexpr duration dead_creator_age = std::chrono::seconds(10);
// How long a stream must have had no reader.
inline constexpr duration no_reader_age = std::chrono::seconds(5);

// The owner incarnation in "host.incarnation.sequence.attempt.owner_host.
// owner_incarnation"; nothing for ids of another form.
std::optional<daemon_id> parse_stream_owner(std::string_view stream);
// The caller side in the first two fields of a stream or reservation id.
std::optional<daemon_id> parse_origin(std::string_view id);

class memory_sweep {
public:
    struct result {
        std::vector<std::string> streams;
        std::vector<std::string> reservations;
    };

    // `is_known` tells whether this daemon runs the stream or holds the
    // reservation with that id now.
    result on_listing(const stream_listing& listing, const membership& members,
                      const std::function<bool(std::string_view)>& is_known, time_point now);

private:
    struct sighting {
        std::optional<time_point> without_reader;
        // Listings in a row in which this daemon did not know its own stream.
        int unknown_listings = 0;
    };

    static bool must_cancel(const listed_stream& stream, const membership& members, bool known, sighting& seen,
                            time_point now);

    std::unordered_map<std::string, sighting> m_sightings;
};

}  // namespace verbenahold
