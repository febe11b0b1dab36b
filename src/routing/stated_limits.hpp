// Keeps the servers' own limits on the requests that they take per second, from all
// daemons together. Answers servers in need, which name a limit in their answers for as
// long as it holds. Each daemon hears of all requests that others send, so that it counts
// them all against one allowance for each server, instead of dividing the limit among
// daemons whose callers are not alike.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace verbenahold::serving {

// Requests that may be sent at once after a pause, as the time in which the limit allows
// them; at least `min_limit_burst` of them.
inline constexpr duration limit_burst_time = std::chrono::seconds(1);
inline constexpr double min_limit_burst = 2;
// A server with a lower limit is sent this many requests per second all the same: only
// its answers tell when the limit has ended.
inline constexpr double min_stated_rate = 0.2;
// What a server stated is passed on to other daemons for this long.
inline constexpr duration statement_announcement_time = std::chrono::seconds(10);
// Requests that others sent beyond the limit count against it for this long.
inline constexpr duration max_debt_time = std::chrono::seconds(4);
// Limits that have ended are remembered for this long, so that late word of a limit
// before that is recognized.
inline constexpr duration ended_limit_retention = std::chrono::seconds(30);

// What a server stated at a moment.
struct limit_statement {
    server_name server;
    // Empty if the server states no limit.
    std::optional<double> requests_per_second;
    time_point at{};
};

class stated_limits {
public:
    // Daemons need different seeds.
    explicit stated_limits(std::uint64_t seed) : m_random(seed) {}

    // Takes in what an answer of the server stated, heard here or at another daemon; the
    // latest counts. True if the limit changed.
    bool on_statement(const limit_statement& statement, time_point now);
    // This or another daemon sent the server a request.
    void on_sent(const server_name& server, time_point now);
    // True if the server may be sent a request now.
    [[nodiscard]] bool may_send(const server_name& server, time_point now);
    // Sets the part of each limit, 0 to 1, that is left to the daemons whose requests are
    // counted here; others may be sending unheard.
    void set_share(double share) { m_share = share; }
    // The server is gone or has started again.
    void forget(const server_name& server) { m_servers.erase(server); }

    // What other daemons should know, latest first.
    [[nodiscard]] std::vector<limit_statement> list_recent(time_point now) const;
    // Servers with a limit.
    [[nodiscard]] std::size_t size() const;

private:
    struct limited_server {
        std::optional<double> requests_per_second;
        time_point stated_at{};
        // Requests that may be sent now. Below zero if daemons sent requests at the same
        // time.
        double allowance = 0;
        time_point allowance_at{};
        // The allowance from which on this daemon sends, 1 to 2. It differs between
        // daemons, which otherwise would all send before they hear of each other.
        double threshold = min_limit_burst;
    };

    // Requests per second that the daemons heard here may send.
    [[nodiscard]] double rate_of(const limited_server& server) const;
    // The lowest allowance, however many requests were sent beyond the limit.
    [[nodiscard]] double most_debt(const limited_server& server) const;
    void refill(limited_server& server, time_point now) const;
    [[nodiscard]] double draw_threshold();

    double m_share = 1;
    std::mt19937_64 m_random;
    std::map<server_name, limited_server> m_servers;
};

}  // namespace verbenahold::serving
