// Messages between daemons as plain values. Times are remaining durations,
// never absolute. `src/io/message_codec` converts them to and from protobuf.
#pragma once

#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// ---- membership

enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

// State of one member as the sender knows it. Of two updates about the same
// incarnation, the one with the higher refutation number wins, then the one with
// the higher state.
struct member_update {
    daemon_id daemon;
    zone_name zone;
    endpoint peer_endpoint;
    endpoint caller_endpoint;
    member_state state = member_state::alive;
    // Raised by the daemon itself to refute a suspicion or to announce a change;
    // SWIM calls this the incarnation number.
    std::uint32_t refutation = 0;

    bool operator==(const member_update&) const = default;
};

// How often a request with this fingerprint is held responsible for the death of
// its server; spread with membership gossip.
struct crash_strike {
    std::uint64_t fingerprint = 0;
    std::uint8_t strikes = 0;
    duration expires_in{};

    bool operator==(const crash_strike&) const = default;
};

// Payload piggybacked on each probe and ack.
struct gossip_payload {
    std::uint64_t config_version = 0;
    // True when the sender has confirmed that version within the last 5 s.
    bool config_confirmed = false;
    std::uint8_t oldest_schema = 1;
    std::uint8_t newest_schema = 1;
    std::vector<member_update> updates;
    std::vector<crash_strike> strikes;
    // Suspect and dead members, each as a 32-bit hash of its id, state and
    // refutation number (see accusation_hash()).
    std::vector<std::uint32_t> accusations;

    bool operator==(const gossip_payload&) const = default;
};

struct probe {
    std::uint64_t sequence = 0;
    gossip_payload gossip;
    bool operator==(const probe&) const = default;
};

struct probe_ack {
    std::uint64_t sequence = 0;
    gossip_payload gossip;
    bool operator==(const probe_ack&) const = default;
};

// Asks the receiver to probe `target` and to forward the ack.
struct probe_request {
    std::uint64_t sequence = 0;
    daemon_id target;
    bool operator==(const probe_request&) const = default;
};

// The sender takes no new work and exits when its running requests have ended.
struct leave {
    bool operator==(const leave&) const = default;
};

// ---- headroom and ownership

// Capacity that one owner has left for one service in one zone, summed over the
// servers that it owns there. Tokens are prompt tokens.
struct headroom {
    service_name service;
    zone_name zone;
    std::uint16_t servers = 0;
    std::uint16_t in_flight = 0;
    // Requests that could start now.
    std::uint16_t free_slots = 0;
    std::int64_t free_short_tokens = 0;
    std::int64_t free_long_tokens = 0;
    // Free KV memory of the server that has most of it free.
    std::int64_t largest_free_kv_tokens = 0;
    // Predicted wait of a new short and a new long request.
    duration short_wait{};
    duration long_wait{};

    bool operator==(const headroom&) const = default;
};

struct owner_summary {
    // Increases with each summary that one daemon incarnation sends.
    std::uint64_t sequence = 0;
    std::vector<headroom> entries;
    bool operator==(const owner_summary&) const = default;
};

// The sender has given up ownership of these servers and sends them no more work.
struct release_servers {
    std::vector<server_name> servers;
    bool operator==(const release_servers&) const = default;
};

// ---- requests

enum class call_kind : std::uint8_t { completion, plain };
enum class length_class : std::uint8_t { short_prompt, medium_prompt, long_prompt, very_long_prompt };

// The part of a very long prompt's KV cache that one server holds.
struct memory_part {
    server_name server;
    std::string reservation;
    std::int64_t tokens = 0;
    bool operator==(const memory_part&) const = default;
};

// An attempt that the caller side sends to an owner, which queues it and runs it
// on one of its servers.
struct submit {
    attempt_id attempt;
    call_kind kind = call_kind::completion;
    service_name service;
    account_name account;
    double account_weight = 1;
    // Server that probably has the prompt's prefix cached, according to the caller
    // side's prefix index.
    std::optional<server_name> preferred_server;
    // The prompt of a completion or the body of a plain call.
    shared_text body;
    std::string method;
    std::string path;
    std::string content_type;
    std::string idempotency_key;
    bool idempotent = true;
    std::int64_t prompt_tokens = 0;
    std::int64_t uncached_tokens = 0;
    std::int64_t max_tokens = 0;
    std::int64_t predicted_output_tokens = 0;
    length_class length = length_class::short_prompt;
    // Hash of the prompt at each multiple of prefix_block_tokens.
    std::vector<std::uint64_t> prefix_hashes;
    std::uint64_t fingerprint = 0;
    // If true, the request must run alone on its server because it may crash it.
    bool run_alone = false;
    // Tokens generated by earlier attempts; decoding continues after them.
    std::vector<std::string> generated;
    // KV memory reserved for this attempt on other servers.
    std::vector<memory_part> parts;
    duration time_left{};
    std::string traceparent;
};

enum class bounce_reason : std::uint8_t {
    not_owner,
    no_headroom,
    deadline_too_short,
    zone_out,
    draining,
    configuration_unconfirmed,
    tombstoned,
    suspected_of_crashing,
};

// The owner rejects the attempt: it has not run there and never will.
struct submit_bounced {
    attempt_id attempt;
    bounce_reason reason = bounce_reason::no_headroom;
    owner_summary summary;
    bool operator==(const submit_bounced&) const = default;
};

