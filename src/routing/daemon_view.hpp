// The daemons that are alive, from what each says of itself at short
// intervals.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

// Names one start of one daemon: differs between hosts that start in the same
// microsecond and between starts of one host.
std::uint64_t boot_number(const std::string& host, std::uint64_t started_unix_us);

// What a daemon says of itself.
struct daemon_status {
    // Differs with each start of a daemon.
    std::uint64_t boot = 0;
    std::string name;
    zone_name zone;
    // Address for callers.
    std::string front_address;
    // Address for other daemons, TCP and UDP.
    std::string peer_address;
    // Takes new callers.
    bool accepting = false;
    // Versions of the newest rows it knows of what operators and of what
    // servers write.
    std::uint64_t operator_rows_version = 0;
    std::uint64_t server_rows_version = 0;
    // Its calls to the store succeed.
    bool store_in_reach = false;
};

inline constexpr duration heartbeat_period = std::chrono::milliseconds(300);
// A daemon that was silent for this long counts as dead: five heartbeats, so
// that a few lost datagrams in a row don't matter.
inline constexpr duration silence_of_the_dead = std::chrono::milliseconds(1'600);

// Daemons that read the store's changes; the others learn of them from these.
// Each call is paid for, and four leave one when a zone and two hosts are lost.
inline constexpr std::size_t store_readers = 4;
// A reader that was silent for this long is replaced: three heartbeats, since
// changes go unnoticed while all readers are dead.
inline constexpr duration silence_of_readers = std::chrono::milliseconds(950);

class daemon_view {
public:
    // True if the daemon wasn't known as alive under this boot.
    bool on_status(const daemon_status& status, time_point now);
    // The daemon says that it ends.
    void on_leaving(const std::string& name);
    // Boots of daemons that fell silent since the last call.
    std::vector<std::uint64_t> take_dead(time_point now);

    // Daemons that are alive, without this one.
    [[nodiscard]] std::vector<daemon_status> alive() const;
    // Whether the daemon of this name is one that reads the store, among those
    // that reach it. Each daemon decides alone; a few more may read for a while.
    [[nodiscard]] bool is_store_reader(const std::string& own_name, time_point now) const;
    // Whether this daemon, of those alive, is the one that sees to `subject`.
    // Two may for a while, or none, until all have heard of a change.
    [[nodiscard]] bool is_responsible(const std::string& own_name, std::string_view subject, time_point now) const;
    // All daemons that may send requests, this one included.
    [[nodiscard]] int senders() const { return static_cast<int>(m_alive.size()) + 1; }
    // Largest number of senders seen lately: daemons that can't be heard may
    // still send.
    [[nodiscard]] int senders_lately(time_point now);

private:
    struct member {
        daemon_status status;
        time_point last_heard{};
    };

    std::map<std::string, member> m_alive;
    int m_peak = 1;
    time_point m_peak_at{};
};

}  // namespace verbenahold::serving
