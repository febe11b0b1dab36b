// Checks a desired state before it is submitted, and compares it with the one in
// force. Both are pure functions. Findings name their place by section, entry and
// field; the words of the operator's file are added by whoever decoded it.
#pragma once

#include "desired_state.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenahold::serving {

// Errors are settings with which requests fail, entries that have no effect, and
// limits that contradict each other. Warnings are settings that are probably not meant.
enum class finding_severity { error, warning };

enum class configuration_section { whole, route, service, limits, account };

enum class configuration_field {
    // The entry or section itself.
    none,
    version,
    requires_keys,
    name,
    priority,
    // Routes.
    host,
    path_prefix,
    kind,
    resumable,
    anonymous,
    timeout,
    latency_target,
    event_gap_target,
    max_attempts,
    split,
    split_service,
    split_weight,
    // Services.
    health_path,
    max_connections,
    cold_time,
    cold_requests_per_second,
    engine,
    batch_slots,
    memory_tokens,
    steps_per_iteration,
    step_time,
    step_time_per_sequence,
    step_time_per_1k_context,
    prefill_rate,
    prefill_time_per_1m_token_pairs,
    prefill_tokens_per_step,
    mean_prompt_tokens,
    mean_answer_tokens,
    added_step_time_when_spread,
    prefix_cache_tokens,
    // Limits on callers.
    max_header_bytes,
    max_body_bytes,
    header_timeout,
    idle_timeout,
    // Accounts.
    api_keys,
};

struct configuration_place {
    configuration_section section = configuration_section::whole;
    // Index of the route or account.
    std::size_t entry = 0;
    // Set for services, which have no order.
    service_name service;
    configuration_field field = configuration_field::none;
    // Index of the traffic share or API key.
    std::optional<std::size_t> item;

    bool operator==(const configuration_place&) const = default;
};

// What a route's requests allow, as far as one setting determines it.
enum class route_kind { event_stream, idempotent, at_most_once };

// Times are in milliseconds, and the prefill rate is in tokens per millisecond. Empty
// if there is no value, or if it is an API key, which is never shown.
using configuration_value = std::variant<std::monostate, bool, double, std::string, route_kind>;

struct configuration_finding {
    finding_severity severity = finding_severity::error;
    configuration_place place;
    configuration_value value;
    std::string text;
    // The other place if the finding concerns two.
    std::optional<configuration_place> related;
};

enum class change_kind { added, removed, changed };

struct configuration_difference {
    change_kind kind = change_kind::changed;
    // In the state in force for what was removed, otherwise in the proposed one.
    configuration_place place;
    // Name of the route, service or account; empty for other sections.
    std::string name;
    configuration_value before;
    configuration_value after;
};

// In the order of the sections; within a section, in the order of its entries, and for
// services in that of their names.
std::vector<configuration_finding> check_configuration(const desired_state& state);

// Routes and accounts are matched by name; those that share a name, by their order.
std::vector<configuration_difference> compare_configurations(const desired_state& in_force,
                                                             const desired_state& proposed);

// A version that is not above the one in force, with other differences: daemons ignore
// such a state.
std::optional<configuration_finding> check_version(const desired_state& in_force, const desired_state& proposed);

}  // namespace verbenahold::serving
