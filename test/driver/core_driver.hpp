// Runs several entry cores in virtual time against stand-ins of the platform,
// the engines and a plain service, with faults from a seeded generator. For
// focused tests of failures.
#pragma once

#include "virtual_platform.hpp"
#include "virtual_server.hpp"

#include "verbenahold/entry_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace verbenahold::testing {

struct driver_options {
    std::size_t daemons = 9;
    std::size_t engines = 6;
    std::size_t services = 2;
    std::uint64_t seed = 1;
    standins::engine_settings engine{};
};

struct link_faults {
    double loss = 0;
    // Loss of all messages except control messages, so that failure detection
    // sees no fault.
    double work_loss = 0;
    double duplication = 0;
    // Each message takes up to this much longer, which reorders messages.
    duration jitter{};
};

// Services of every driver. The record of the model service states the true
// cold capacity of the engines.
inline constexpr const char* model_service = "shade-llm";
inline constexpr const char* plain_service = "kit-shop";

class core_driver {
public:
    explicit core_driver(driver_options options);

    void run_for(duration time);
    [[nodiscard]] time_point now() const { return m_now; }

    void stop(std::size_t number);
    void restart(std::size_t number);
    void pause(std::size_t number, bool paused);
    void put_on_side(std::size_t number, int side) { m_daemons[number].side = side; }
    void set_faults(link_faults faults) { m_faults = faults; }
    virtual_platform& platform() { return m_platform; }
    virtual_engine& engine(std::size_t number) { return *m_engines[number]; }
    void set_zone(const std::string& zone, const char* state);

    // Send a request of the driver's only account; return the ticket.
    std::uint64_t send_completion(std::size_t number, const std::string& prompt, std::int64_t max_tokens,
                                  duration deadline);
    std::uint64_t send_order(std::size_t number, const std::string& key, duration deadline);

    [[nodiscard]] std::size_t daemons() const { return m_daemons.size(); }
    [[nodiscard]] entry_core::figures figures(std::size_t number) const;
    [[nodiscard]] bool is_running(std::size_t number) const { return m_daemons[number].core != nullptr; }
    // Tickets that were answered completely, and refusals by their code.
    [[nodiscard]] std::size_t answered() const { return m_answered; }
    [[nodiscard]] const std::map<refusal, int>& refused() const { return m_refused; }
    [[nodiscard]] int executions(const std::string& key) const;
    // Bytes and messages of membership, summaries, configuration and account
    // limits that all daemons sent so far.
    [[nodiscard]] double control_bytes() const { return m_control_bytes; }
    [[nodiscard]] double control_messages() const { return m_control_messages; }

    // Violations of invariants so far. With `at_rest`, KV memory that an engine
    // still holds is one.
    std::vector<std::string> violations(bool at_rest);

private:
    struct daemon {
        entry_settings settings;
        std::unique_ptr<entry_core> core;
        bool paused = false;
        int side = 0;
        std::vector<entry_event> waiting;
        time_point next_tick = time_point::max();
        std::uint64_t config_version = 0;
    };
    struct ticket {
        std::size_t daemon = 0;
        std::uint64_t prompt_hash = 0;
        std::string key;
        time_point deadline{};
        std::uint64_t tokens = 0;
        bool open = true;
    };
    struct action {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const action& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void at(time_point when, std::function<void()> run);
    void start(std::size_t number);
    // Hands an event to a daemon, or queues it while the daemon is paused.
    void deliver(std::size_t number, const entry_event& event);
    // Hands over the event after `delay` if that incarnation still runs.
    void deliver_later(const daemon_id& to, duration delay, entry_event event);
    void schedule_tick(std::size_t number);
    void read_hosts(std::size_t number);
    void advance_engines();
    [[nodiscard]] virtual_engine* find_engine(const server_name& server);
    void check_new_work(const server_name& server);
    void add_violation(const std::string& text);

    void run(std::size_t number, const entry_command& command);
    void send(std::size_t number, const send_peer& command);
    void start_stream(const daemon_id& from, virtual_engine& engine, const open_stream& command);
    void call(std::size_t number, const call_service& command);
    void finish(std::uint64_t number);
    void refuse(const reply_refused& reply);
    void take_tokens(const reply_tokens& reply);
    void check_deadlines();

    driver_options m_options;
    std::mt19937_64 m_random;
    virtual_platform m_platform;
    std::vector<daemon> m_daemons;
    std::map<std::string, std::size_t> m_by_address;
    std::vector<std::unique_ptr<virtual_engine>> m_engines;
    std::map<server_name, std::size_t> m_engine_index;
    std::map<server_name, zone_name> m_server_zones;
    std::map<std::string, int> m_executions;
    std::map<std::uint64_t, ticket> m_tickets;
    std::map<refusal, int> m_refused;
    std::size_t m_answered = 0;
    link_faults m_faults;
    std::priority_queue<action, std::vector<action>, std::greater<>> m_queue;
    std::uint64_t m_last_order = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_last_ticket = 0;
    double m_control_bytes = 0;
    double m_control_messages = 0;
    time_point m_now{std::chrono::seconds(1)};
    std::vector<std::string> m_violations;
};

// Estimated encoded bytes of control messages; 0 for all others.
double estimated_control_message_bytes(const peer_message& message);

}  // namespace verbenahold::testing
