// Model engines for the serving rig: they keep reservations of memory with their
// leases, queue requests until the test starts them, and report their load.
#pragma once

#include "serving_rig.hpp"

#include <boost/asio/steady_timer.hpp>

namespace verbenahold::serving {

// One reservation at an engine, also after its end.
struct engine_ticket {
    std::int64_t tokens = 0;
    time_point reserved_at{};
    time_point expires_at{};
    std::optional<time_point> used_at;
    std::optional<time_point> use_ended_at;
    // Set by a release or when the lease runs out.
    std::optional<time_point> ended_at;
    int renewals = 0;
};

class scripted_engines {
public:
    enum class order_handling {
        at_once,
        // The order is carried out at once, and its answer is lost.
        answer_lost,
        // The order is not answered and is carried out after `late_by`.
        late,
        // The order is refused, as if no memory were free.
        refused,
    };

    // Adds `count` engines i-0, i-1, ... to the rig and a desired state with the
    // at-most-once stream route /long/ and the resumable one /resumable/.
    scripted_engines(serving_rig& rig, int count);

    // A request for a prompt of more tokens than one engine holds.
    static std::string long_request(const std::string& path, const std::string& id);

    // Starts the queued requests of all engines: each is rejected if it lacks a
    // reservation; otherwise it uses its reservations until finish_all().
    void start_all();
    // Rejects the queued requests, or resets their connections.
    void reject_queued();
    void reset_queued();
    // Sends the first event of all started requests.
    void send_first_events();
    // Ends the streams of all started requests.
    void finish_all();

    // The longest time that any memory was set aside and not used.
    [[nodiscard]] duration longest_unused();
    // The longest time that any memory stayed set aside after its last use.
    [[nodiscard]] duration longest_after_use();
    // Reservations in force.
    [[nodiscard]] int count_held();
    // Reservations ever made.
    [[nodiscard]] std::size_t count_made() const { return m_tickets.size(); }
    // Requests in queues.
    [[nodiscard]] std::size_t count_queued() const { return m_queued.size(); }
    // Time since the engines were made.
    [[nodiscard]] time_point now() const;

    // Handles an order ("reserve" or "release") that the server with this name got.
    std::function<order_handling(const std::string& server, const std::string& operation)> on_order;
    duration late_by = std::chrono::milliseconds(1'500);
    // Queued requests start when they arrive.
    bool starts_at_once = false;
    // Reports are answered.
    bool reports = true;
    // More header lines of reports, each with its line end, and the start time in them.
    std::string report_fields;
    std::int64_t reported_born = 7;
    // The requests that began to run, by attempt id.
    std::vector<std::string> runs;
    int orders = 0;

    // Start time of the engines in their entries.
    static constexpr std::int64_t born = 7;
    static constexpr std::int64_t memory_tokens = 10'000;
    static constexpr std::int64_t long_prompt_tokens = 15'000;

private:
    using session_pointer = std::shared_ptr<scripted_server::session>;
    struct open_request {
        std::string server;
        http_request request;
        session_pointer session;
        std::vector<std::string> tickets;
    };

    void answer(const std::string& server, const http_request& request, const session_pointer& session);
    void answer_order(const std::string& server, const http_request& request, const session_pointer& session);
    void carry_out(const std::string& server, const std::string& operation, const std::string& id, std::int64_t tokens,
                   duration hold);
    void answer_report(const std::string& server, const session_pointer& session);
    void start(open_request request);
    engine_ticket& ticket_named(const std::string& server_and_id);
    // Ends leases that have run out.
    void expire();

    serving_rig& m_rig;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    std::map<std::string, std::string> m_server_at;
    // By server and id.
    std::map<std::pair<std::string, std::string>, engine_ticket> m_tickets;
    // Ended reservations whose name was used again.
    std::vector<engine_ticket> m_earlier_tickets;
    std::vector<open_request> m_queued;
    std::vector<open_request> m_running;
};

}  // namespace verbenahold::serving
