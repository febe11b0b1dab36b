// The parts of a soak run: daemons, backend servers, the store, clients and the operator.
#pragma once

#include "backend_server.hpp"
#include "client_load.hpp"
#include "daemon_process.hpp"
#include "journal.hpp"
#include "soak_options.hpp"
#include "store_standin.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenahold::soak {

// Addresses of a run are 127.NET.x.y, so that runs beside each other don't meet.
struct address_plan {
    int net = 0;
    [[nodiscard]] std::string host(int number) const;
    [[nodiscard]] std::string server(int number) const;
    [[nodiscard]] std::string store() const;
};

class fleet {
public:
    fleet(io_context& loop, const soak_options& options);

    // Writes the first rows and starts all daemons, then the load once they are ready.
    awaitable<void> start();
    awaitable<void> check_processes();

    // ---- daemons ----
    std::vector<std::unique_ptr<daemon_process>> daemons;
    // Daemons that a fault has stopped or frozen; no other fault touches them.
    std::set<std::size_t> taken_daemons;
    // A running daemon that no fault touches; waits for one.
    awaitable<std::size_t> take_daemon();
    awaitable<bool> wait_until_ready(std::size_t which, double limit_ms);
    // Sends SIGTERM, then SIGKILL at the end of the grace period, and starts it again.
    awaitable<void> stop_and_start(std::size_t which, double pause);

    // ---- servers ----
    std::vector<std::unique_ptr<backend_server>> servers;
    backend_server& add_server(const std::string& service, const std::string& zone, const std::string& address = {});
    std::size_t random_server();
    pass_engine* engine_at(std::string_view address);
    void publish(const backend_server& server);

    // ---- operator ----
    // Writes the next version of the desired state.
    void change_desired_state();
    // What the next version says.
    struct desired {
        int version = 0;
        bool orders_moved = false;
        int added_routes = 0;
        double longer_time_limits = 1;
        std::vector<std::string> more_keys;
    } wanted;

    io_context& loop;
    const soak_options& options;
    journal notes;
    std::mt19937_64 random;
    address_plan addresses;
    store_standin store;
    client_habits habits;
    std::unique_ptr<client_load> load;
    bool stopping = false;
    std::size_t peak_memory = 0;
    std::string peak_memory_host;

private:
    [[nodiscard]] std::string desired_state_text() const;

    int m_server_numbers = 0;
};

}  // namespace verbenahold::soak
