#include "server_connection.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <charconv>
#include <utility>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;

// TCP_USER_TIMEOUT: the connection fails when sent bytes stay unacknowledged for
// this long. A reachable host acknowledges within milliseconds, and two
// retransmissions fit in.
constexpr unsigned unacknowledged_ms = 1'000;
// The kernel applies that limit also to a server that does not read, once the server's
// receive buffer is full. Longer requests than this may fill it, so they have no such limit: a
// sound server may read a body late, and the caller's time limit ends the wait.
constexpr std::size_t max_bytes_with_limit = 32UL * 1024;
constexpr unsigned no_limit = 0;
// TCP keepalive: idle time before the first probe, probe period and count.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_period_seconds = 1;
constexpr int keepalive_probes = 2;

template <class Value>
void set_tcp_option(tcp::socket& socket, int option, Value value) {
    // Without an option a dead peer is only detected later, so a failure to set
    // it is ignored.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
}

int idle_seconds_of(const header_fields& fields) {
    const auto text = field_value(fields, "Keep-Alive");
    const auto found = text.find("timeout=");
    if (found == std::string_view::npos) {
        return 0;
    }
    int seconds = 0;
    std::from_chars(text.data() + found + 8, text.data() + text.size(), seconds);
    return seconds;
}

}  // namespace

tcp::endpoint endpoint_of(std::string_view address) {
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    unsigned short port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(std::string(address.substr(0, colon)), error);
    if (error) {
        return {};
    }
    return {ip, port};
}

std::string_view failure_reason(const call_failure& failure) {
    return std::visit([](const auto& which) -> std::string_view { return which.reason; }, failure);
}

server_connection::server_connection(boost::asio::io_context& loop, handler_guard& guard, std::string address)
    : m_socket(loop), m_guard(guard), m_address(std::move(address)) {}

template <class Work>
void server_connection::contained(Work&& work) {
    m_guard.run({"server connection", m_address}, work, [this] { fail(answer_broken{"the answer can't be handled"}); });
}

void server_connection::send(outgoing_request request, answer_callbacks callbacks) {
    m_callbacks = std::move(callbacks);
    m_output = std::move(request.bytes);
    m_previous_request = std::exchange(m_current_request, std::move(request.name));
    m_busy = true;
    m_reusable = false;
    m_head_reported = false;
    m_skipping = false;
    m_head_request = request.is_head;
    ++m_requests;
    m_parser.restart(request.is_head);
    // The limit stays lifted: a kept connection may still hold a body that was not read.
    const bool lifts_limit = m_output.size() > max_bytes_with_limit && !std::exchange(m_limit_lifted, true);
    if (m_connected) {
        if (lifts_limit) {
            set_tcp_option(m_socket, TCP_USER_TIMEOUT, no_limit);
        }
        write();
    } else {
        connect();
    }
}

void server_connection::connect() {
    const auto endpoint = endpoint_of(m_address);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->fail(not_connected{error.message()});
            return;
        }
        self->contained([&] {
            self->m_connected = true;
            self->set_options();
            self->write();
            self->read();
        });
    });
}

void server_connection::set_options() {
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(m_socket, TCP_USER_TIMEOUT, m_limit_lifted ? no_limit : unacknowledged_ms);
    set_tcp_option(m_socket, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_tcp_option(m_socket, TCP_KEEPINTVL, keepalive_period_seconds);
    set_tcp_option(m_socket, TCP_KEEPCNT, keepalive_probes);
}

void server_connection::write() {
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_output),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                                 self->m_writing = false;
                                 self->on_written(error);
                             });
}

// A failed write does not end the request: the read still gets what the server sent before.
// The kernel reports a reset or a timeout only once, here or to the read, which otherwise
// sees a mere end. A broken pipe is no such report: the server's end came in order before.
void server_connection::on_written(const boost::system::error_code& error) {
    if (!error) {
        m_output = {};
    } else if (error != boost::asio::error::broken_pipe) {
        m_write_error = error;
    }
}

void server_connection::read() {
    if (m_reading || m_paused || m_closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                                 self->m_reading = false;
                                 if (!self->m_closed) {
                                     self->contained([&] { self->on_read(error, count); });
                                 }
                             });
}

void server_connection::pause_reading(bool paused) {
    m_paused = paused;
    if (!paused && m_connected) {
        read();
    }
}

void server_connection::on_read(const boost::system::error_code& error, std::size_t count) {
    if (!m_busy) {
        // Unsolicited bytes, or the peer closed an idle connection.
        close();
        return;
    }
    if (!error) {
        handle_progress(m_parser.feed({m_chunk.data(), count}));
        return;
    }
    on_input_end(error == boost::asio::error::eof && m_write_error ? m_write_error : error);
}

void server_connection::on_input_end(const boost::system::error_code& reason) {
    if (reason != boost::asio::error::eof) {
        fail(answer_missing{reason.message(), reason == boost::asio::error::connection_reset});
        return;
    }
    const auto progress = m_parser.feed_end();
    if (progress == answer_parser::progress::complete) {
        handle_progress(progress);
        return;
    }
    fail(answer_missing{m_parser.fault(), true});
}

void server_connection::handle_progress(answer_parser::progress progress) {
    const auto self = shared_from_this();
    if (progress == answer_parser::progress::broken) {
        fail(answer_broken{m_parser.fault()});
        return;
    }
    if (m_parser.has_head() && !m_head_reported) {
        m_head_reported = true;
        m_idle_seconds = idle_seconds_of(m_parser.head().fields);
        m_skipping = !m_callbacks.on_head(m_parser.head());
        if (m_closed || !m_busy) {
            return;
        }
    }
    auto body = m_parser.take_body();
    if (!body.empty() && !m_skipping) {
        m_callbacks.on_body(std::move(body));
        if (m_closed || !m_busy) {
            return;
        }
    }
    if (progress == answer_parser::progress::complete) {
        finish();
        return;
    }
    read();
}

void server_connection::finish() {
    if (m_skipping) {
        if (!m_parser.keep_alive()) {
            fail(answer_missing{"the connection ended after another request's answer", false});
            return;
        }
        m_skipping = false;
        m_head_reported = false;
        m_parser.restart(m_head_request);
        handle_progress(m_parser.feed({}));
        return;
    }
    m_reusable = m_parser.keep_alive() && !m_parser.has_surplus() && !m_writing;
    m_busy = false;
    // A pause holds for one answer.
    m_paused = false;
    const auto done = std::move(m_callbacks.on_complete);
    m_callbacks = {};
    if (!m_reusable) {
        close();
    } else {
        read();
    }
    done();
}

void server_connection::fail(const call_failure& failure) {
    const auto failed = std::move(m_callbacks.on_failure);
    const bool busy = m_busy;
    close();
    if (busy && failed) {
        failed(failure);
    }
}

void server_connection::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_reusable = false;
    boost::system::error_code ignored;
    if (m_busy && m_connected) {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    m_busy = false;
    // One of the callbacks may be running, so they are destroyed later, from the
    // loop.
    boost::asio::post(m_socket.get_executor(), [ended = std::exchange(m_callbacks, {})] {});
    m_socket.close(ignored);
}

}  // namespace verbenahold::serving
