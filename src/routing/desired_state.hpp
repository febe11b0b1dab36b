// What the operator wants the serving layer to do: routes, services, limits of
// callers and client accounts. A newer version replaces an older one whole.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::serving {

// What the serving layer may do with a request whose outcome is unknown.
enum class repeat_rule {
    // May run any number of times.
    idempotent,
    // May run once at most.
    at_most_once,
};

// How the answer of a route arrives.
enum class answer_form { whole, event_stream };

struct traffic_share {
    service_name service;
    // Relative to the other shares of the route.
    double weight = 1;
};

struct route {
    std::string name;
    // In lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    answer_form form = answer_form::whole;
    repeat_rule repeat = repeat_rule::at_most_once;
    // A stream whose answer another server may continue after its last event.
    bool resumable = false;
    // No API key is needed.
    bool anonymous = false;
    // Longest time from the request's arrival to the end of its answer.
    duration timeout{};
    // Time to the answer, or to the first event, that callers expect.
    duration latency_target{};
    // Longest pause between two events that callers accept without complaint.
    duration pause_target{};
    // 0 is the most urgent.
    int priority = 0;
    // Servers that one request may be sent to, the first included.
    int max_attempts = 1;
    std::vector<traffic_share> split;
};

// Cost figures of a model engine, as its operator states them.
struct engine_figures {
    int batch_slots = 1;
    std::int64_t memory_tokens = 0;
    // Steps of a pass that has writing sequences.
    int steps_per_pass = 1;
    // Milliseconds of one step, for each writing sequence and for each 1,000
    // tokens of context that are held by writing sequences.
    double step_ms = 0;
    double step_ms_per_sequence = 0;
    double step_ms_per_1k_context = 0;
    // Prompt tokens read in a millisecond.
    double read_tokens_per_ms = 1;
    // Milliseconds for a million pairs of a token and an earlier one.
    double read_ms_per_1m_pairs = 0;
    // Prompt tokens read in one step at most.
    int read_tokens_per_step = 1;
    // Mean prompt of all requests of the service, in tokens.
    double usual_prompt_tokens = 1;
    // Mean answer of all requests of the service, in tokens.
    double usual_answer_tokens = 1;
    // Milliseconds that each step grows by when a prompt is spread over servers.
    double spread_step_ms = 0;
};

struct service {
    service_name name;
    std::string health_path = "/";
    // Connections of all callers together that one server accepts.
    int max_connections = 1;
    // How long a server stays cold after its start, and the requests a second
    // that it bears while it is cold; 0 where servers don't get cold.
    duration cold_time{};
    double cold_requests_per_second = 0;
    // Set for model engines.
    std::optional<engine_figures> engine;
};

// Bounds on what callers may send and how long they may take.
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
    std::vector<client_account> accounts;
};

}  // namespace verbenahold::serving
