// Exchanges UDP datagrams with the other daemons: each daemon's status, the work
// that it sends to servers and what it learned about servers and requests. Lost
// datagrams have no lasting effect: statuses repeat and work expires.
#pragma once

#include "gateway_state.hpp"
#include "trait_assembly.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenahold::serving::wire {
class Datagram;
class WorkUpdate;
}  // namespace verbenahold::serving::wire

namespace verbenahold::serving {

// Updates are batched for this long, so that several share a datagram.
inline constexpr duration batching_delay = std::chrono::milliseconds(1);
// Largest payload that common networks carry without fragmentation.
inline constexpr std::size_t max_datagram_bytes = 1'300;

class peer_link {
public:
    // `own_status` is called for each status that is sent.
    peer_link(gateway_state& state, std::function<daemon_status()> own_status);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;

    bool open(const std::string& address, std::string& fault);
    void close();
    // Sends this daemon's status to the daemons that need it now.
    void send_status();
    // Sends the statuses of the active daemons of other zones, as heard from
    // themselves, to the daemons of this zone that stand by.
    void relay_statuses();

    void send_work(const work_update& update);
    void send_trouble(const server_name& server);
    void send_report(const server_report& report);
    void send_crash(const crash_observation& crash);
    void send_limit(const limit_statement& limit);
    void send_leaving(const leaving_statement& leaving);
    void send_waiting(int weight);
    void send_sound_request(std::span<const request_trait> traits, time_point began);

private:
    void receive();
    void handle_datagram(std::size_t size);
    void handle_status(const daemon_status& status, time_point heard_at, bool is_relayed);
    void handle_crash_knowledge(const wire::Datagram& datagram, time_point now);
    // Adds the known blocks and recent crashes, as far as the datagram has room. Daemons
    // that start or missed a datagram learn them from the heartbeats of any other.
    void add_crash_knowledge(wire::Datagram& datagram, time_point now);
    // The same for what servers stated of themselves.
    void add_statements(wire::Datagram& datagram, time_point now);
    void apply_work_update(std::uint64_t boot, const wire::WorkUpdate& update);
    // Tells a daemon that has begun to share work of this daemon's requests in progress. It
    // would take the servers for idle otherwise, and place many prompts on the same ones.
    void tell_open_work(const daemon_status& status);
    // Records the prefixes that a server has prefilled according to another daemon.
    void note_prefixes(const wire::WorkUpdate& update);
    // Sends the batched updates at once if they fill half a datagram, else after
    // the batching delay.
    void schedule_flush();
    void flush();
    void send(const wire::Datagram& datagram, std::span<const std::string> addresses);
    // The endpoint of an address; port 0 if the address is malformed.
    const boost::asio::ip::udp::endpoint& endpoint_at(const std::string& address);
    [[nodiscard]] std::span<const std::string> work_targets();

    gateway_state& m_state;
    std::function<daemon_status()> m_own_status;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 4'096> m_buffer{};
    std::unordered_map<std::string, boost::asio::ip::udp::endpoint> m_endpoints;
    // Valid for this revision of the view of daemons.
    std::vector<std::string> m_work_targets;
    std::uint64_t m_targets_revision = 0;
    std::unique_ptr<wire::Datagram> m_batch;
    std::string m_own_address;
    bool m_flush_scheduled = false;
    // Sets of traits that arrive in parts.
    trait_assembly m_trait_sets;
    // The boots of the daemons that were told of work in progress, by name.
    std::unordered_map<std::string, std::uint64_t> m_told_of_open_work;
    // Where the next heartbeat begins in the lists of blocks and of statements, if not
    // all have room.
    std::size_t m_first_block = 0;
    std::size_t m_first_crash = 0;
    std::size_t m_first_block_part = 0;
    std::size_t m_first_crash_part = 0;
    std::size_t m_first_leaving = 0;
    std::size_t m_first_limit = 0;
};

}  // namespace verbenahold::serving
