// Simulates several control processes with one table, one weight store and a set
// of engines in virtual time. Transactions can be lost, delayed or refused, and
// processes can be paused.
#pragma once

#include "verbenahold/control_core.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::testing {

// What happens to one transaction.
enum class table_fault : std::uint8_t {
    none,
    // Takes effect, but its answer is lost.
    answer_lost,
    // Never reaches the table, so it has no effect and no answer.
    request_lost,
    // Takes effect after late_delay, when the sender has stopped waiting for it.
    late,
    // Refused: the table is down.
    refused,
};

class control_simulation {
public:
    using fault_hook = std::function<table_fault(std::size_t process, const row_transaction&)>;

    struct engine {
        std::string version = "v1";
        // A dead engine refuses connections.
        bool dead = false;
        std::optional<time_point> loading_until;
        std::string next_version;
        std::vector<std::string> streams;
        std::uint64_t highest_fence = 0;
        bool checks_fence = true;
        // Fencing numbers of the accepted orders, in the order of their arrival.
        std::vector<std::uint64_t> accepted_fences;
        // Number of orders accepted while a stream ran.
        int orders_during_streams = 0;
    };

    static constexpr duration latency = std::chrono::milliseconds(2);
    static constexpr duration load_time = std::chrono::seconds(5);
    static constexpr duration late_delay = std::chrono::seconds(6);

    explicit control_simulation(std::size_t processes);

    // The table.
    std::map<std::string, stored_row> rows;
    bool table_down = false;
    fault_hook choose_fault;
    // Called before an engine receives an order.
    std::function<void(std::size_t process)> on_order;
    // Engines by server name; announce_hosts() puts them into the host list.
    std::map<std::string, engine> engines;
    // Weight loads that the store grants per second.
    int weights_per_second = 1'000;
    int weights_granted = 0;
    int weight_refusals = 0;
    int loads_ordered = 0;
    // Largest number of engines that were loading at once.
    int max_loading = 0;
    // Newest schema version that each entry daemon announces.
    std::map<std::string, std::optional<int>> newest_schema_by_daemon;
    // Replies by ticket.
    std::map<std::uint64_t, operator_reply> replies;
    time_point now{std::chrono::seconds(1)};

    control_core& core(std::size_t process) { return *m_processes[process].core; }
    // A paused process handles no events; they wait until it is resumed.
    void set_paused(std::size_t process, bool paused);
    void send(std::size_t process, control_event event);
    void announce_hosts(const std::string& service);
    void run_for(duration length);
    // Stores a record with its change row and the new head row.
    void store(record value);
    // Sends a write to a process and returns its ticket.
    std::uint64_t write(std::size_t process, const record& value, const std::string& operation);
    [[nodiscard]] const QJsonObject& body_of(std::uint64_t ticket) const { return replies.at(ticket).body; }
    [[nodiscard]] int status_of(std::uint64_t ticket) const;
    [[nodiscard]] std::uint64_t head_version() const;
    [[nodiscard]] std::size_t count_rows(const std::string& prefix) const;

private:
    struct control_process {
        std::unique_ptr<control_core> core;
        bool paused = false;
        std::vector<control_event> queued_events;
    };

    void handle(std::size_t process, const control_event& event);
    void schedule(duration delay, std::function<void()> action);
    void answer(std::size_t process, control_event event) {
        schedule(latency, [this, process, event] { handle(process, event); });
    }
    rows_transacted apply(std::uint64_t call, const row_transaction& transaction);

    void run(std::size_t process, const read_rows& command);
    void run(std::size_t process, const scan_rows& command);
    void run(std::size_t process, const transact_rows& command);
    void run(std::size_t process, const request_weights& command);
    void run(std::size_t process, const send_order& command);
    void run(std::size_t process, const read_schema_versions& command);
    void run(std::size_t process, const poll_load& command);
    void run(std::size_t process, const list_streams& command);
    void run(std::size_t process, const operator_reply& command);
    template <class Other>
    void run(std::size_t /*process*/, const Other& /*command*/) {}

    std::vector<control_process> m_processes;
    std::multimap<time_point, std::function<void()>> m_scheduled;
    std::uint64_t m_revision = 0;
    std::uint64_t m_last_ticket = 0;
    std::int64_t m_weight_second = 0;
    int m_granted_in_second = 0;
};

}  // namespace verbenahold::testing
