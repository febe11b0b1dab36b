// Coroutines on Boost.Asio, and times of a soak run.
#pragma once

// Boost 1.74 uses std::exchange in awaitable.hpp without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <string_view>

namespace verbenahold::soak {

using boost::asio::awaitable;
using boost::asio::io_context;
using boost::asio::steady_timer;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Milliseconds since the start of the run.
double now_ms();
// A time of the run with the time of day beside it, as daemons log it.
std::string time_text(double at_ms);

awaitable<void> pause_ms(double milliseconds);

// Writes all bytes, which the caller keeps; false if the connection failed.
awaitable<bool> write_all(tcp::socket& socket, std::string_view bytes);

// Lets one coroutine wait until another one notifies it, or until a time limit.
class wakeup {
public:
    explicit wakeup(io_context& loop) : m_timer(loop) {}
    void notify() { m_timer.cancel(); }
    // Returns early when notified. Callers check their condition in a loop.
    awaitable<void> wait_until(double at_ms);

private:
    steady_timer m_timer;
};

}  // namespace verbenahold::soak
