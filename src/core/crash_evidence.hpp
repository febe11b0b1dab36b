// Strikes against request fingerprints that were running on servers when
// these died. Strikes spread with gossip and expire.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <span>
#include <unordered_map>
#include <vector>

namespace verbenahold {

// Strikes from which a request is refused.
inline constexpr std::uint8_t strikes_to_hold = 2;

class crash_evidence {
public:
    // A server died while these ran on it. A request that already had a strike
    // gets its second one only when it ran alone: otherwise a neighbour may
    // have caused this death.
    void on_server_death(std::span<const std::uint64_t> fingerprints, bool ran_alone, time_point now);
    // The caller side knows of a strike that gossip has not brought yet.
    void note_suspect(std::uint64_t fingerprint, time_point now);
    // The request completed: it is innocent.
    void on_completed(std::uint64_t fingerprint);
    void on_gossip(std::span<const crash_strike> strikes, time_point now);
    [[nodiscard]] std::uint8_t strikes(std::uint64_t fingerprint, time_point now) const;
    // Live strikes for gossip, the newest first. Entries with zero strikes say
    // that the request was cleared.
    [[nodiscard]] std::vector<crash_strike> export_strikes(time_point now) const;

private:
    struct entry {
        std::uint8_t strikes = 0;
        time_point expires{};
    };

    void drop_expired(time_point now);

    std::unordered_map<std::uint64_t, entry> m_entries;
    // Latest time handed in; on_completed has no time of its own.
    time_point m_now{};
};

}  // namespace verbenahold
