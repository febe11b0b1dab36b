// Limits the rate of requests that this daemon sends to one server, so that all
// daemons together stay within the capacity of a cold server. A server can become
// cold without notice, so the limit always applies.
#pragma once

#include "desired_state.hpp"

#include <deque>
#include <map>

namespace verbenahold::serving {

// Window in which sent requests are counted: a second plus a margin, since network
// delay varies and requests sent more than a second apart may arrive closer
// together.
inline constexpr duration pacing_window = std::chrono::milliseconds(1'100);

// Rate above which the platform counts a cold server as overloaded.
struct cold_bound {
    // Factor on the rate that the service configures.
    double overage = 1;
    // Further requests allowed in any second.
    double slack = 0;
};

class send_pacer {
public:
    explicit send_pacer(cold_bound bound) : m_bound(bound) {}

    void set_bound(cold_bound bound) { m_bound = bound; }
    // True if another request may be sent to the server now. `daemons` is the number
    // of daemons that may send, including this one.
    bool may_send(const server_name& server, const service& target, int daemons, time_point now);
    void on_sent(const server_name& server, time_point now);
    void forget(const server_name& server) { m_sent.erase(server); }
    // Number of requests to the server that are kept for counting.
    [[nodiscard]] std::size_t remembered(const server_name& server) const {
        const auto found = m_sent.find(server);
        return found == m_sent.end() ? 0 : found->second.size();
    }

private:
    static void expire(std::deque<time_point>& sent, time_point now);

    cold_bound m_bound;
    std::map<server_name, std::deque<time_point>> m_sent;
};

}  // namespace verbenahold::serving
