// Blocking HTTP/1.1 over loopback for the stand-ins of the third review: a server with one
// thread for each connection, and a client that tells apart how an answer ended.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct header {
    std::string name;
    std::string value;
};

struct message {
    // The request line's method and target, or the status of an answer.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<header> headers;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const {
        for (const auto& entry : headers) {
            if (entry.name.size() == name.size() && strncasecmp(entry.name.data(), name.data(), name.size()) == 0) {
                return entry.value;
            }
        }
        return {};
    }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("bad address " + ip);
    }
    return address;
}

// Listens on a loopback address; port 0 lets the kernel choose. Returns -1 on failure.
inline int open_listener(const std::string& ip, int port, int backlog = 128) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int port_of(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// A port that was free a moment ago.
inline int free_port(const std::string& ip) {
    const int fd = open_listener(ip, 0);
    const int port = port_of(fd);
    ::close(fd);
    return port;
}

// One connection; reads messages and writes bytes.
class channel {
public:
    explicit channel(int fd) : m_fd(fd) {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~channel() { ::close(m_fd); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel(channel&&) = delete;
    channel& operator=(channel&&) = delete;

    // Time after which a read gives up.
    void set_deadline(steady::time_point deadline) { m_deadline = deadline; }

    bool write(std::string_view bytes) {
        while (!bytes.empty()) {
            const auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Appends what arrives next to the buffer; false at the end, at a reset or a time-out.
    bool read_more() {
        const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - steady::now()).count();
        pollfd waiting{m_fd, POLLIN, 0};
        const int ready = ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, left)));
        if (ready <= 0) {
            m_end = "time-out";
            return false;
        }
        char chunk[16384];
        const auto count = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (count <= 0) {
            m_end = count == 0 ? "closed" : "reset";
            return false;
        }
        m_buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    // Reads a line without its end.
    bool read_line(std::string& line) {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!read_more()) {
                return false;
            }
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool read_bytes(std::size_t count, std::string& bytes) {
        while (m_buffer.size() < count) {
            if (!read_more()) {
                return false;
            }
        }
        bytes.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }

    // Reads the first line and the header of a message.
    bool read_head(message& read) {
        std::string line;
        if (!read_line(line)) {
            return false;
        }
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        if (line.starts_with("HTTP/")) {
            read.status = std::atoi(line.c_str() + first + 1);
        } else {
            read.method = line.substr(0, first);
            read.target = line.substr(first + 1, second - first - 1);
        }
        while (read_line(line)) {
            if (line.empty()) {
                return true;
            }
            const auto colon = line.find(':');
            const auto begin = line.find_first_not_of(' ', colon + 1);
            read.headers.push_back(
                {line.substr(0, colon), begin == std::string::npos ? std::string() : line.substr(begin)});
        }
        return false;
    }

    // Reads the body that the header announces; `on_bytes` gets each part as it comes.
    bool read_body(
        message& read, const std::function<void()>& on_bytes = [] {}) {
        if (strcasecmp(read.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string line;
            while (read_line(line)) {
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                std::string bytes;
                std::string end;
                if (!read_bytes(size, bytes) || !read_line(end)) {
                    return false;
                }
                if (size == 0) {
                    return true;
                }
                read.body += bytes;
                on_bytes();
            }
            return false;
        }
        const auto length = read.field("Content-Length");
        const bool whole = length.empty() || read_bytes(std::strtoul(length.c_str(), nullptr, 10), read.body);
        on_bytes();
        return whole;
    }

    // Ends the connection at once: with a reset, or in order as the end of a process does.
    void end(bool with_reset) {
        if (with_reset) {
            const linger now{1, 0};
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        ::shutdown(m_fd, SHUT_RDWR);
    }

    // Whether the peer has closed or reset the connection.
    [[nodiscard]] bool peer_left() const {
        pollfd waiting{m_fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&waiting, 1, 0) > 0 && (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    // How the last read ended: "closed", "reset" or "time-out".
    [[nodiscard]] const std::string& how_ended() const { return m_end; }

private:
    int m_fd;
    steady::time_point m_deadline = steady::now() + std::chrono::hours(1);
    std::string m_buffer;
    std::string m_end;
};

inline std::string answer_text(int status, const std::vector<header>& headers, std::string_view body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    for (const auto& entry : headers) {
        text += entry.name + ": " + entry.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// Serves each connection on a thread of its own. The handler answers one request; false ends
// the connection.
class http_server {
public:
    using handler = std::function<bool(const message&, const std::shared_ptr<channel>&)>;

    http_server(std::string ip, int port, handler answer, int backlog = 128)
        : m_ip(std::move(ip)), m_answer(std::move(answer)), m_listener(open_listener(m_ip, port, backlog)) {
        if (m_listener < 0) {
            throw std::runtime_error("can't listen");
        }
        m_port = port_of(m_listener);
        m_acceptor = std::thread([this] { accept_all(); });
    }
    ~http_server() { stop(false); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    [[nodiscard]] int port() const { return m_port; }

    // Closes the listener and all connections, as the end of the process would.
    void stop(bool with_reset) {
        if (m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        end_connections(with_reset);
        while (m_running > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    void end_connections(bool with_reset) {
        const std::lock_guard lock(m_mutex);
        for (const auto& weak : m_channels) {
            if (const auto open = weak.lock()) {
                open->end(with_reset);
            }
        }
    }

    // New connections are not accepted while this is set; they wait in the kernel's queue.
    std::atomic<bool> holds_accepts{false};

private:
    void accept_all() {
        while (!m_stopped) {
            pollfd waiting{m_listener, POLLIN, 0};
            if (holds_accepts || ::poll(&waiting, 1, 50) <= 0) {
                if (holds_accepts) {
                    std::this_thread::sleep_for(milliseconds(2));
                }
                continue;
            }
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const auto opened = std::make_shared<channel>(fd);
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_channels, [](const auto& weak) { return weak.expired(); });
                m_channels.push_back(opened);
            }
            ++m_running;
            std::thread([this, opened] {
                serve(opened);
                --m_running;
            }).detach();
        }
    }

    void serve(const std::shared_ptr<channel>& opened) {
        message request;
        while (!m_stopped && opened->read_head(request) && opened->read_body(request)) {
            if (!m_answer(request, opened)) {
                break;
            }
            request = {};
        }
    }

    std::string m_ip;
    handler m_answer;
    int m_listener;
    int m_port = 0;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<channel>> m_channels;
    std::thread m_acceptor;
};

// Connects to "IP:PORT"; null on failure.
inline std::shared_ptr<channel> connect_to(const std::string& address) {
    const auto colon = address.rfind(':');
    const auto target = address_of(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<channel>(fd);
}

struct reply {
    message answer;
    // The answer is complete, however it was framed.
    bool complete = false;
    // "answered", or how it ended otherwise.
    std::string end;
    // When the first bytes of the body came; zero before.
    steady::time_point first_bytes{};
    steady::time_point sent{};
};

inline std::string request_text(const std::string& method, const std::string& target,
                                const std::vector<header>& headers, const std::string& body) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& entry : headers) {
        text += entry.name + ": " + entry.value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// Sends one request on a new connection and reads its answer.
inline reply call(const std::string& address, const std::string& request, milliseconds limit) {
    reply result;
    result.sent = steady::now();
    const auto opened = connect_to(address);
    if (!opened) {
        result.end = "not connected";
        return result;
    }
    opened->set_deadline(result.sent + limit);
    const auto note_bytes = [&] {
        if (result.first_bytes == steady::time_point{} && !result.answer.body.empty()) {
            result.first_bytes = steady::now();
        }
    };
    result.complete =
        opened->write(request) && opened->read_head(result.answer) && opened->read_body(result.answer, note_bytes);
    result.end = result.complete ? "answered" : opened->how_ended();
    return result;
}

}  // namespace review3
