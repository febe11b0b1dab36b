// Polls model engines for their load. Each engine is polled by one daemon, which
// sends the report to the other daemons.
#pragma once

#include "gateway_state.hpp"

#include <functional>
#include <map>

namespace verbenahold::serving {

class report_poller {
public:
    // `on_report` is called with each report, after it was recorded in the
    // shared state.
    report_poller(gateway_state& state, std::function<void(const server_report&)> on_report);

    // Starts polling, which continues until the timers of `state` are destroyed.
    void start();

private:
    struct polled_server {
        time_point next_poll{};
        int unanswered = 0;
        server_report last_report;
    };

    void poll_due_engines();
    void poll(const server_entry& server);
    void on_answer(const server_name& server, const call_result& result);
    void on_leaving(const server_report& report);
    void record(polled_server& polled, const server_report& report);

    gateway_state& m_state;
    std::function<void(const server_report&)> m_on_report;
    std::map<server_name, polled_server> m_polled_servers;
};

}  // namespace verbenahold::serving
