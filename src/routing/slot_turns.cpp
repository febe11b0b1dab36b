#include "slot_turns.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace verbenahold::serving {

namespace {

// Weighted rendezvous hashing: the daemon with the highest score is first. A change of one
// daemon's weight moves no other.
double score_of(const slot_turns::contender& daemon, std::uint64_t server_hash) {
    const auto hash = XXH64(&daemon.daemon, sizeof daemon.daemon, server_hash);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
    return -daemon.weight / std::log(uniform);
}

}  // namespace

int turn_weight(std::size_t waiting) {
    if (waiting == 0) {
        return 0;
    }
    return static_cast<int>(std::min<std::size_t>(std::bit_ceil(waiting), max_turn_weight));
}

void slot_turns::on_waiting(std::uint64_t daemon, int weight, time_point now) {
    // A late datagram of a daemon that has ended would stay forever.
    std::erase_if(m_others, [&](const auto& entry) { return now - entry.second.heard >= waiting_report_lifetime; });
    if (weight <= 0) {
        m_others.erase(daemon);
        return;
    }
    m_others[daemon] = {std::min(weight, max_turn_weight), now};
}

std::vector<slot_turns::contender> slot_turns::contenders(int own_weight, std::span<const std::uint64_t> sharing,
                                                          time_point now) const {
    std::vector<contender> found{{m_own, std::max(1, own_weight)}};
    for (const auto& [daemon, waiting] : m_others) {
        if (now - waiting.heard < waiting_report_lifetime) {
            found.push_back({daemon, waiting.weight});
        }
    }
    if (own_weight == 0 && found.size() == 1) {
        std::transform(sharing.begin(), sharing.end(), std::back_inserter(found), [](std::uint64_t daemon) {
            return contender{daemon, 1};
        });
    }
    return found;
}

bool slot_turns::is_own_turn(std::span<const contender> contenders, const server_name& server,
                             duration unchanged) const {
    const auto server_hash = XXH64(server.value.data(), server.value.size(), 0);
    const double own_score = score_of(contenders.front(), server_hash);
    const auto before = std::count_if(std::next(contenders.begin()), contenders.end(),
                                      [&](const contender& other) { return score_of(other, server_hash) > own_score; });
    const auto turn = std::max<std::int64_t>(0, unchanged / slot_turn);
    return turn % static_cast<std::int64_t>(contenders.size()) == before;
}

}  // namespace verbenahold::serving
