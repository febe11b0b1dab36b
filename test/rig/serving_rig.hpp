// Runs serving daemons against scripted stand-ins for the platform's store,
// backend servers and callers, all on one event loop and on loopback ports.
#pragma once

#include "gateway.hpp"
#include "platform_protocol.hpp"
#include "request_reader.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenahold::serving {

// Address of a loopback port that was free a moment ago.
std::string free_loopback_address(boost::asio::io_context& loop);

// Accepts connections and parses requests; a handler answers with raw bytes, at
// once or later.
class scripted_server {
public:
    class session;
    using handler = std::function<void(const http_request&, const std::shared_ptr<session>&)>;

    scripted_server(boost::asio::io_context& loop, handler answer);
    [[nodiscard]] const std::string& address() const { return m_address; }
    // Requests read so far.
    [[nodiscard]] const std::vector<http_request>& requests() const { return m_requests; }
    // Connections that the peer closed after sending a request. Counts sessions
    // that are not closed by close(), also if an answer was written.
    [[nodiscard]] int abandoned() const { return m_abandoned; }

    class session : public std::enable_shared_from_this<session> {
    public:
        session(scripted_server& owner, boost::asio::ip::tcp::socket socket);
        void read();
        void write(const std::string& bytes);
        // Closes the connection normally, or with a reset.
        void close();
        void reset();

    private:
        scripted_server& m_owner;
        boost::asio::ip::tcp::socket m_socket;
        request_reader m_reader;
        std::array<char, 4'096> m_chunk{};
        bool m_awaiting_answer = false;
    };

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_answer;
    std::string m_address;
    std::vector<http_request> m_requests;
    int m_abandoned = 0;
};

// Stand-in for the platform's store with rows set by the test. Long polls are
// answered when a row of their table changes.
class scripted_store {
public:
    explicit scripted_store(boost::asio::io_context& loop);
    [[nodiscard]] const std::string& address() const { return m_server.address(); }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    // The value of a row; empty if there is none.
    [[nodiscard]] std::string value_of(const std::string& table, const std::string& key) const;
    // Counts rows that were written without a change of their own table, as other writers do.
    void skip_versions(std::uint64_t count) { m_state.version += count; }
    // Calls about this table get no answer from now on.
    void silence_table(const std::string& table) { m_silent_table = table; }
    // Transactions so far that name this table.
    [[nodiscard]] int transactions(const std::string& table) const;
    // While false, all calls are answered with status 503.
    void set_serving(bool serving) { m_serving = serving; }
    // Keeps a copy of all rows.
    void take_copy() { m_copy = m_state; }
    // Whether answers state the store's era.
    void set_states_era(bool states) { m_states_era = states; }
    // The store comes back from the copy, under the next era. Waiting calls are answered 410.
    void restore_copy();
    // Calls so far.
    [[nodiscard]] std::size_t calls() const { return m_server.requests().size(); }

private:
    struct waiting_call {
        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<scripted_server::session> session;
    };
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct state {
        std::map<std::string, std::map<std::string, stored_row>> tables;
        std::uint64_t version = 1;
    };
    void answer(const http_request& request, const std::shared_ptr<scripted_server::session>& session);
    // Applies a transaction that a daemon sent.
    void apply(const std::string& transaction);
    void answer_waiting(const std::string& table);
    [[nodiscard]] std::string reply(int status, const std::string& body) const;
    [[nodiscard]] std::string page(const std::string& table, std::uint64_t after, bool changes_only) const;

    scripted_server m_server;
    state m_state;
    state m_copy;
    std::uint64_t m_era = 1;
    std::vector<waiting_call> m_waiting;
    std::string m_silent_table;
    bool m_states_era = true;
    bool m_serving = true;
};

// A caller with its own connection.
class scripted_caller {
public:
    scripted_caller(boost::asio::io_context& loop, const std::string& address);
    void send(const std::string& bytes);
    void leave();
    // All bytes received so far.
    [[nodiscard]] const std::string& received() const { return m_received; }
    [[nodiscard]] bool ended() const { return m_ended; }
    // Ended by a reset.
    [[nodiscard]] bool was_reset() const { return m_reset; }

private:
    void read();

    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4'096> m_chunk{};
    std::string m_received;
    bool m_ended = false;
    bool m_reset = false;
};

