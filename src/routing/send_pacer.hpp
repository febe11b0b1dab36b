// Bounds the requests a second that this daemon sends one server, so that all
// daemons together stay within what a cold server bears. A server may turn
// cold without notice, so the bound holds at all times.
#pragma once

#include "desired_state.hpp"

#include <deque>
#include <map>

namespace verbenahold::serving {

// Counted span and what is added to it, since two requests that leave in one
// second may arrive in the next.
inline constexpr duration pacing_window = std::chrono::milliseconds(1'100);

// What the platform counts as too much for a cold server.
struct cold_bound {
    // Factor on the rate that the service states.
    double overage = 1;
    // Requests beyond that in any second.
    double slack = 0;
};

class send_pacer {
public:
    explicit send_pacer(cold_bound bound) : m_bound(bound) {}

    void set_bound(cold_bound bound) { m_bound = bound; }
    // True if another request may be sent to the server now. `daemons` is the
    // number of daemons that may send, this one included.
    bool may_send(const server_name& server, const service& of, int daemons, time_point now);
    void on_sent(const server_name& server, time_point now);
    void forget(const server_name& server) { m_sent.erase(server); }

private:
    cold_bound m_bound;
    std::map<server_name, std::deque<time_point>> m_sent;
};

}  // namespace verbenahold::serving
