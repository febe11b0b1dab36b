// Exchanges UDP datagrams with the other daemons: each daemon's status, the work
// that it sends to servers and what it learned about servers and requests. Lost
// datagrams have no lasting effect: statuses repeat and work expires.
#pragma once

#include "gateway_state.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>

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
    // Adds the address of another daemon as a destination; ignores known ones
    // and this daemon's own.
    void add_address(const std::string& address);
    void send_status();

    void send_work(const work_update& update);
    void send_trouble(const server_name& server);
    void send_report(const server_report& report);
    void send_death(std::uint64_t fingerprint, int deaths);

private:
    void receive();
    void handle_datagram(std::size_t size);
    void apply_work_update(std::uint64_t boot, const wire::WorkUpdate& update);
    // Sends the batched updates at once if they fill half a datagram, else after
    // the batching delay.
    void schedule_flush();
    void flush();
    void send_to_all(const wire::Datagram& datagram);

    gateway_state& m_state;
    std::function<daemon_status()> m_own_status;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 4'096> m_buffer{};
    std::map<std::string, boost::asio::ip::udp::endpoint> m_peers;
    std::unique_ptr<wire::Datagram> m_batch;
    std::string m_own_address;
    bool m_flush_scheduled = false;
};

}  // namespace verbenahold::serving