class serving_rig {
public:
    serving_rig();
    ~serving_rig();
    serving_rig(const serving_rig&) = delete;
    serving_rig& operator=(const serving_rig&) = delete;
    serving_rig(serving_rig&&) = delete;
    serving_rig& operator=(serving_rig&&) = delete;

    // Number of zones that the settings of daemons name; all daemons are in one.
    std::size_t zones = 1;
    // Settings of daemons that start from now on.
    retry_limits repeats{0.2, 100, std::chrono::seconds(10)};
    duration stop_grace = std::chrono::seconds(8);
    std::size_t memory_bytes = 256UL * 1024 * 1024;
    // Longest time that memory may be reserved unused.
    duration max_unused_reservation = std::chrono::seconds(9);
    // What daemons that start from now on read when they reload; empty: they don't reload.
    std::function<settings_reading()> read_again;
    // Sends SIGTERM to this process, which begins a planned stop of all daemons.
    void stop_daemons();
    // The daemon's planned stop has ended.
    [[nodiscard]] bool has_exited(const std::string& name) const { return !m_daemons.at(name).running; }
    // From now on the daemon is silent and its connections hang, as after a loss of
    // power.
    void silence_daemon(const std::string& name) { m_daemons.at(name).is_silent = true; }
    // Ends the daemon without a planned stop.
    void kill_daemon(const std::string& name) { m_daemons.at(name).running.reset(); }
    // Starts a daemon of this name; `store_address` replaces the rig's store. A running one is
    // killed before and starts again at other addresses.
    void start_daemon(const std::string& name, const std::string& store_address = {});
    [[nodiscard]] const serving_settings& settings(const std::string& name) const;
    // Adds a backend server of the only service.
    scripted_server& add_server(const std::string& id, scripted_server::handler answer,
                                const std::string& state = "ready");
    // Writes a desired state with the routes /unsafe/, /safe/, /resumable/ and
    // /stream/ of host h.example and the key key-1.
    void put_desired_state(int version = 1);
    scripted_caller& call(const std::string& daemon, const std::string& bytes);
    // Asks the daemon's directory as a caller of the zone does; returns the answer.
    std::string ask_directory(const std::string& daemon);
    scripted_caller& call_address(const std::string& address, const std::string& bytes);
    // Runs the loop until the condition holds; false after five seconds.
    bool run_until(const std::function<bool()>& condition);
    // Runs until the daemon's readiness check succeeds; false after five seconds.
    bool run_until_ready(const std::string& daemon);
    void run_for(duration time);

    boost::asio::io_context loop;
    scripted_store store;
    // Used by daemons that start from now on.
    std::unique_ptr<wire_protocol> protocol = std::make_unique<platform::platform_protocol>();

private:
    // Runs what is due for callers, servers, the store and all daemons, and destroys
    // daemons whose loop has stopped, as at the exit of a process.
    void run_step();

    struct running_daemon {
        serving_settings settings;
        // A loop of its own, so that one daemon can fall silent.
        std::unique_ptr<boost::asio::io_context> loop = std::make_unique<boost::asio::io_context>();
        bool is_silent = false;
        std::unique_ptr<gateway> running;
    };

    std::map<std::string, running_daemon> m_daemons;
    // Each start is a run of its own to the other daemons.
    std::uint64_t m_starts = 0;
    std::vector<std::unique_ptr<scripted_server>> m_servers;
    std::vector<std::unique_ptr<scripted_caller>> m_callers;
};

// A caller's request with an attempt id and the key key-1.
std::string request_text(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& body = {}, const std::string& more_fields = {});
// A server's answer with the origin signature.
std::string proved_answer(const http_request& request, const std::string& body);
// A server's answer that states that it did not run the request.
std::string rejection();
// The head of a server's event stream, and one event of it.
std::string stream_head(const http_request& request);
std::string stream_chunk(int id);
constexpr const char* stream_end = "0\r\n\r\n";

}  // namespace verbenahold::serving
