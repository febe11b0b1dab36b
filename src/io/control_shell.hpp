// Runs a control_core: turns its commands into calls to the platform and the
// engines, and their answers into events.
#pragma once

#include <QObject>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "engine_client.hpp"
#include "http_client.hpp"
#include "metrics.hpp"
#include "platform_client.hpp"
#include "timer_service.hpp"
#include "verbenahold/control_core.hpp"

namespace verbenahold {

class control_shell : public QObject {
public:
    using reply_sink = std::function<void(const operator_reply&)>;

    struct options {
        host_name host;
        zone_name zone;
        QUrl platform;
        // Whether the entries' caller listeners use TLS.
        bool entry_tls = false;
    };

    explicit control_shell(const options& settings, QObject* parent = nullptr);

    // Sets the function that receives answers to operators' requests.
    void set_reply_sink(reply_sink sink) { m_reply_sink = std::move(sink); }
    // Sets the function that is called once, when a drain has ended.
    void set_drained_action(std::function<void()> action) { m_drained_action = std::move(action); }
    // Starts reading the host list and processing events.
    void start();
    void deliver(control_event event);

    // Metrics in the Prometheus text format.
    [[nodiscard]] QByteArray metrics_text();

private:
    void process_events();
    void schedule();
    void read_hosts();

    void run(const read_rows& command);
    void run(const scan_rows& command);
    void run(const transact_rows& command);
    void run(const request_weights& command);
    void run(const send_order& command);
    void run(const read_schema_versions& command);
    void run(const poll_load& command) { m_engines.run(command); }
    void run(const list_streams& command) { m_engines.run(command); }
    void run(const operator_reply& command);
    void run(const log_change& command);
    void run(const count& command);
    void run(const drained& command);

    timer_service m_timers;
    http_client m_http;
    platform_client m_platform;
    engine_client m_engines;
    bool m_entry_tls = false;
    control_core m_core;
    reply_sink m_reply_sink;
    std::function<void()> m_drained_action;
    std::deque<control_event> m_events;
    bool m_processing = false;
    timer_service::subscription m_wakeup = 0;
    metrics m_metrics;
};

}  // namespace verbenahold
