// Detects requests that crash servers. Each request that was running on a server
// when it died gets a strike against its fingerprint; a request with enough
// strikes is refused. Prompts that differ but begin alike are recognized by their
// prefixes, as crash_attribution decides. Strikes are spread by gossip and expire.
#pragma once

#include "crash_attribution.hpp"

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <span>
#include <unordered_map>
#include <vector>

namespace verbenahold {

// Number of strikes from which on a request is refused.
inline constexpr std::uint8_t strikes_to_refuse = 2;

class crash_evidence {
public:
    // Adds a strike to the requests that were running on a server when it died.
    // A request that already has a strike gets another one only if it ran alone,
    // since otherwise another request may have caused the crash.
    void on_server_death(std::span<const std::uint64_t> fingerprints, bool ran_alone, time_point now);
    // Adds the first strike of a request that its caller side reports as suspect,
    // unless the fingerprint has an unexpired entry.
    void add_suspect(std::uint64_t fingerprint, time_point now);
    // Clears the strikes of a request that completed.
    void on_completed(std::uint64_t fingerprint);
    // A server died before it had begun to answer a prompt with these prefixes, the
    // longest last.
    void on_prompt_lost(const server_name& server, std::span<const std::uint64_t> prefix_hashes, time_point now);
    // A server began to answer such a prompt.
    void on_prompt_answered(std::span<const std::uint64_t> prefix_hashes, time_point now);
    // Whether prompts that begin like this one crash servers.
    [[nodiscard]] bool is_blocked(std::span<const std::uint64_t> prefix_hashes, time_point now) const;
    void on_gossip(std::span<const crash_strike> strikes, time_point now);
    [[nodiscard]] std::uint8_t strikes(std::uint64_t fingerprint, time_point now) const;
    // Unexpired strikes for gossip, newest first. An entry with zero strikes says
    // that the request was cleared.
    [[nodiscard]] std::vector<crash_strike> export_strikes(time_point now) const;

private:
    struct entry {
        std::uint8_t strikes = 0;
        time_point expires{};
    };

    // Gives strikes to the prefixes that were blocked since the last call; of those of
    // the prompt that was lost, to the longest.
    void hold_blocked_prefixes(std::span<const std::uint64_t> prefix_hashes);
    void drop_expired(time_point now);

    // By fingerprint of a request, or hash of a prefix that is blocked.
    std::unordered_map<std::uint64_t, entry> m_entries;
    serving::crash_attribution m_attribution;
    // Latest time passed to any call, for on_completed(), which gets none.
    time_point m_now{};
};

}  // namespace verbenahold
