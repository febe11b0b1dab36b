// What servers state of themselves in their answers: that they leave, that they want a
// pause, and how many requests they take per second. One place for all who send to
// servers. That a server leaves holds for its run and is told to all daemons. A pause is
// asked of one daemon and binds this one only.
#pragma once

#include "server_registry.hpp"
#include "stated_limits.hpp"

#include <span>

namespace verbenahold::serving {

// The longest pause that is kept. A server that asks for a longer one is asked again
// after this time, by one request.
inline constexpr duration max_pause = std::chrono::seconds(60);
// After a pause, one request is sent and its answer awaited for this long, before others
// follow.
inline constexpr duration answer_wait_after_pause = std::chrono::seconds(1);
// How long it is remembered that a server left after its entry is gone. An entry that
// lapsed while the store was down comes back within seconds.
inline constexpr duration leaving_retention = std::chrono::minutes(2);

// A run of a server states that it leaves.
struct leaving_statement {
    server_name server;
    // Start time in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_unix_ms = 0;
};

class server_statements {
public:
    // Daemons need different seeds.
    explicit server_statements(std::uint64_t seed) : m_limits(seed) {}

    // The limits that servers state.
    [[nodiscard]] stated_limits& limits() { return m_limits; }
    [[nodiscard]] const stated_limits& limits() const { return m_limits; }

    // An answer, heard here or at another daemon, stated that its server leaves. True if
    // that is new.
    bool on_leaving(const leaving_statement& statement, time_point now);
    // The server turned away a request of this daemon and wants no other for this time.
    // True if it was not pausing.
    bool on_pause(const server_name& server, std::int64_t started_at_unix_ms, duration wanted, time_point now);
    // The server answered a request of this daemon without asking for a pause.
    void on_answer(const server_name& server, time_point now);
    // This daemon sent the server a request.
    void on_sent(const server_name& server, time_point now);
    // A statement of the server can't be read. True for the first one.
    bool on_unreadable(const server_name& server) { return m_unreadable.insert(server).second; }

    // The list of servers has this entry. An entry with another start time ends what the
    // run before it stated; one without, after it was gone, does so too.
    void on_entry(const server_entry& entry, time_point now);
    void on_entry_gone(const server_name& server, time_point now);

    // True if the server may be sent a request now.
    [[nodiscard]] bool may_send(const server_entry& server, time_point now);
    [[nodiscard]] bool is_leaving(const server_entry& server) const;
    [[nodiscard]] bool is_pausing(const server_name& server, time_point now) const;
    // Time until the first of these servers may be sent a request again, if pauses and
    // leaving withhold them all; otherwise zero.
    [[nodiscard]] duration time_until_end_of_pause(std::span<const server_entry* const> servers, time_point now) const;

    // What other daemons should know: runs that are still listed as ones to use.
    [[nodiscard]] std::vector<leaving_statement> list_leaving() const;
    [[nodiscard]] std::size_t count_leaving() const { return m_leaving.size(); }
    [[nodiscard]] std::size_t count_pausing(time_point now) const;

private:
    struct leaving_server {
        std::int64_t started_at_unix_ms = 0;
        // Since when the list names the server no more as one to use.
        std::optional<time_point> gone_since;
    };
    struct pausing_server {
        std::int64_t started_at_unix_ms = 0;
        time_point until{};
        // When the first request after the pause was sent.
        std::optional<time_point> asked_again_at;
    };

    stated_limits m_limits;
    std::map<server_name, leaving_server> m_leaving;
    std::map<server_name, pausing_server> m_pausing;
    // Start times in the list of servers.
    std::map<server_name, std::int64_t> m_listed_runs;
    std::set<server_name> m_unreadable;
};

}  // namespace verbenahold::serving
