// The caller side's half of a very long prompt: obtains KV memory on several
// servers, all parts or none. Parts are asked for one after the other in
// ascending order of server names, every wait is bounded, a refusal releases
// all parts, and an owner drops a part that is not confirmed in time; so two
// groups never wait for each other.
#pragma once

#include "verbenahold/messages.hpp"

#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace verbenahold {

// An owner keeps an unconfirmed part this long.
inline constexpr duration part_expiry = std::chrono::seconds(5);
// Longest time from the first part's request to the confirmations. It leaves
// these 2 s to arrive before the first part expires.
inline constexpr duration group_round_limit = std::chrono::seconds(3);
// Longest wait for one answer: the owner's engine may take its time limit of
// 1 s, and the answer a repair.
inline constexpr duration part_answer_limit = std::chrono::milliseconds(1'500);
// A lost request or answer is repaired by asking again; owners know a part by
// its name.
inline constexpr duration part_repeat_period = std::chrono::milliseconds(500);
// Confirmations are repeated while the parts are held: that repairs a lost one,
// and lets an owner free a part that is no longer confirmed because its release
// was lost.
inline constexpr duration confirm_repeat_period = std::chrono::seconds(1);
inline constexpr duration shortest_group_backoff = std::chrono::milliseconds(50);
inline constexpr duration longest_group_backoff = std::chrono::seconds(1);

class group_reservation {
public:
    enum class state : std::uint8_t { pending, complete, failed };

    // A server that may hold a part, as the caller side knows it.
    struct candidate {
        server_name server;
        daemon_id owner;
        std::int64_t free_kv_tokens = 0;
    };
    // A message for the owner of a server; the caller finds that owner, as it
    // may have changed.
    struct outgoing {
        server_name server;
        peer_message message;
    };

    explicit group_reservation(std::uint64_t seed);

    // Starts to reserve `total_tokens` (prompt and output) for an attempt.
    // Fails when it has not got all parts after `time_left`.
    void start(std::vector<candidate> candidates, std::int64_t total_tokens, const attempt_id& attempt,
               duration time_left, time_point now, std::vector<outgoing>& out);
    // Newer figures for the next try.
    void refresh(std::vector<candidate> candidates);
    void on_answer(const part_answer& answer, time_point now, std::vector<outgoing>& out);
    void on_tick(time_point now, std::vector<outgoing>& out);
    // Releases the lead's part, whose memory the stream itself then takes. To
    // be called when complete, just before the submit is sent to the lead's
    // owner. A part that is lost later is replaced by that owner.
    void hand_over(std::vector<outgoing>& out);
    // Releases everything asked for: the attempt has ended or is given up.
    void release_all(std::vector<outgoing>& out);

    [[nodiscard]] state current_state() const;
    // When complete: the server with the largest part, which runs the stream.
    [[nodiscard]] const server_name& lead() const { return m_lead; }
    // When complete: the confirmed parts on other servers, by server name.
    [[nodiscard]] const std::vector<memory_part>& parts() const { return m_parts; }
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    enum class phase : std::uint8_t { asking, backing_off, complete, handed_over, failed };

    struct planned_part {
        daemon_id owner;
        memory_part part;
        bool asked = false;
    };
    struct known_server {
        candidate data;
        // Refusals since the start; servers that refuse are tried last.
        int refusals = 0;
    };

    bool plan_parts();
    void begin_round(time_point now, std::vector<outgoing>& out);
    void ask_current(time_point now, std::vector<outgoing>& out);
    void complete(time_point now, std::vector<outgoing>& out);
    void confirm_parts(time_point now, std::vector<outgoing>& out);
    void abort_round(time_point now, std::vector<outgoing>& out);
    void note_refusal(const server_name& server);

    std::mt19937_64 m_random;
    phase m_phase = phase::failed;
    attempt_id m_attempt;
    std::int64_t m_total_tokens = 0;
    time_point m_deadline{};
    std::vector<known_server> m_servers;
    int m_round = 0;
    // Parts of the present round, by server name.
    std::vector<planned_part> m_planned;
    // The part that an answer is awaited for.
    std::size_t m_current = 0;
    time_point m_round_ends{};
    time_point m_answer_due{};
    time_point m_repeat_at{};
    time_point m_retry_at{};
    time_point m_confirm_at{};
    server_name m_lead;
    std::vector<memory_part> m_parts;
};

}  // namespace verbenahold
