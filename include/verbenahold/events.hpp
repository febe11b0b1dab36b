// Events that the shell of an entry daemon passes to its core, as plain values.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold {

// ---- time and shutdown

struct tick {};

// Starts a planned stop: running requests finish, new ones are refused.
struct drain_requested {};

// ---- platform

enum class host_role : std::uint8_t { entry, backend };
enum class host_state : std::uint8_t { live, leaving };

// One entry of the platform's host list.
struct host_entry {
    host_name host;
    zone_name zone;
    host_role role = host_role::backend;
    host_state state = host_state::live;
    // Entry hosts only: addresses for peers and for callers.
    endpoint peer_endpoint;
    endpoint caller_endpoint;
    // Backend servers only: their service and address.
    service_name service;
    endpoint server_endpoint;

    bool operator==(const host_entry&) const = default;
};

struct host_list_read {
    std::vector<host_entry> hosts;
};

// The newest configuration version in the table, as just read.
struct table_head_read {
    std::uint64_t version = 0;
};

struct table_changes_read {
    config_delta delta;
};

enum class table_operation : std::uint8_t { read_head, read_changes, claim_key, record_outcome };

struct table_failed {
    table_operation operation = table_operation::read_head;
};

enum class claim_state : std::uint8_t { granted, held_by_other, finished, unavailable };

// Answer to claim_key. `body_hash`, `holder` and `outcome` come from the row in
// the table.
struct claim_answered {
    std::string key;
    claim_state state = claim_state::unavailable;
    std::uint64_t body_hash = 0;
    daemon_id holder;
    std::optional<keyed_reply> outcome;
};

// ---- peers

struct peer_message_received {
    daemon_id from;
    peer_message message;
};

// ---- callers

// A request, parsed by the shell. Replies refer to it by its ticket.
struct caller_request {
    std::uint64_t ticket = 0;
    call_kind kind = call_kind::completion;
    service_name service;
    // Hexadecimal SHA-256 of the caller's account key.
    std::string key_hash;
    // The prompt of a completion or the body of a plain call.
    shared_text body;
    std::string method;
    std::string path;
    std::string content_type;
    std::string idempotency_key;
    // True for completions and for plain calls with GET or HEAD.
    bool idempotent = true;
    std::int64_t max_tokens = 256;
    // Zero means the service's default deadline.
    duration deadline{};
    std::string traceparent;
};

struct caller_disconnected {
    std::uint64_t ticket = 0;
};

struct locate_request {
    std::uint64_t ticket = 0;
    std::string key_hash;
    // Zone that the caller gave; empty if it gave none.
    zone_name zone;
    // Number of idempotency keys wanted, at most max_keys_for_locate.
    int keys = 0;
};

// ---- backend servers

enum class backend_failure : std::uint8_t {
    // The connection was refused: the server received nothing.
    refused,
    // The server answered that it is overloaded; the request did not run.
    overloaded,
    // The server answered that it lacks KV memory; the request did not run.
    out_of_memory,
    // The server answered 4xx: the request is invalid.
    rejected,
    // The connection ended or was reset after the request was sent.
    reset,
    // No bytes arrived within the silence limit, or no answer in time.
    timed_out,
    // The answer could not be parsed.
    bad_answer,
    // The server does not know the stream.
    unknown_stream,
};

struct stream_opened {
    server_name server;
    std::string stream;
};

struct stream_tokens {
    server_name server;
    std::string stream;
    std::uint64_t first_index = 0;
    std::vector<std::string> tokens;
};

struct stream_heartbeat {
    server_name server;
    std::string stream;
};

struct stream_finished {
    server_name server;
    std::string stream;
    std::uint64_t token_count = 0;
    std::int64_t cached_tokens = 0;
    std::string finish_reason;
};

struct stream_failed {
    server_name server;
    std::string stream;
    backend_failure failure = backend_failure::reset;
    std::string message;
};

struct service_replied {
    server_name server;
    attempt_id attempt;
    int status = 0;
    std::string content_type;
    std::string body;
};

struct service_failed {
    server_name server;
    attempt_id attempt;
    backend_failure failure = backend_failure::reset;
};

// Load that a backend server reports about itself. It lags behind the actual
// load.
struct load_report {
    server_name server;
    std::uint64_t incarnation = 0;
    int running = 0;
    int queued = 0;
    std::int64_t kv_used_tokens = 0;
    std::int64_t kv_capacity_tokens = 0;
    std::int64_t prefill_backlog_tokens = 0;
    std::string model_version;
};

struct load_failed {
    server_name server;
    backend_failure failure = backend_failure::timed_out;
};

struct listed_stream {
    std::string stream;
    std::int64_t kv_tokens = 0;
    bool has_reader = false;
    duration age{};
};

struct listed_reservation {
    std::string reservation;
    std::int64_t tokens = 0;
    duration age{};
};

// All streams and reservations that a server holds at the time of its answer.
struct stream_listing {
    server_name server;
    std::uint64_t incarnation = 0;
    std::vector<listed_stream> streams;
    std::vector<listed_reservation> reservations;
};

struct memory_reserved {
    server_name server;
    std::string reservation;
    bool granted = false;
};

// The server has added a prefix to its cache (`stored`) or evicted it. Events
// arrive late and some are lost.
struct cache_event {
    server_name server;
    std::uint64_t prefix_hash = 0;
    bool stored = true;
};

using entry_event =
    std::variant<tick, drain_requested, host_list_read, table_head_read, table_changes_read, table_failed,
                 claim_answered, peer_message_received, caller_request, caller_disconnected, locate_request,
                 stream_opened, stream_tokens, stream_heartbeat, stream_finished, stream_failed, service_replied,
                 service_failed, load_report, load_failed, stream_listing, memory_reserved, cache_event>;

}  // namespace verbenahold
