// Model engines and plain services in virtual time.
#pragma once

#include "engine_model.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace verbenahold::testing {

// Prompts that contain this text crash the engine that runs them.
inline constexpr const char* crash_marker = "@@crash@@";

class virtual_engine {
public:
    // Sends an event to the daemon that reads a stream or sent a request.
    using sink = std::function<void(const daemon_id&, entry_event)>;

    virtual_engine(server_name name, const standins::engine_settings& settings, sink send);

    void on(const daemon_id& from, const open_stream& command, time_point now);
    void on(const daemon_id& from, const reopen_stream& command);
    void on(const cancel_stream& command);
    void on(const daemon_id& from, const poll_load& command, time_point now);
    void on(const daemon_id& from, const list_streams& command, time_point now);
    void on(const daemon_id& from, const reserve_memory& command, time_point now);
    void on(const release_memory& command);
    // Runs the engine until `now` and sends what it produced to the readers.
    void advance(time_point now);
    void crash(time_point now);
    // Stops all output on the current connections; new connections work.
    void silence_connections();

    [[nodiscard]] const standins::engine_model& model() const { return m_model; }
    // Includes the counts from before crashes.
    [[nodiscard]] std::uint64_t cold_overloads() const;
    [[nodiscard]] const std::set<std::uint64_t>& prompts_run() const { return m_prompts_run; }
    duration load_lag = std::chrono::milliseconds(100);

private:
    struct reader {
        daemon_id daemon;
        std::uint64_t sent = 0;
        time_point last_sent{};
        bool silent = false;
    };

    void reset_connections(time_point now);
    void send_new_tokens(const std::string& stream, reader& to, time_point now);
    [[nodiscard]] load_report report() const;

    server_name m_name;
    standins::engine_settings m_settings;
    sink m_send;
    standins::engine_model m_model;
    std::map<std::string, reader> m_readers;
    std::set<std::uint64_t> m_prompts_run;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_overloads_before_crashes = 0;
    load_report m_shown_report;
    time_point m_report_time{};
};

}  // namespace verbenahold::testing
