// The half of an entry daemon that serves callers. It runs one state machine
// for each open request: it places the request at the owner of a suitable
// server, follows the attempt there, retries, and ends with the complete answer
// or a refusal. The class is implemented in caller_side.cpp (admission and
// placement), caller_side_attempts.cpp (the current attempt) and
// caller_side_groups.cpp (very long prompts).
#pragma once

#include "account_limits.hpp"
#include "cost_model.hpp"
#include "crash_evidence.hpp"
#include "group_reservation.hpp"
#include "membership.hpp"
#include "open_request.hpp"
#include "ownership.hpp"
#include "placement.hpp"
#include "prefix_index.hpp"
#include "retry_budget.hpp"
#include "summary_table.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenahold {

// How often open requests are checked for deadlines and silent owners.
inline constexpr duration request_check_period = std::chrono::milliseconds(50);
// Consecutive placements of a request before it waits placement_retry_delay.
inline constexpr int max_consecutive_placements = 4;

// The result of a keyed call, to be stored under its key by keyed_calls.
struct keyed_result {
    std::string key;
    keyed_reply reply;
};

class caller_side {
public:
    // Inputs and output of one call; valid during that call only.
    struct context {
        time_point now{};
        const config_snapshot& config;
        bool config_confirmed = false;
        const membership& members;
        const ownership& owners;
        crash_evidence& evidence;
        std::vector<entry_command>& out;
    };

    // A request whose account, service and time limit were found in the
    // configuration. Its account limit is not checked yet.
    struct resolved_request {
        reply_target target;
        const account_spec& account;
        const service_spec& service;
        duration time_limit{};
    };

    caller_side(daemon_id self, zone_name zone, std::uint64_t seed);

    // Checks configuration, account, service, crash evidence and account limit,
    // then places the request or refuses it.
    void on_caller_request(const caller_request& request, context& ctx);
    void on_caller_gone(std::uint64_t ticket, context& ctx);
    // Starts a keyed call whose home is this daemon. take_keyed_results()
    // returns its result.
    void start_keyed_call(const std::string& key, const keyed_call& call, context& ctx);
    std::vector<keyed_result> take_keyed_results();

    void on_bounced(const daemon_id& from, const submit_bounced& message, context& ctx);
    void on_accepted(const daemon_id& from, const submit_accepted& message, context& ctx);
    void on_tokens(const daemon_id& from, const attempt_tokens& message, context& ctx);
    void on_finished(const daemon_id& from, const attempt_finished& message, context& ctx);
    void on_replied(const daemon_id& from, const attempt_replied& message, context& ctx);
    void on_failed(const daemon_id& from, const attempt_failed& message, context& ctx);
    void on_status(const daemon_id& from, const attempt_status& message, context& ctx);
    void on_part_answer(const part_answer& message, context& ctx);
    // Ignores summaries of daemons that are not live, since nothing would remove
    // them again.
    void on_summary(const daemon_id& from, const owner_summary& summary, const context& ctx);
    void on_tick(context& ctx);

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t count_open() const { return m_requests.size(); }

    // The account that an API key belongs to, or the refusal to answer with.
    static std::variant<const account_spec*, refusal> authenticate(std::string_view key_hash, const context& ctx);

    account_limits& limits() { return m_limits; }
    prefix_index& prefixes() { return m_prefixes; }
    summary_table& summaries() { return m_summaries; }

private:
    using request_map = std::unordered_map<request_id, open_request>;

    void admit(const caller_request& request, const resolved_request& resolved, context& ctx);
    submit make_submission(const caller_request& request, const resolved_request& resolved, const request_id& id);
    void open_and_place(open_request request, context& ctx);
    void place(open_request& request, context& ctx);
    void send_attempt(open_request& request, const placement_choice& choice, context& ctx);
    void submit_to(open_request& request, const daemon_id& owner, context& ctx);
    void delay_placement(open_request& request, context& ctx);

    // Very long prompts, in caller_side_groups.cpp.
    using group_messages = std::vector<group_reservation::outgoing>;
    void start_group(open_request& request, context& ctx);
    void check_group(open_request& request, context& ctx);
    void submit_group(open_request& request, group_reservation& group, context& ctx);
    void release_group(const request_id& id, context& ctx);
    static std::vector<group_reservation::candidate> list_group_candidates(const open_request& request,
                                                                           const context& ctx);
    static void send_group_messages(group_messages& messages, context& ctx);
    void retry_after_loss(open_request& request, context& ctx);
    void handle_lost_owner(open_request& request, context& ctx);
    void check_request(open_request& request, context& ctx);
    void check_attempt(open_request& request, context& ctx);
    void query_owner(open_request& request, context& ctx);
    void record_completion(const open_request& request, const attempt_finished& message, context& ctx);
    void record_token_times(open_request& request, std::size_t count, context& ctx);

    void finish(open_request& request, const attempt_finished& message, context& ctx);
    void refuse(open_request& request, refusal code, ran_state ran, std::string message, context& ctx);
    void refuse_ticket(std::uint64_t ticket, refusal code, std::string message, duration retry_after, context& ctx);
    void close_request(const request_id& id, bool ok, context& ctx);
    void send_cancel(const open_request& request, context& ctx);
    open_request* find_by_current_attempt(const attempt_id& attempt, const daemon_id& from);
    static ran_state ran_so_far(const open_request& request);

    daemon_id m_self;
    zone_name m_zone;
    std::mt19937_64 m_random;
    std::uint64_t m_last_sequence = 0;
    request_map m_requests;
    std::unordered_map<std::uint64_t, request_id> m_by_ticket;
    std::unordered_map<request_id, group_reservation> m_groups;
    std::vector<keyed_result> m_keyed_results;
    std::optional<time_point> m_next_check;
    account_limits m_limits;
    cost_model m_cost_model;
    placement m_placement;
    prefix_index m_prefixes;
    retry_budget m_retry_budget;
    summary_table m_summaries;
};

}  // namespace verbenahold
