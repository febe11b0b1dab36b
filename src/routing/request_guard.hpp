// Remembers requests on which servers died, by a fingerprint of what the
// caller sent, so that a request that crashes its servers is held back.
#pragma once

#include "verbenahold/types.hpp"

#include <map>
#include <string_view>

namespace verbenahold::serving {

// Deaths after which a request is refused: a lost answer alone may also be the
// network's fault, three in a row hardly are.
inline constexpr int deaths_to_hold = 3;
// Time for which a death is remembered; callers that repeat a request do it
// within minutes.
inline constexpr duration death_memory = std::chrono::minutes(10);
// Fingerprints that are kept.
inline constexpr std::size_t most_fingerprints = 10'000;

// Hash of what makes two requests the same one, sent again.
std::uint64_t request_fingerprint(std::string_view account, std::string_view target, std::string_view body);

class request_guard {
public:
    void on_server_death(std::uint64_t fingerprint, time_point now);
    // Another daemon counts this many deaths.
    void on_heard(std::uint64_t fingerprint, int deaths, time_point now);
    void on_completed(std::uint64_t fingerprint) { m_deaths.erase(fingerprint); }
    [[nodiscard]] int deaths(std::uint64_t fingerprint, time_point now) const;
    [[nodiscard]] bool holds(std::uint64_t fingerprint, time_point now) const {
        return deaths(fingerprint, now) >= deaths_to_hold;
    }

private:
    struct counted {
        int deaths = 0;
        time_point last{};
    };
    void make_room(time_point now);

    std::map<std::uint64_t, counted> m_deaths;
};

}  // namespace verbenahold::serving
