// Strikes against request fingerprints that were running on servers when
// these died. Strikes spread with gossip and expire.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <span>
#include <vector>

namespace verbenahold {

// Strikes from which a request is refused.
inline constexpr std::uint8_t strikes_to_hold = 2;

class crash_evidence {
public:
    // A server died while these ran on it; returns the strikes now held.
    void on_server_death(std::span<const std::uint64_t> fingerprints, bool ran_alone, time_point now);
    // The request completed: it is innocent.
    void on_completed(std::uint64_t fingerprint);
    void on_gossip(std::span<const crash_strike> strikes, time_point now);
    [[nodiscard]] std::uint8_t strikes(std::uint64_t fingerprint, time_point now) const;
    // Live strikes for gossip, the newest first.
    [[nodiscard]] std::vector<crash_strike> export_strikes(time_point now) const;
};

}  // namespace verbenahold
