// The configuration that the operator sets: routes, services, limits on callers
// and client accounts. A newer version replaces the older one as a whole.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::serving {

// Whether a request whose outcome is unknown may be retried.
enum class retry_rule {
    // May run any number of times.
    idempotent,
    // May run once at most.
    at_most_once,
};

// How a server answers requests of a route.
enum class answer_form { whole, event_stream };

struct traffic_share {
    service_name service;
    // Relative to the weights of the route's other shares.
    double weight = 1;
};

struct route {
    std::string name;
    // In lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    answer_form form = answer_form::whole;
    retry_rule retry = retry_rule::at_most_once;
    // Another server can continue a stream after the last event sent.
    bool resumable = false;
    // No API key is needed.
    bool anonymous = false;
    // Maximum time from the arrival of the request to the end of its answer.
    duration timeout{};
    // Target for the time to the answer, or to the first event of a stream.
    duration latency_target{};
    // Target for the longest gap between two events of a stream.
    duration event_gap_target{};
    // 0 is the most urgent.
    int priority = 0;
    // Maximum number of servers that may run one request, including the first.
    int max_attempts = 1;
    std::vector<traffic_share> split;
};

// Cost model of a model engine, as the operator configures it. The engine runs
// iterations of several steps; decoding sequences get an event at the end of
// each iteration.
struct engine_cost_model {
    int batch_slots = 1;
    std::int64_t memory_tokens = 0;
    // Steps of an iteration that has decoding sequences.
    int steps_per_iteration = 1;
    // Milliseconds of one step: fixed, for each decoding sequence, and for each
    // 1,000 context tokens that decoding sequences hold.
    double step_ms = 0;
    double step_ms_per_sequence = 0;
    double step_ms_per_1k_context = 0;
    // Prefill throughput.
    double prefill_tokens_per_ms = 1;
    // Attention cost of prefill: milliseconds for a million pairs of a prompt
    // token and an earlier one.
    double prefill_ms_per_1m_token_pairs = 0;
    // Maximum number of prompt tokens prefilled in one step.
    int prefill_tokens_per_step = 1;
    // Mean prompt length over all requests of the service.
    double mean_prompt_tokens = 1;
    // Mean answer length over all requests of the service.
    double mean_answer_tokens = 1;
    // Added to each step when the prompt is spread over several servers.
    double added_step_ms_when_spread = 0;
    // KV memory for prompts that the engine caches after their requests have ended,
    // in tokens; 0 if it caches none.
    std::int64_t prefix_cache_tokens = 0;
};

struct service {
    service_name name;
    std::string health_path = "/";
    // Connections that one server accepts from all clients together.
    int max_connections = 1;
    // How long a server is cold after its start, and the requests a second that
    // it can serve while cold; 0 if the service has no cold phase.
    duration cold_time{};
    double cold_requests_per_second = 0;
    // Set for model engines.
    std::optional<engine_cost_model> engine;
};

// Limits on what callers may send and on how long they may take.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

struct client_account {
    account_name name;
    std::vector<std::string> api_keys;
    // Takes precedence over the priority of the route when set.
    std::optional<int> priority;
};

struct desired_state {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_name, service> services;
    caller_limits limits;
    // Requests need the API key of an account, also if there are no accounts.
    bool requires_keys = false;
    std::vector<client_account> accounts;
};

}  // namespace verbenahold::serving
