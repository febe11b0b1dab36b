#include "service_listener.hpp"

#include "log_line.hpp"
#include "request_reader.hpp"
#include "server_connection.hpp"

#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;

// A connection that receives nothing for this long is closed.
constexpr duration max_idle = std::chrono::seconds(30);
// Requests to these listeners need no body.
constexpr request_bounds service_bounds{16'384, 4'096};

std::string_view reason_of(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 408:
            return "Request Timeout";
        case 413:
            return "Payload Too Large";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

}  // namespace

std::string answer_head_bytes(const http_answer_head& head, std::size_t body_bytes, bool close) {
    const auto reason = head.reason.empty() ? reason_of(head.status) : head.reason;
    std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    bytes.append(reason).append("\r\n");
    for (const auto& field : head.fields) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    bytes.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
    if (close) {
        bytes.append("Connection: close\r\n");
    }
    return bytes.append("\r\n");
}

std::string answer_bytes(const http_answer& answer, bool close, bool head_only) {
    auto bytes = answer_head_bytes(answer.head, answer.body.size(), close);
    if (!head_only) {
        bytes.append(answer.body);
    }
    return bytes;
}

bool open_listener(tcp::acceptor& acceptor, const std::string& address, std::string& fault) {
    const auto endpoint = endpoint_of(address);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        fault = "can't listen on " + address + ": " + error.message();
        return false;
    }
    return true;
}

// One connection, owned by its pending read or write.
class service_session : public std::enable_shared_from_this<service_session> {
public:
    service_session(tcp::socket socket, loop_timers& timers, service_handler handler)
        : m_socket(std::move(socket)), m_timers(timers), m_handler(std::move(handler)), m_reader(service_bounds) {}

    void read() {
        watch_idleness();
        m_socket.async_read_some(
            boost::asio::buffer(m_chunk),
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                self->m_timers.unsubscribe(self->m_idle);
                if (!error) {
                    self->contained([&] {
                        self->m_reader.feed({self->m_chunk.data(), count});
                        self->answer_next();
                    });
                }
            });
    }

private:
    // Runs a handler; an exception closes the connection.
    template <class Work>
    void contained(Work&& work) {
        m_timers.guard().run({"service connection", {}}, work, [this] {
            boost::system::error_code ignored;
            m_socket.close(ignored);
        });
    }

    void watch_idleness() {
        m_idle = m_timers.after(max_idle, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                boost::system::error_code ignored;
                self->m_socket.close(ignored);
            }
        });
    }

    void answer_next() {
        const auto state = m_reader.state();
        if (state == request_reader::progress::incomplete) {
            read();
            return;
        }
        bool close = true;
        bool head_only = false;
        http_answer answer{{m_reader.fault_status(), {}, {}}, {}};
        if (state == request_reader::progress::complete) {
            close = !m_reader.keep_alive();
            const auto request = m_reader.take_request();
            head_only = request.method == "HEAD";
            answer = m_handler(request);
        }
        m_output = answer_bytes(answer, close, head_only);
        boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output),
            [self = shared_from_this(), close](const boost::system::error_code& error, std::size_t) {
                if (!error && !close) {
                    self->contained([&] {
                        self->m_reader.feed({});
                        self->answer_next();
                    });
                }
            });
    }

    tcp::socket m_socket;
    loop_timers& m_timers;
    service_handler m_handler;
    request_reader m_reader;
    std::array<char, 8'192> m_chunk{};
    std::string m_output;
    loop_timers::subscription m_idle{};
};

service_listener::service_listener(boost::asio::io_context& loop, loop_timers& timers, service_handler handler)
    : m_timers(timers), m_handler(std::move(handler)), m_acceptor(loop) {}

service_listener::~service_listener() = default;

bool service_listener::listen(const std::string& address, std::string& fault) {
    if (!open_listener(m_acceptor, address, fault)) {
        return false;
    }
    accept();
    return true;
}

void service_listener::accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            log_line("service connection not accepted").add("reason", error.message()).warn();
            m_timers.after(accept_retry_delay, [this] { accept(); });
            return;
        }
        m_timers.guard().run({"service connection", {}}, [&] {
            std::make_shared<service_session>(std::move(socket), m_timers, m_handler)->read();
        });
        accept();
    });
}

}  // namespace verbenahold::serving
