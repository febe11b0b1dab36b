// Recognizes requests that crash the servers which run them, also when no two of them
// are alike. Each request has traits that others may share: itself, as a repeat by its
// caller, and the shared parts of its prompt. A trait that all lost requests of several
// crashed servers have, and no request that a server began to answer since, is held
// responsible. What the daemons know is a set of observations that merge in any order,
// so that hosts which start, stand by or were cut off agree with the others later.
#pragma once

#include "suspect_index.hpp"

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenahold::serving {

// Trait that a request and its repeats by the caller share.
request_trait trait_of_request(std::string_view account, std::string_view target, std::string_view body);
// Trait of all requests to a service whose prompts have this part.
request_trait trait_of_part(std::string_view service, std::string_view part);
// Identifies one run of a server, from its start to its end.
std::uint64_t make_server_run(std::string_view server, std::int64_t started_at_unix_ms);

// Crashes after which a combination of traits is blocked. A single lost answer may be
// due to the network.
inline constexpr int crashes_to_block = static_cast<int>(suspect_index::repeated_crashes);
// Crashes closer together than this count as one, since servers that are lost at the
// same moment have a common cause outside the requests.
inline constexpr duration coincidence_window = std::chrono::milliseconds(100);
// How long a crash is held against the traits of the lost requests.
inline constexpr duration crash_retention = std::chrono::minutes(10);
inline constexpr duration block_time = std::chrono::minutes(10);
// For this long after a block has expired, one crash is enough to block again.
inline constexpr duration relapse_time = std::chrono::hours(1);
// From this round on a block has been confirmed by a crash after it had ended.
inline constexpr std::uint32_t first_confirmed_round = 2;
// Bounds on what is kept.
inline constexpr std::size_t max_blocks = 256;
inline constexpr std::size_t max_sound_traits = 50'000;
// How long other daemons are told of a crash, and how long it is remembered that a
// trait was sound, so that late word of a crash before that is recognized.
inline constexpr duration crash_announcement_time = std::chrono::seconds(10);
inline constexpr duration sound_retention = std::chrono::seconds(30);

// A server ended before it had begun to answer requests with these traits.
struct crash_observation {
    std::uint64_t server_run = 0;
    time_point at{};
    std::vector<request_trait> traits;
};

// Requests that have all of `traits` (sorted) are blocked until `expires`.
struct trait_block {
    std::vector<request_trait> traits;
    // How often the combination was blocked or cleared; the higher round is the newer
    // word.
    std::uint32_t round = 1;
    // A server answered such a request since, so it is not blocked.
    bool cleared = false;
    time_point expires{};
};

class crash_attribution {
public:
    using trait_set = std::vector<request_trait>;

    // A server ended before it had begun to answer a request with these traits. Returns
    // those that were not suspected of this crash yet, sorted: what others should know.
    trait_set on_crash(const crash_observation& crash, time_point now);
    // A server began to answer a request with these traits at `began` and went on. Returns
    // those of them that were suspected or blocked, sorted: what others should know.
    trait_set on_sound_request(std::span<const request_trait> traits, time_point began, time_point now);
    // Takes in a block that another daemon reported.
    void on_reported_block(const trait_block& reported, time_point now);
    // Takes in a block that daemons before this one left behind. Until it has been confirmed it
    // refuses nothing: one crash confirms it, and one sound request lifts it. A block that was
    // confirmed before refuses requests at once.
    void restore_block(const trait_block& left, time_point now);

    [[nodiscard]] bool is_blocked(std::span<const request_trait> traits, time_point now) const;
    // Combinations that were blocked since the last call, for the log.
    std::vector<trait_block> take_new_blocks();

    [[nodiscard]] std::size_t count_active_blocks(time_point now) const;
    // Traits that are suspected of crashes now.
    [[nodiscard]] std::size_t count_suspects() const { return m_suspects.suspects(); }

    // What other daemons should know: blocks that have not expired and that no wider one
    // implies, and recent crashes, newest first, with the traits that may have caused them.
    [[nodiscard]] std::vector<trait_block> list_blocks(time_point now) const;
    [[nodiscard]] std::vector<crash_observation> list_recent_crashes(time_point now) const;
    // What daemons after this one should know: also blocks that have expired lately.
    [[nodiscard]] std::vector<trait_block> list_blocks_to_keep(time_point now) const;

private:
    using sound_times = std::unordered_map<request_trait, time_point>;

    struct block_state {
        std::uint32_t round = 0;
        bool cleared = false;
        time_point expires{};
        // Restored and neither confirmed nor lifted since.
        bool on_probation = false;

        [[nodiscard]] bool is_active(time_point now) const { return !cleared && expires > now; }
    };

    [[nodiscard]] bool was_sound_after(request_trait trait, time_point at) const;
    void remember_sound(request_trait trait, time_point began, time_point now);
    // The traits that several crashes have in common, each with those of its crashes for which
    // no active block accounts that it is no part of.
    [[nodiscard]] std::vector<std::pair<request_trait, crash_set>> list_unexplained(time_point now) const;
    // `traits` are sorted.
    [[nodiscard]] bool is_implied(std::span<const request_trait> traits, time_point now) const;
    [[nodiscard]] bool is_implied_by_wider(const trait_set& traits, const block_state& own, time_point now) const;
    // The combination with the most crashes that should be blocked and is not; empty
    // if there is none.
    [[nodiscard]] trait_set find_culprit(time_point now) const;
    void attribute(time_point now);
    void block(const trait_set& traits, time_point now);
    // Blocks combinations again whose blocks expired and that have crashed a server.
    void block_again(std::span<const request_trait> lost, time_point at, time_point now);
    void drop_expired(time_point now);

    suspect_index m_suspects;
    // When a server last began to answer a request with the trait; two generations, of
    // which the older is dropped.
    sound_times m_sound_at;
    sound_times m_older_sound_at;
    time_point m_generation_began{};
    std::map<trait_set, block_state> m_blocks;
    std::vector<trait_block> m_new_blocks;
};

}  // namespace verbenahold::serving