// The attempt is queued or running. `server` is empty while it is queued.
struct submit_accepted {
    attempt_id attempt;
    server_name server;
    owner_summary summary;
    bool operator==(const submit_accepted&) const = default;
};

struct attempt_tokens {
    attempt_id attempt;
    std::uint64_t first_index = 0;
    std::vector<std::string> tokens;
    bool operator==(const attempt_tokens&) const = default;
};

// End of a completion. The token count and the checksum cover the whole answer,
// including the tokens of earlier attempts.
struct attempt_finished {
    attempt_id attempt;
    std::uint64_t token_count = 0;
    std::uint64_t checksum = 0;
    std::string finish_reason;
    std::int64_t cached_tokens = 0;
    server_name server;
    owner_summary summary;
    bool operator==(const attempt_finished&) const = default;
};

// Complete response to a plain call.
struct attempt_replied {
    attempt_id attempt;
    int status = 0;
    std::string content_type;
    std::string body;
    bool operator==(const attempt_replied&) const = default;
};

enum class attempt_failure : std::uint8_t {
    server_died,
    server_refused,
    deadline_passed,
    canceled,
    owner_stopping,
    part_lost,
    bad_request,
};

struct attempt_failed {
    attempt_id attempt;
    attempt_failure reason = attempt_failure::server_died;
    ran_state ran = ran_state::unknown;
    // Current number of strikes of the request's fingerprint.
    std::uint8_t strikes = 0;
    std::string message;
    owner_summary summary;
    bool operator==(const attempt_failed&) const = default;
};

struct cancel_attempt {
    attempt_id attempt;
    bool operator==(const cancel_attempt&) const = default;
};

// Asks the owner for the state of an attempt and for its tokens from index
// `have_tokens` on.
struct attempt_query {
    attempt_id attempt;
    std::uint64_t have_tokens = 0;
    bool operator==(const attempt_query&) const = default;
};

enum class attempt_state : std::uint8_t { unknown, queued, running };

// Answer to an attempt_query when there are no tokens and no end to send instead.
// After answering `unknown` the owner bounces any later submit of that attempt.
struct attempt_status {
    attempt_id attempt;
    attempt_state state = attempt_state::unknown;
    bool operator==(const attempt_status&) const = default;
};

// ---- very long prompts

struct reserve_part {
    attempt_id attempt;
    server_name server;
    std::string reservation;
    std::int64_t tokens = 0;
    duration expires_in{};
    bool operator==(const reserve_part&) const = default;
};

struct part_answer {
    attempt_id attempt;
    server_name server;
    std::string reservation;
    bool granted = false;
    bool operator==(const part_answer&) const = default;
};

// Extends a reservation from its expiry to the end of the attempt.
struct confirm_part {
    attempt_id attempt;
    server_name server;
    std::string reservation;
    bool operator==(const confirm_part&) const = default;
};

struct release_part {
    attempt_id attempt;
    server_name server;
    std::string reservation;
    bool operator==(const release_part&) const = default;
};

// ---- calls with an idempotency key

// A non-idempotent call, forwarded to the only daemon that may run it.
struct keyed_call {
    std::string key;
    // Increases with each new forward by one sender and stays the same when that
    // forward is sent again, so that a late duplicate does not run after the
    // answer "not run".
    std::uint64_t forward_number = 0;
    service_name service;
    account_name account;
    std::string method;
    std::string path;
    std::string content_type;
    shared_text body;
    duration time_left{};
    std::string traceparent;
};

struct keyed_reply {
    std::string key;
    account_name account;
    // True: the reply came from the service. False: a daemon refused the call and
    // error_code says why.
    bool replied = false;
    int status = 0;
    std::string content_type;
    std::string body;
    std::string error_code;
    ran_state ran = ran_state::unknown;
    bool operator==(const keyed_reply&) const = default;
};

// ---- configuration

struct config_fetch {
    std::uint64_t have_version = 0;
    bool operator==(const config_fetch&) const = default;
};

// Changes after `from_version` up to `to_version`, or, if `is_snapshot` is set, a
// snapshot of all records at `to_version`.
struct config_delta {
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    bool is_snapshot = false;
    std::vector<config_change> changes;
    bool operator==(const config_delta&) const = default;
};

// ---- account limits

struct account_demand {
    account_name account;
    double tokens_per_second = 0;
    bool operator==(const account_demand&) const = default;
};

struct demand_report {
    std::vector<account_demand> demands;
    bool operator==(const demand_report&) const = default;
};

// Share of each account's rate limit that the receiver may use for `valid_for`.
struct share_grant {
    // tokens_per_second holds the share, from 0 to 1.
    std::vector<account_demand> shares;
    duration valid_for{};
    bool operator==(const share_grant&) const = default;
};

using peer_message =
    std::variant<probe, probe_ack, probe_request, leave, owner_summary, release_servers, submit, submit_bounced,
                 submit_accepted, attempt_tokens, attempt_finished, attempt_replied, attempt_failed, cancel_attempt,
                 attempt_query, attempt_status, reserve_part, part_answer, confirm_part, release_part, keyed_call,
                 keyed_reply, config_fetch, config_delta, demand_report, share_grant>;

}  // namespace verbenahold
