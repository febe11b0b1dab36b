// The daemons that are alive, as known from their heartbeats.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

// Identifies one start of one daemon. Differs between hosts that start in the same
// microsecond, and between starts on the same host.
std::uint64_t make_boot_id(const std::string& host, std::uint64_t started_unix_us);

// Heartbeat of a daemon.
struct daemon_status {
    // See make_boot_id.
    std::uint64_t boot = 0;
    std::string name;
    zone_name zone;
    // Address for callers.
    std::string front_address;
    // Address for other daemons, TCP and UDP.
    std::string peer_address;
    // Accepts new connections from callers.
    bool accepting = false;
    // Newest known versions of the store's rows that operators write and of those
    // that servers write.
    std::uint64_t operator_rows_version = 0;
    std::uint64_t server_rows_version = 0;
    // The daemon's calls to the store succeed.
    bool store_in_reach = false;
};

inline constexpr duration heartbeat_period = std::chrono::milliseconds(300);
// A daemon without a heartbeat for this long counts as dead. The timeout is five
// heartbeats, so that a few datagrams lost in a row don't matter.
inline constexpr duration daemon_timeout = std::chrono::milliseconds(1'600);

// Number of daemons that read changes from the store and pass them on to the
// others. Few, because each call to the store is paid for; with four, one is left
// when a zone and two hosts are lost.
inline constexpr std::size_t store_reader_count = 4;
// A reader without a heartbeat for this long is replaced. The timeout is shorter,
// three heartbeats, since changes go unnoticed while all readers are dead.
inline constexpr duration store_reader_timeout = std::chrono::milliseconds(950);

class daemon_view {
public:
    // Takes in a heartbeat. True if no daemon of this name and boot was alive.
    bool on_status(const daemon_status& status, time_point now);
    // The daemon announced that it is shutting down.
    void on_leaving(const std::string& name);
    // Removes daemons whose heartbeats have stopped and returns their boots.
    std::vector<std::uint64_t> remove_dead(time_point now);

    // The other daemons that are alive.
    [[nodiscard]] std::vector<daemon_status> alive() const;
    // Whether this daemon is one of the store's readers, chosen among the daemons
    // that can reach the store. Each daemon decides on its own view, so there may be
    // a few more readers for a while.
    [[nodiscard]] bool is_store_reader(const std::string& own_name, time_point now) const;
    // Whether this daemon is the one responsible for `subject`, by rendezvous
    // hashing over the live daemons that accept connections. Until all daemons know
    // of a change, there may be two such daemons or none.
    [[nodiscard]] bool is_responsible(const std::string& own_name, std::string_view subject, time_point now) const;
    // Number of daemons that may send requests, including this one.
    [[nodiscard]] int senders() const { return static_cast<int>(m_alive.size()) + 1; }
    // Recent maximum of `senders()`: daemons that can't be heard may still be
    // sending.
    [[nodiscard]] int recent_max_senders(time_point now);

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
