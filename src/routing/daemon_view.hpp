// The daemons that are alive, as known from their heartbeats.
#pragma once

#include "daemon_record.hpp"
#include "store_position.hpp"

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
    // Newest known positions of the store's rows that operators write and of those
    // that servers write.
    store_position operator_rows;
    store_position server_rows;
    // The daemon's calls to the store succeed.
    bool store_in_reach = false;
    // The daemon is shutting down.
    bool leaving = false;
    // Callers are sent to this daemon. Releases without standby hosts are active.
    bool active = true;
    // The daemon sends enough work to servers to be told of others' work: it is
    // active, or was until a moment ago.
    bool shares_work = true;
    double cores = 0;
    // Requests of callers that the daemon receives per second.
    double requests_per_second = 0;
    // The hosts of its zone that should be active, as an active daemon sees it.
    std::vector<std::string> chosen_hosts;
};

inline constexpr duration heartbeat_period = std::chrono::milliseconds(300);
// A daemon without a heartbeat for this long counts as dead. The timeout is five
// heartbeats, so that a few datagrams lost in a row don't matter.
inline constexpr duration daemon_timeout = std::chrono::milliseconds(1'600);
// Timeout of a daemon that stands by, which sends fewer heartbeats.
inline constexpr duration standby_timeout = std::chrono::milliseconds(3'000);
// An active daemon without a heartbeat for this long, three heartbeats, is replaced.
inline constexpr duration active_timeout = std::chrono::milliseconds(950);

// Number of daemons that read changes from the store and pass them on to the
// others. Few, because each call to the store is paid for; with four, one is left
// when a zone and two hosts are lost.
inline constexpr std::size_t store_reader_count = 4;
// A reader without a heartbeat for this long is replaced. The timeout is shorter,
// three heartbeats, since changes go unnoticed while all readers are dead.
inline constexpr duration store_reader_timeout = active_timeout;

class daemon_view {
public:
    struct member {
        daemon_status status;
        time_point last_heard{};
        // Known from another daemon's word only.
        bool is_relayed = false;
    };

    // Takes in a row that a daemon wrote about itself.
    void on_record(const daemon_record& record);
    // Takes in a heartbeat. True if no daemon of this name and boot was alive.
    bool on_status(const daemon_status& status, time_point now);
    // Takes in a heartbeat that another daemon heard at `heard_at`.
    bool on_relayed_status(const daemon_status& status, time_point heard_at);
    // The daemon announced that it is shutting down.
    void on_leaving(const std::string& name);
    // Removes daemons whose heartbeats have stopped. Returns their boots, and those of
    // daemons that have started again since the last call.
    std::vector<std::uint64_t> remove_dead(time_point now);

    // The other daemons of which rows or heartbeats are known, alive or not.
    [[nodiscard]] const std::map<std::string, daemon_record>& records() const { return m_records; }
    [[nodiscard]] const std::map<std::string, member>& members() const { return m_alive; }
    // Changes whenever a daemon comes, goes or changes its part.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    // The other daemons that are alive.
    [[nodiscard]] std::vector<daemon_status> alive() const;
    // Whether this daemon, if it is active, is one of the store's readers, chosen among
    // the active daemons that can reach the store. Each daemon decides on its own view, so there may be
    // a few more readers for a while.
    [[nodiscard]] bool is_store_reader(const std::string& own_name, time_point now) const;
    // Whether this daemon, if it is active, is the one responsible for `subject`, by
    // rendezvous hashing over the live active daemons that accept connections. Until all daemons know
    // of a change, there may be two such daemons or none.
    [[nodiscard]] bool is_responsible(const std::string& own_name, std::string_view subject, time_point now) const;
    // The boots of the other daemons that share work.
    [[nodiscard]] std::vector<std::uint64_t> sharing_boots() const;
    // Number of daemons that share work, including this one.
    [[nodiscard]] int senders() const;
    // Recent maximum of `senders()`: daemons that can't be heard may still be
    // sending.
    [[nodiscard]] int recent_max_senders(time_point now);

private:
    bool take_in(const daemon_status& status, time_point heard_at, bool is_relayed);

    std::map<std::string, daemon_record> m_records;
    std::map<std::string, member> m_alive;
    std::vector<std::uint64_t> m_replaced_boots;
    std::uint64_t m_revision = 0;
    int m_peak = 1;
    time_point m_peak_at{};
};

}  // namespace verbenahold::serving
