// A small HTTP server for requests that are answered synchronously from memory:
// readiness, directory, metrics and table changes for other daemons.
#pragma once

#include "http_types.hpp"
#include "loop_timers.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace verbenahold::serving {

// Delay after a failed accept: when descriptors or memory run out, an immediate
// retry would use a whole CPU.
inline constexpr duration accept_retry_delay = std::chrono::milliseconds(50);

using service_handler = std::function<http_answer(const http_request&)>;

class service_session;

class service_listener {
public:
    service_listener(boost::asio::io_context& loop, loop_timers& timers, service_handler handler);
    ~service_listener();
    service_listener(const service_listener&) = delete;
    service_listener& operator=(const service_listener&) = delete;
    service_listener(service_listener&&) = delete;
    service_listener& operator=(service_listener&&) = delete;

    // Listens on "IP:PORT". False, with the reason in `fault`, if it can't.
    bool listen(const std::string& address, std::string& fault);

private:
    void accept();

    loop_timers& m_timers;
    service_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

// Opens, binds and listens; false, with the reason in `fault`, if it can't.
bool open_listener(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, std::string& fault);

// Serializes an answer with Content-Length.
std::string answer_bytes(const http_answer& answer, bool close, bool head_only);
// Serializes the head of an answer whose body has `body_bytes` bytes.
std::string answer_head_bytes(const http_answer_head& head, std::size_t body_bytes, bool close);

}  // namespace verbenahold::serving
