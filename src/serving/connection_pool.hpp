// Pool of idle outgoing connections, so that most requests need no new one.
#pragma once

#include "loop_timers.hpp"
#include "server_connection.hpp"

#include <map>
#include <vector>

namespace verbenahold::serving {

// Idle time after which a connection is not reused, if the server announces no
// limit: servers may drop idle connections silently.
inline constexpr duration default_max_idle_time = std::chrono::seconds(4);
// Maximum idle time of a pooled connection for a request that may run only once.
// It is so short that the server can't have closed the connection for idleness.
inline constexpr duration max_idle_time_for_single_runs = std::chrono::milliseconds(300);

class connection_pool {
public:
    connection_pool(boost::asio::io_context& loop, loop_timers& timers) : m_loop(loop), m_timers(timers) {}

    // Returns a pooled connection that was idle for less than `max_idle`, or a
    // new one.
    std::shared_ptr<server_connection> take(const std::string& address, duration max_idle);
    // Returns a new connection.
    std::shared_ptr<server_connection> open(const std::string& address);
    // Adds the connection to the pool if it is reusable.
    void put_back(const std::shared_ptr<server_connection>& connection);
    // Closes connections that have been idle for too long.
    void expire();
    // Closes the idle connections to an address.
    void drop(const std::string& address);
    // Number of connections created so far.
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    struct idle_connection {
        std::shared_ptr<server_connection> connection;
        time_point since{};
    };
    [[nodiscard]] static duration lifetime(const server_connection& connection);

    boost::asio::io_context& m_loop;
    loop_timers& m_timers;
    std::map<std::string, std::vector<idle_connection>> m_idle;
    std::uint64_t m_opened = 0;
};

}  // namespace verbenahold::serving
