// Which traits of requests are suspected of which crashes. Requests may have thousands of
// traits and many may be lost at once, so traits are indexed, and memory is bounded by
// forgetting the oldest crashes as a whole: of a crash that is kept, no suspect is left out.
#pragma once

#include "crash_set.hpp"

#include "verbenahold/types.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace verbenahold::serving {

// Hash of a property that several requests may have.
using request_trait = std::uint64_t;

// Traits that are suspected of all kept crashes together; some 80 bytes each. One crash may
// exceed it alone.
inline constexpr std::size_t max_suspects = 200'000;

class suspect_index {
public:
    // Suspects `traits` of the crash of a server's run. Returns those that were not suspected
    // of it before.
    std::vector<request_trait> add(std::uint64_t server_run, time_point at, std::span<const request_trait> traits);
    // Clears traits of all crashes before `began`. Returns those that were suspected.
    std::vector<request_trait> clear(std::span<const request_trait> traits, time_point began);
    // Forgets the crashes before `oldest`.
    void forget_before(time_point oldest);

    // The crashes of which all of `traits` are suspected.
    [[nodiscard]] crash_set crashes_of_all(std::span<const request_trait> traits) const;
    // The traits that are suspected of at least `repeated_crashes` crashes, sorted.
    [[nodiscard]] std::vector<std::pair<request_trait, crash_set>> list_repeated() const;
    [[nodiscard]] std::vector<time_point> times_of(const crash_set& crashes) const;

    struct known_crash {
        std::uint64_t server_run = 0;
        time_point at{};
        // Sorted.
        std::vector<request_trait> suspects;
    };
    // The crashes since `oldest`, newest first.
    [[nodiscard]] std::vector<known_crash> list_since(time_point oldest) const;
    [[nodiscard]] std::size_t suspects() const { return m_crashes_of.size(); }
    [[nodiscard]] bool empty() const { return m_crashes_of.empty(); }

    static constexpr std::size_t repeated_crashes = 3;

private:
    struct crash {
        std::uint64_t server_run = 0;
        time_point at{};
        // All that were ever suspected; the index says which still are.
        std::vector<request_trait> traits;
        std::size_t suspects = 0;
    };

    [[nodiscard]] std::size_t place_of(std::uint64_t server_run, time_point at);
    [[nodiscard]] std::optional<std::size_t> oldest_place() const;
    void forget(std::size_t place);
    void erase_suspicion(request_trait trait, std::size_t place);

    std::array<std::optional<crash>, max_crashes> m_crashes;
    std::unordered_map<request_trait, crash_set> m_crashes_of;
    std::unordered_set<request_trait> m_repeated;
};

}  // namespace verbenahold::serving
