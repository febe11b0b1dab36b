// Small stand-ins for the cases of the review: the platform's store, workers, clients and
// the platform that starts a serving daemon. They use blocking sockets on loopback
// addresses, one thread for each connection, and only the system's C and C++ libraries.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

// Milliseconds since the start of the case.
double now_ms();
void sleep_ms(double milliseconds);
// False if TROUBLE=0: the case runs without its disruption.
bool with_trouble();

// Adds what was sent, answered and run to a file, one line each, with the time in front.
class recorder {
public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;
    recorder(recorder&&) = delete;
    recorder& operator=(recorder&&) = delete;
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

using fields = std::vector<std::pair<std::string, std::string>>;

// An HTTP request or answer. `start` holds the words of the first line.
struct message {
    std::vector<std::string> start;
    fields head;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const;
    [[nodiscard]] const std::string& method() const { return start.at(0); }
    [[nodiscard]] const std::string& target() const { return start.at(1); }
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string attempt_id() const { return field("Verbenahold-Attempt-Id"); }
};

// One end of a TCP connection.
class channel {
public:
    explicit channel(int descriptor);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel(channel&&) = delete;
    channel& operator=(channel&&) = delete;

    // False if the peer has closed the connection.
    bool send(std::string_view bytes);
    // Reads a message whose body has a length or chunks. Empty if the connection ended or
    // the time was over before the message was complete.
    std::optional<message> read(double limit_ms);
    // Bytes of a message that broke off, from the last call of read().
    [[nodiscard]] const std::string& remainder() const { return m_input; }
    // The connection has ended, by an orderly end or by a reset.
    [[nodiscard]] bool ended() const { return m_ended; }
    // The bytes that were read are no HTTP message.
    [[nodiscard]] bool malformed() const { return m_malformed; }
    // True if the peer has closed the connection, without waiting.
    [[nodiscard]] bool peer_left() const;
    // Tells this channel from all others, also closed ones.
    [[nodiscard]] std::uint64_t serial() const { return m_serial; }
    void close();

private:
    bool fill(double deadline);
    std::optional<std::size_t> find(std::string_view wanted, std::size_t from, double deadline);
    bool read_chunks(std::size_t position, std::string& body, std::size_t& end, double deadline);

    int m_descriptor;
    std::uint64_t m_serial;
    std::string m_input;
    bool m_ended = false;
    bool m_malformed = false;
};

// Connects to "IP:PORT"; null if that fails.
std::shared_ptr<channel> connect_to(const std::string& address, double limit_ms = 1'000);

// Listens on a free port of 127.0.0.1. The handler returns false to end the connection.
class listener {
public:
    using handler = std::function<bool(channel&, const message&)>;

    explicit listener(handler answer);
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    handler m_handler;
    std::string m_address;
};

std::string answer_text(int status, const fields& head, std::string_view body);
std::string chunk_text(std::string_view bytes);

// The platform's store: tables of rows, lists, long polls and transactions.
class store {
public:
    store();
    [[nodiscard]] const std::string& address() const { return m_listener->address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    bool answer(channel& peer, const message& request);
    void apply(const std::string& body);
    std::string page(const std::string& table, std::uint64_t after, bool changes_only, bool& has_rows);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 1;
    std::unique_ptr<listener> m_listener;
};

// Says of each worker that it is ready, by a row of the table `servers`.
std::string worker_row(const std::string& service, const std::string& address, int slots,
                       const std::string& state = "ready");
std::string report_body(int running, long kv_used);

// A serving daemon, started as the deploy file says.
class serving_daemon {
public:
    // `command` is the deploy file's `run` line.
    serving_daemon(const std::string& command, const std::string& name, const std::string& folder, const store& rows);
    ~serving_daemon();
    serving_daemon(const serving_daemon&) = delete;
    serving_daemon& operator=(const serving_daemon&) = delete;
    serving_daemon(serving_daemon&&) = delete;
    serving_daemon& operator=(serving_daemon&&) = delete;

    // False if the daemon isn't ready in time.
    [[nodiscard]] bool wait_until_ready(double limit_ms = 15'000) const;
    void signal(int number) const;
    // How the process ended; empty while it runs.
    std::optional<std::string> ended();
    [[nodiscard]] const std::string& front() const { return m_front; }
    [[nodiscard]] const std::string& directory() const { return m_directory; }
    [[nodiscard]] pid_t process() const { return m_process; }
    // The last lines that the daemon logged.
    [[nodiscard]] std::string last_lines(int count) const;

private:
    std::string m_front;
    std::string m_ready;
    std::string m_directory;
    std::string m_log;
    pid_t m_process = -1;
    std::optional<std::string> m_end;
};

// What one client got for one request.
struct outcome {
    // An answer came whole.
    bool complete = false;
    // The channel ended before that.
    bool channel_ended = false;
    int status = 0;
    message answer;
    // Bytes of an answer that broke off.
    std::size_t partial_bytes = 0;
    double sent_at = 0;
    double ended_at = 0;
};

std::string request_text(const std::string& method, const std::string& path, const std::string& id, int deadline_ms,
                         const fields& more = {}, std::string_view body = {});
outcome ask(channel& to, const std::string& request, double limit_ms);

// The desired state's parts.
std::string route_text(const std::string& prefix, const std::string& kind, const std::string& service, int timeout_ms,
                       int target_ms, const std::string& more = {});
std::string state_text(int version, const std::string& routes, const std::string& services);

// Settings of the engine as the small sites state them.
std::string engine_service(const std::string& name);
std::string plain_service(const std::string& name);

// Ends the daemons that still run, then this process; other threads may be waiting.
[[noreturn]] void finish(int code);

}  // namespace review
