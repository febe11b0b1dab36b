#include "crash_evidence.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace verbenahold {

namespace {

// How long strikes, and the entry of a cleared request, are kept.
constexpr duration strike_lifetime = std::chrono::minutes(10);

// Gossip sends remaining lifetimes, which do not count the transit time of each
// hop. Two expiry times that differ by less than this are taken for the same
// event.
constexpr duration age_tolerance = std::chrono::seconds(1);

}  // namespace

void crash_evidence::on_server_death(std::span<const std::uint64_t> fingerprints, bool ran_alone, time_point now) {
    m_now = std::max(m_now, now);
    drop_expired(now);
    for (const std::uint64_t fingerprint : fingerprints) {
        entry& found = m_entries[fingerprint];
        const bool adds_strike = found.strikes == 0 || ran_alone;
        if (adds_strike && found.strikes < std::numeric_limits<std::uint8_t>::max())
            ++found.strikes;
        found.expires = now + strike_lifetime;
    }
}

void crash_evidence::add_suspect(std::uint64_t fingerprint, time_point now) {
    m_now = std::max(m_now, now);
    const auto [found, added] = m_entries.try_emplace(fingerprint, entry{1, now + strike_lifetime});
    if (!added && found->second.expires <= now)
        found->second = entry{1, now + strike_lifetime};
}

void crash_evidence::on_completed(std::uint64_t fingerprint) {
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.strikes == 0)
        return;
    found->second = entry{0, m_now + strike_lifetime};
}

void crash_evidence::on_prompt_lost(const server_name& server, std::span<const std::uint64_t> prefix_hashes,
                                    time_point now) {
    m_now = std::max(m_now, now);
    // Only the server's owner reports its death, once.
    const auto run = serving::make_server_run(server.value, now.time_since_epoch().count());
    m_attribution.on_crash({run, now, {prefix_hashes.begin(), prefix_hashes.end()}}, now);
    hold_blocked_prefixes(prefix_hashes);
}

void crash_evidence::hold_blocked_prefixes(std::span<const std::uint64_t> prefix_hashes) {
    for (const auto& block : m_attribution.take_new_blocks()) {
        // Of prefixes that can't be told apart, the longest says all.
        const auto longest = std::find_if(prefix_hashes.rbegin(), prefix_hashes.rend(), [&](std::uint64_t hash) {
            return std::ranges::binary_search(block.traits, hash);
        });
        if (longest != prefix_hashes.rend())
            m_entries[*longest] = entry{strikes_to_refuse, block.expires};
        else if (block.traits.size() == 1)
            m_entries[block.traits.front()] = entry{strikes_to_refuse, block.expires};
    }
}

void crash_evidence::on_prompt_answered(std::span<const std::uint64_t> prefix_hashes, time_point now) {
    m_now = std::max(m_now, now);
    m_attribution.on_sound_request(prefix_hashes, now, now);
    for (const std::uint64_t hash : prefix_hashes)
        on_completed(hash);
    // What is left may be enough to hold another prefix.
    hold_blocked_prefixes({});
}

bool crash_evidence::is_blocked(std::span<const std::uint64_t> prefix_hashes, time_point now) const {
    return std::ranges::any_of(prefix_hashes,
                               [&](std::uint64_t hash) { return strikes(hash, now) >= strikes_to_refuse; });
}

void crash_evidence::on_gossip(std::span<const crash_strike> strikes, time_point now) {
    m_now = std::max(m_now, now);
    for (const crash_strike& strike : strikes) {
        const duration left = std::min(strike.expires_in, strike_lifetime);
        if (left <= duration::zero())
            continue;
        const entry received{strike.strikes, now + left};
        const auto [found, added] = m_entries.try_emplace(strike.fingerprint, received);
        if (added)
            continue;
        entry& known = found->second;
        const bool newer = received.expires > known.expires + age_tolerance;
        const bool older = received.expires + age_tolerance < known.expires;
        if (newer || (!older && received.strikes > known.strikes))
            known = received;
    }
}

std::uint8_t crash_evidence::strikes(std::uint64_t fingerprint, time_point now) const {
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expires <= now)
        return 0;
    return found->second.strikes;
}

std::vector<crash_strike> crash_evidence::export_strikes(time_point now) const {
    std::vector<crash_strike> live;
    for (const auto& [fingerprint, known] : m_entries)
        if (known.expires > now)
            live.push_back({fingerprint, known.strikes, known.expires - now});
    std::ranges::sort(live, [](const crash_strike& left, const crash_strike& right) {
        return std::pair(right.expires_in, left.fingerprint) < std::pair(left.expires_in, right.fingerprint);
    });
    return live;
}

void crash_evidence::drop_expired(time_point now) {
    std::erase_if(m_entries, [now](const auto& item) { return item.second.expires <= now; });
}

}  // namespace verbenahold
