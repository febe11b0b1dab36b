// Runs several membership objects that exchange messages in virtual time, for tests of
// membership alone. Messages can be lost and the group partitioned. If
// VERBENAHOLD_TRACE is set, prints every change of state.
#pragma once

#include "membership.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace verbenahold::testing {

// Returns and prints the seed of a test: VERBENAHOLD_SEED, or the given default.
std::uint64_t read_seed(std::uint64_t default_seed);

// Settings of host entry-`number`; the zones zone-0 to zone-2 alternate.
entry_settings settings_for(std::size_t number, std::uint64_t incarnation, std::uint64_t seed);
host_entry host_entry_for(const entry_settings& settings, host_state state = host_state::live);
// A backend server of a service in a zone.
host_entry server_entry(const std::string& name, const std::string& zone, const std::string& service = "shade-llm");

class member_group {
public:
    member_group(std::size_t count, std::uint64_t seed);

    void run_for(duration time);
    // Stops a daemon, or starts it again with a higher incarnation.
    void stop(std::size_t number);
    void start(std::size_t number);
    // A paused daemon handles no messages or ticks; its messages are delivered later.
    void pause(std::size_t number, bool paused);
    // Messages between different sides are lost. All daemons start on side 0.
    void put_on_side(std::size_t number, int side);
    void set_loss(double probability) { m_loss = probability; }

    membership& at(std::size_t number) { return *m_daemons[number].members; }
    [[nodiscard]] time_point now() const { return m_now; }
    // Number of other daemons that are alive or suspect in the view of `number`.
    std::size_t live_count(std::size_t number);
    [[nodiscard]] std::uint64_t messages_sent() const { return m_messages_sent; }

private:
    struct daemon {
        entry_settings settings;
        std::unique_ptr<membership> members;
        bool paused = false;
        int side = 0;
    };
    struct delivery {
        time_point at;
        std::uint64_t order = 0;
        std::size_t to = 0;
        daemon_id from;
        peer_message message;
        bool operator>(const delivery& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void send(std::size_t from, std::vector<entry_command>& commands);
    void deliver(const delivery& next);
    void tick(std::size_t number);

    std::mt19937_64 m_random;
    std::vector<daemon> m_daemons;
    bool m_trace_enabled;
    std::map<std::string, std::size_t> m_number_by_address;
    std::vector<host_entry> m_hosts;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    std::uint64_t m_messages_sent = 0;
    std::uint64_t m_incarnation = 1;
    double m_loss = 0;
    time_point m_now{std::chrono::seconds(1)};
    time_point m_next_host_list = m_now;
};

}  // namespace verbenahold::testing
