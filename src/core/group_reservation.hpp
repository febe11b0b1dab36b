// Reserves the KV memory of one very long prompt on a group of servers, all
// parts or none. Runs at the caller side. Deadlock between groups is excluded:
// parts are requested one at a time in ascending order of server names, every
// wait is bounded, a refusal releases all parts, and owners drop parts that are
// not confirmed in time.
#pragma once

#include "verbenahold/messages.hpp"

#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace verbenahold {

// Time for which an owner keeps an unconfirmed part.
inline constexpr duration part_expiry = std::chrono::seconds(5);
// Maximum time from the first part's request to the confirmations, which then
// have 2 s left to arrive before the first part expires.
inline constexpr duration group_round_timeout = std::chrono::seconds(3);
// Maximum wait for one answer: the 1 s timeout of the owner's call to the
// engine, and one repetition after a lost message.
inline constexpr duration part_answer_timeout = std::chrono::milliseconds(1'500);
// An unanswered request is repeated after this time, in case a message was
// lost. Requests are idempotent, because owners identify a part by its name.
inline constexpr duration part_request_interval = std::chrono::milliseconds(500);
// Confirmations are repeated at this interval while the parts are held, in case
// one was lost. An owner frees a part whose confirmations stop, which covers a
// lost release.
inline constexpr duration confirm_interval = std::chrono::seconds(1);
inline constexpr duration min_group_backoff = std::chrono::milliseconds(50);
inline constexpr duration max_group_backoff = std::chrono::seconds(1);

class group_reservation {
public:
    enum class state : std::uint8_t { pending, complete, failed };

    // A server that may hold a part, with its free memory as last reported.
    struct candidate {
        server_name server;
        daemon_id owner;
        std::int64_t free_kv_tokens = 0;
    };
    // A message to the owner of a server. The caller looks up the current
    // owner, which may have changed since the request.
    struct outgoing {
        server_name server;
        peer_message message;
    };

    explicit group_reservation(std::uint64_t seed);

    // Starts to reserve `total_tokens` (prompt and output) for an attempt.
    // Fails when not all parts are granted within `time_left`.
    void start(std::vector<candidate> candidates, std::int64_t total_tokens, const attempt_id& attempt,
               duration time_left, time_point now, std::vector<outgoing>& out);
    // Updates the candidates for the next round.
    void refresh(std::vector<candidate> candidates);
    void on_answer(const part_answer& answer, time_point now, std::vector<outgoing>& out);
    void on_tick(time_point now, std::vector<outgoing>& out);
    // Releases the lead's part, because the stream itself takes that memory.
    // Must be called when complete, just before the submit is sent to the
    // lead's owner, which replaces parts that are lost later.
    void hand_over(std::vector<outgoing>& out);
    // Releases all requested parts, when the attempt has ended or is abandoned.
    void release_all(std::vector<outgoing>& out);

    [[nodiscard]] state current_state() const;
    // When complete: the lead server. It has the largest part and runs the
    // stream.
    [[nodiscard]] const server_name& lead() const { return m_lead; }
    // When complete: the confirmed parts on other servers, by server name.
    [[nodiscard]] const std::vector<memory_part>& parts() const { return m_parts; }
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    enum class phase : std::uint8_t { requesting, backing_off, complete, handed_over, failed };

    struct planned_part {
        daemon_id owner;
        memory_part part;
        bool requested = false;
    };
    struct known_server {
        candidate data;
        // Refusals since start(). Servers with fewer refusals are tried first.
        int refusals = 0;
    };

    bool plan_parts();
    void begin_round(time_point now, std::vector<outgoing>& out);
    void request_current_part(time_point now, std::vector<outgoing>& out);
    void complete(time_point now, std::vector<outgoing>& out);
    void confirm_parts(time_point now, std::vector<outgoing>& out);
    void abort_round(time_point now, std::vector<outgoing>& out);
    void count_refusal(const server_name& server);

    std::mt19937_64 m_random;
    phase m_phase = phase::failed;
    attempt_id m_attempt;
    std::int64_t m_total_tokens = 0;
    time_point m_deadline{};
    std::vector<known_server> m_servers;
    int m_round = 0;
    // Parts of the current round, sorted by server name.
    std::vector<planned_part> m_planned;
    // Index in m_planned of the part that was requested last.
    std::size_t m_current = 0;
    time_point m_round_deadline{};
    time_point m_answer_deadline{};
    time_point m_repeat_at{};
    time_point m_retry_at{};
    time_point m_confirm_at{};
    server_name m_lead;
    std::vector<memory_part> m_parts;
};

}  // namespace verbenahold
