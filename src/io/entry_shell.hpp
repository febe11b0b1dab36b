// Runs an entry_core: passes it events with the monotonic time, carries out its
// commands over the network, and ends the process after a drain.
#pragma once

#include <QObject>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_listener.hpp"
#include "drained_server_watch.hpp"
#include "engine_client.hpp"
#include "entry_table_client.hpp"
#include "http_client.hpp"
#include "metrics.hpp"
#include "peer_transport.hpp"
#include "platform_client.hpp"
#include "service_client.hpp"
#include "settings.hpp"
#include "timer_service.hpp"
#include "trace_exporter.hpp"
#include "verbenahold/entry_core.hpp"

namespace verbenahold {

// Definitions of the entry daemon's settings.
std::vector<option_definition> entry_options();

class entry_shell : public QObject {
public:
    static constexpr std::chrono::milliseconds host_list_period{1'000};

    // `on_exit` is called with the exit code when the process should end.
    entry_shell(const settings& given, std::function<void(int)> on_exit, QObject* parent = nullptr);
    ~entry_shell() override;
    entry_shell(const entry_shell&) = delete;
    entry_shell& operator=(const entry_shell&) = delete;
    entry_shell(entry_shell&&) = delete;
    entry_shell& operator=(entry_shell&&) = delete;

    // Listens for callers and peers and starts the core. Returns an error
    // message, which is empty on success.
    std::string start();
    // The first call starts a drain; a second one ends the process at once.
    void handle_termination();

    [[nodiscard]] endpoint caller_address() const { return m_caller_address; }
    [[nodiscard]] endpoint peer_address() const { return m_peer_address; }

private:
    struct command_runner;

    void dispatch(entry_event&& event);
    void process(const entry_event& event);
    void schedule_wakeup();
    void poll_hosts();
    void handle_hosts(std::vector<host_entry> hosts);
    QByteArray metrics_text();
    std::string start_callers();
    void finish_drain();

    const settings m_settings;
    std::function<void(int)> m_on_exit;
    daemon_id m_self;
    timer_service m_timers;
    metrics m_metrics;
    http_client m_client;
    platform_client m_platform;
    trace_exporter m_traces;
    engine_client m_engines;
    service_client m_services;
    entry_table_client m_table;
    drained_server_watch m_drained_servers;
    peer_transport m_peers;
    caller_listener m_callers;
    std::unique_ptr<entry_core> m_core;
    endpoint m_caller_address;
    endpoint m_peer_address;

    std::deque<entry_event> m_events;
    bool m_processing = false;
    std::vector<entry_command> m_commands;
    std::optional<time_point> m_wakeup_at;
    timer_service::subscription m_wakeup = 0;
    bool m_draining = false;
    bool m_finished = false;
    bool m_hosts_pending = false;
};

}  // namespace verbenahold
