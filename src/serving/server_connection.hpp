// One outgoing TCP connection, which carries one HTTP request at a time.
#pragma once

#include "answer_parser.hpp"
#include "handler_guard.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace verbenahold::serving {

// The connection was not established, so the request was not sent.
struct not_connected {
    std::string reason;
};
// The answer is missing or incomplete. The request may have been run.
struct answer_missing {
    std::string reason;
    // The server, or its host, ended the connection; otherwise bytes were lost on the
    // way.
    bool ended_by_server = false;
};
// The received bytes are no valid answer.
struct answer_broken {
    std::string reason;
};
using call_failure = std::variant<not_connected, answer_missing, answer_broken>;

std::string_view failure_reason(const call_failure& failure);

struct outgoing_request {
    // A complete serialized HTTP/1.1 request.
    std::string bytes;
    bool is_head = false;
    // Names the request in log lines.
    std::string name;
};

// Callbacks of one request. None is called after on_complete or on_failure.
struct answer_callbacks {
    // Returns false if the answer belongs to another request; it is skipped.
    std::function<bool(const http_answer_head&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void()> on_complete;
    std::function<void(const call_failure&)> on_failure;
};

class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(boost::asio::io_context& loop, handler_guard& guard, std::string address);

    // Sends the request; connects first if needed.
    void send(outgoing_request request, answer_callbacks callbacks);
    // Closes the connection without further callbacks; with a reset during a
    // request, so that the peer notices at once.
    void close();

    // Stops or resumes reading: backpressure from a slow caller to the server.
    void pause_reading(bool paused);

    [[nodiscard]] const std::string& address() const { return m_address; }
    // The connection is open and idle, and no unexpected bytes came on it.
    [[nodiscard]] bool is_reusable() const { return m_reusable && m_socket.is_open(); }
    // The last answer was ended by nothing but the end of the connection.
    [[nodiscard]] bool answer_ended_with_connection() const { return m_parser.ends_with_connection(); }
    // Number of requests that this connection carried before the current one.
    [[nodiscard]] int earlier_requests() const { return m_requests - 1; }
    // Name of the request before the current one; empty if there was none.
    [[nodiscard]] const std::string& previous_request() const { return m_previous_request; }
    // Lifetime of an idle connection that the server announced, in seconds; 0
    // if it announced none.
    [[nodiscard]] int announced_idle_seconds() const { return m_idle_seconds; }

private:
    // Runs a handler; an exception counts as a broken answer.
    template <class Work>
    void contained(Work&& work);
    void connect();
    void write();
    void read();
    void on_written(const boost::system::error_code& error);
    void on_read(const boost::system::error_code& error, std::size_t count);
    void on_input_end(const boost::system::error_code& reason);
    void handle_progress(answer_parser::progress progress);
    void finish();
    void fail(const call_failure& failure);
    void set_options();

    boost::asio::ip::tcp::socket m_socket;
    handler_guard& m_guard;
    std::string m_address;
    std::string m_output;
    std::string m_current_request;
    std::string m_previous_request;
    std::array<char, 16'384> m_chunk{};
    answer_parser m_parser;
    answer_callbacks m_callbacks;
    // Why the connection broke off, if the write found out.
    boost::system::error_code m_write_error;
    bool m_busy = false;
    bool m_connected = false;
    bool m_closed = false;
    bool m_writing = false;
    bool m_reading = false;
    bool m_paused = false;
    // Sent bytes may stay unacknowledged for any time.
    bool m_limit_lifted = false;
    bool m_head_reported = false;
    bool m_skipping = false;
    bool m_reusable = false;
    bool m_head_request = false;
    int m_requests = 0;
    int m_idle_seconds = 0;
};

// Parses "IP:PORT"; returns port 0 of the unspecified address if malformed.
boost::asio::ip::tcp::endpoint endpoint_of(std::string_view address);

}  // namespace verbenahold::serving
