// Kept connections to backend servers, so that most requests need no new one.
#pragma once

#include "loop_timers.hpp"
#include "server_connection.hpp"

#include <map>
#include <vector>

namespace verbenahold::serving {

// Idle time after which a kept connection is no longer used when the server
// announces none: servers may drop idle connections silently.
inline constexpr duration default_idle_time = std::chrono::seconds(4);
// Idle time up to which a request that may run only once is sent on a kept
// connection: the server can't have closed it for idleness yet.
inline constexpr duration idle_time_for_single_runs = std::chrono::milliseconds(300);

class connection_pool {
public:
    connection_pool(boost::asio::io_context& loop, loop_timers& timers) : m_loop(loop), m_timers(timers) {}

    // A kept connection that was idle for at most `longest_idle`, or a new one.
    std::shared_ptr<server_connection> take(const std::string& address, duration longest_idle);
    // Keeps the connection if it can be used again.
    void put_back(const std::shared_ptr<server_connection>& connection);
    // Closes what has been idle for too long.
    void expire();
    // Closes the idle connections to an address that is no longer used.
    void drop(const std::string& address);
    // Connections made so far.
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
