// Stand-in for a backend server: a model engine or a plain service, with the faults that
// the platform's pages name and some that they don't.
#pragma once

#include "journal.hpp"
#include "pass_engine.hpp"

#include "http_types.hpp"
#include "request_reader.hpp"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace verbenahold::soak {

// What a server does wrong while a fault is on.
enum class misbehaviour : std::uint8_t {
    full,                // rejects requests
    silent,              // takes requests and never answers; half of them run
    dark,                // answers nothing at all
    slow,                // takes five times as long
    reset_before,        // resets the channel instead of running the request
    reset_mid,           // resets the channel in the middle of an answer
    answer_lost,         // runs the request, then ends the channel without an answer
    own_failures,        // runs the request, then answers with a failure
    surplus,             // adds bytes after a complete answer
    late_copy,           // sends an answer once more where the next one is expected
    late_copy_unnamed,   // the same, and no answer has an attempt id
    late_copy_of_order,  // sends the answer to an order or report once more
    wrong_length,        // states a length that isn't the body's
    no_length,           // the end of the channel ends the answer
    broken_off,          // ends the channel in the middle of an answer
    hang,                // stops in the middle of an answer
    endless,             // sends bytes without end
    idle_drop,           // closes idle channels without notice
    order_late,          // leaves orders unanswered and carries them out seconds later
    few_channels,        // resets new channels as soon as they are open
};

class backend_server {
public:
    backend_server(io_context& loop, journal& notes, std::mt19937_64::result_type seed, std::string id,
                   std::string service, std::string address, pass_engine::finder find_engine);

    // Begins to listen; false if the address is in use.
    bool start();
    // Ends all channels, and all work with them.
    void crash();
    // Starts over under the same id.
    void restart();
    [[nodiscard]] bool is_running() const { return m_running; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] const std::string& service() const { return m_service; }
    // Null for a plain service.
    [[nodiscard]] pass_engine* engine() const { return m_engine.get(); }
    // The server's row in the store.
    [[nodiscard]] std::string row(std::string_view state) const;

    // From now on `share` of the requests meet the fault; 0 ends it.
    void set_fault(misbehaviour which, double share);

    // Where the server stands.
    std::string zone;
    // The row's state, as the server reports it.
    std::string state = "ready";
    // Accounts by the keys that they hold, to check the header that daemons set.
    std::string expected_account;

private:
    struct session : std::enable_shared_from_this<session> {
        explicit session(io_context& loop, tcp::socket connected, serving::request_bounds bounds)
            : socket(std::move(connected)), reader(bounds), wake(loop) {}
        tcp::socket socket;
        serving::request_reader reader;
        std::deque<serving::http_request> requests;
        bool peer_left = false;
        wakeup wake;
        // Sent before the next answer.
        std::string late_copy;
        // The stream under way has neither length nor chunks.
        bool ends_with_channel = false;
    };
    using session_ptr = std::shared_ptr<session>;

    awaitable<void> accept();
    awaitable<void> read(session_ptr open);
    awaitable<void> serve(session_ptr open);
    // These return whether the channel stays open.
    awaitable<bool> handle(session& open, const serving::http_request& request);
    awaitable<bool> answer_order(session& open, const serving::http_request& request);
    awaitable<bool> run_plain(session& open, const serving::http_request& request, arrival& seen);
    awaitable<bool> run_engine(session& open, const serving::http_request& request, arrival& seen);
    awaitable<bool> stream_events(session& open, arrival& seen, engine_job& job, int first_event);
    awaitable<bool> end_stream(session& open, arrival& seen, int first_event);
    awaitable<bool> send_answer(session& open, arrival& seen, int status, std::string_view body,
                                std::string_view at_server);
    awaitable<bool> fail_after_run(session& open, arrival& seen);
    awaitable<bool> lose_answer(session& open, arrival& seen);
    awaitable<bool> reject(session& open, arrival& seen, int status, std::string_view at_server);
    awaitable<bool> send_own(session& open, int status, std::string_view body);
    awaitable<bool> send_endless(session& open, arrival& seen, std::string_view head);
    awaitable<bool> break_off(session& open, arrival& seen, std::string_view sent);
    // Waits until the caller leaves.
    awaitable<bool> stay_silent(session& open, arrival* seen, std::string_view why);
    bool on_caller_left(arrival& seen);
    void sign(arrival& seen);
    std::shared_ptr<arrival> record(const serving::http_request& request);
    bool roll(misbehaviour which);
    [[nodiscard]] bool has(misbehaviour which) const;
    static void reset(session& open);
    // Status line and fields of an answer to the request.
    [[nodiscard]] std::string head_of(const arrival& seen, int status, std::string_view at_server = {}) const;
    // Status line and fields of a stream, with the empty line.
    [[nodiscard]] std::string stream_head(const arrival& seen) const;

    io_context& m_loop;
    journal& m_journal;
    std::mt19937_64 m_random;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    tcp::acceptor m_acceptor;
    std::unique_ptr<pass_engine> m_engine;
    std::map<misbehaviour, double> m_faults;
    std::set<session_ptr> m_sessions;
    bool m_running = false;
    bool m_loops_started = false;
    int m_busy_slots = 0;
    int m_waiting = 0;
    int m_runs = 0;
    int m_boot = 0;
    double m_started = 0;
    std::int64_t m_born_unix_ms = 0;
};

}  // namespace verbenahold::soak
