// Decides which daemon may take one of a server's last free batch slots. Answers a load of
// short prompts that fills nearly all slots: several daemons see a slot become free at the
// same moment, and without turns either all of them take it or it stays free while
// requests wait. The daemons take turns in an order that each works out alike.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace verbenahold::serving {

// How long a daemon has a server's slot to itself: a try of its waiting requests and the
// news of the placement fit in.
inline constexpr duration slot_turn = std::chrono::milliseconds(20);
// What a daemon said of its waiting requests counts this long: three heartbeats.
inline constexpr duration waiting_report_lifetime = std::chrono::milliseconds(1'000);
// More waiting requests give a daemon no more turns, so that none gets nearly all.
inline constexpr int max_turn_weight = 8;

// Waiting requests as they are told to other daemons: rounded up to a power of two, so that
// few changes have to be told, and at most max_turn_weight.
int turn_weight(std::size_t waiting);

class slot_turns {
public:
    // A daemon that takes turns.
    struct contender {
        std::uint64_t daemon = 0;
        int weight = 1;
    };

    explicit slot_turns(std::uint64_t own_daemon) : m_own(own_daemon) {}

    // Another daemon has requests that wait for batch slots, `weight` as from turn_weight().
    void on_waiting(std::uint64_t daemon, int weight, time_point now);
    void remove_daemon(std::uint64_t daemon) { m_others.erase(daemon); }
    // The daemons that have requests for the slots, this one first, since it asks for one.
    // `own_weight` is that of its waiting requests. If no requests wait anywhere, any of the
    // `sharing` daemons may receive one now.
    [[nodiscard]] std::vector<contender> contenders(int own_weight, std::span<const std::uint64_t> sharing,
                                                    time_point now) const;
    // Whether this daemon has its turn at the server, whose slots were taken or freed last
    // `unchanged` ago. Turns go round among the contenders.
    [[nodiscard]] bool is_own_turn(std::span<const contender> contenders, const server_name& server,
                                   duration unchanged) const;

private:
    struct waiting_daemon {
        int weight = 0;
        time_point heard{};
    };

    std::uint64_t m_own;
    std::map<std::uint64_t, waiting_daemon> m_others;
};

}  // namespace verbenahold::serving
