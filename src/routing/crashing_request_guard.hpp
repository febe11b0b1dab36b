// Recognizes requests that crash the servers that run them. Counts the servers
// that died while they ran a request, by a fingerprint of the request, and blocks
// the request once there are too many.
#pragma once

#include "verbenahold/types.hpp"

#include <map>
#include <string_view>

namespace verbenahold::serving {

// Server deaths after which a request is blocked. A single lost answer may be due
// to the network; three in a row hardly are.
inline constexpr int deaths_to_block = 3;
// How long the count of a request is kept after its last death. Callers that retry
// a request do so within minutes.
inline constexpr duration death_retention = std::chrono::minutes(10);
// Maximum number of fingerprints that are kept.
inline constexpr std::size_t max_fingerprints = 10'000;

// Hash of the properties that a request and its retries by the caller share.
std::uint64_t request_fingerprint(std::string_view account, std::string_view target, std::string_view body);

class crashing_request_guard {
public:
    void on_server_death(std::uint64_t fingerprint, time_point now);
    // Another daemon reported that it counts this many deaths.
    void on_reported_deaths(std::uint64_t fingerprint, int deaths, time_point now);
    void on_completed(std::uint64_t fingerprint) { m_deaths.erase(fingerprint); }
    [[nodiscard]] int deaths(std::uint64_t fingerprint, time_point now) const;
    [[nodiscard]] bool is_blocked(std::uint64_t fingerprint, time_point now) const {
        return deaths(fingerprint, now) >= deaths_to_block;
    }

private:
    struct death_count {
        int deaths = 0;
        time_point last{};
    };
    void evict_if_full(time_point now);

    std::map<std::uint64_t, death_count> m_deaths;
};

}  // namespace verbenahold::serving
