#include "configuration_check.hpp"

#include "duration_units.hpp"
#include "route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace verbenahold::serving {

namespace {

using field = configuration_field;
using section = configuration_section;
using place = configuration_place;

place route_place(std::size_t entry, field of = field::none, std::optional<std::size_t> item = {}) {
    return {section::route, entry, {}, of, item};
}

place service_place(const service_name& name, field of = field::none) {
    return {section::service, 0, name, of, {}};
}

place limits_place(field of) {
    return {section::limits, 0, {}, of, {}};
}

place account_place(std::size_t entry, field of = field::none, std::optional<std::size_t> item = {}) {
    return {section::account, entry, {}, of, item};
}

double number_of(std::int64_t value) {
    return static_cast<double>(value);
}

// ---- findings

class configuration_checker {
public:
    explicit configuration_checker(const desired_state& state) : m_state(state) {}

    std::vector<configuration_finding> run() {
        for (std::size_t i = 0; i < m_state.routes.size(); ++i) {
            check_match(i);
            check_times(i);
            check_split(i);
        }
        for (const auto& [name, entry] : m_state.services) {
            check_service(entry);
            if (entry.engine) {
                check_engine(name, *entry.engine);
            }
        }
        check_limits();
        check_accounts();
        return std::move(m_findings);
    }

private:
    void error(place where, configuration_value value, std::string text, std::optional<place> related = {}) {
        m_findings.push_back(
            {finding_severity::error, std::move(where), std::move(value), std::move(text), std::move(related)});
    }

    void warning(place where, configuration_value value, std::string text, std::optional<place> related = {}) {
        m_findings.push_back(
            {finding_severity::warning, std::move(where), std::move(value), std::move(text), std::move(related)});
    }

    // The route table uses the first of several routes with the same host and prefix.
    void check_match(std::size_t i) {
        const auto& entry = m_state.routes[i];
        const auto& prefix = entry.path_prefix;
        if (normalized_host(entry.host).empty()) {
            warning(route_place(i, field::host), entry.host, "only requests that name no host match");
        }
        if (!prefix.empty() && prefix.front() != '/') {
            error(route_place(i, field::path_prefix), prefix, "does not begin with a slash, so no path matches");
        } else if (prefix.find('?') != std::string::npos) {
            error(route_place(i, field::path_prefix), prefix, "contains '?', which no path does, so no path matches");
        } else if (prefix.empty() || prefix.back() != '/') {
            warning(route_place(i, field::path_prefix), prefix,
                    "does not end with a slash, so paths that continue the last segment match too");
        }
        const auto [first, is_new] = m_routes.try_emplace({normalized_host(entry.host), prefix}, i);
        if (!is_new) {
            error(route_place(i), entry.name, "never matches: an earlier route has the same host and prefix",
                  route_place(first->second));
        }
        const auto [same_name, is_new_name] = m_route_names.try_emplace(entry.name, i);
        if (!is_new_name) {
            warning(route_place(i, field::name), entry.name, "is also the name of another route",
                    route_place(same_name->second, field::name));
        }
    }

    void check_times(std::size_t i) {
        const auto& entry = m_state.routes[i];
        if (entry.timeout.count() <= 0) {
            error(route_place(i, field::timeout), to_ms(entry.timeout), "is not above zero, so each request fails");
        }
        check_target(i, field::latency_target, entry.latency_target, "the latency target is above the timeout");
        check_target(i, field::event_gap_target, entry.event_gap_target, "the gap target is above the timeout");
        if (entry.max_attempts < 1) {
            error(route_place(i, field::max_attempts), number_of(entry.max_attempts),
                  "is below 1; the first attempt counts too");
        }
    }

    void check_target(std::size_t i, field of, duration target, const char* above_timeout) {
        const auto timeout = m_state.routes[i].timeout;
        if (target.count() < 0) {
            error(route_place(i, of), to_ms(target), "is negative");
        } else if (timeout.count() > 0 && target > timeout) {
            error(route_place(i, of), to_ms(target), above_timeout, route_place(i, field::timeout));
        }
    }

    void check_split(std::size_t i) {
        const auto& split = m_state.routes[i].split;
        if (split.empty()) {
            error(route_place(i, field::split), {}, "names no service, so each request fails");
            return;
        }
        for (std::size_t j = 0; j < split.size(); ++j) {
            m_used_services.insert(split[j].service);
            if (!m_state.services.contains(split[j].service)) {
                error(route_place(i, field::split_service, j), split[j].service.value, "there is no such service");
            }
            if (split[j].weight < 0) {
                error(route_place(i, field::split_weight, j), split[j].weight, "is negative");
            }
        }
        if (std::all_of(split.begin(), split.end(), [](const auto& share) { return share.weight == 0; })) {
            error(route_place(i, field::split), {}, "all weights are zero, so each request fails");
        }
    }

    void check_service(const service& entry) {
        if (!m_used_services.contains(entry.name)) {
            warning(service_place(entry.name), entry.name.value, "no route leads to the service");
        }
        if (entry.max_connections < 1) {
            error(service_place(entry.name, field::max_connections), number_of(entry.max_connections),
                  "is below 1, so the service accepts no connection");
        }
        if (entry.cold_time.count() < 0) {
            error(service_place(entry.name, field::cold_time), to_ms(entry.cold_time), "is negative");
        }
        if (entry.cold_requests_per_second < 0) {
            error(service_place(entry.name, field::cold_requests_per_second), entry.cold_requests_per_second,
                  "is negative");
        }
        if ((entry.cold_time.count() > 0) != (entry.cold_requests_per_second > 0)) {
            warning(service_place(entry.name, field::cold_time), to_ms(entry.cold_time),
                    "a cold phase needs both a time and a rate above zero",
                    service_place(entry.name, field::cold_requests_per_second));
        }
    }

    void check_engine(const service_name& name, const engine_cost_model& engine) {
        require_at_least_one(name, field::batch_slots, number_of(engine.batch_slots), "the engine has no batch slots");
        require_at_least_one(name, field::memory_tokens, number_of(engine.memory_tokens), "the engine has no memory");
        require_at_least_one(name, field::steps_per_iteration, number_of(engine.steps_per_iteration), "is below 1");
        require_at_least_one(name, field::prefill_tokens_per_step, number_of(engine.prefill_tokens_per_step),
                             "is below 1");
        const auto memory = number_of(engine.memory_tokens);
        if (engine.memory_tokens >= 1 && engine.mean_prompt_tokens > memory) {
            error(service_place(name, field::mean_prompt_tokens), engine.mean_prompt_tokens,
                  "a server's memory cannot hold the usual prompt", service_place(name, field::memory_tokens));
        } else if (engine.memory_tokens >= 1 && engine.mean_prompt_tokens + engine.mean_answer_tokens > memory) {
            warning(service_place(name, field::mean_answer_tokens), engine.mean_answer_tokens,
                    "a server's memory cannot hold the usual prompt together with the usual answer",
                    service_place(name, field::memory_tokens));
        }
        // Placement relies on this figure: one that is too high makes it worse than none.
        if (engine.memory_tokens >= 1 && engine.prefix_cache_tokens > engine.memory_tokens) {
            error(service_place(name, field::prefix_cache_tokens), number_of(engine.prefix_cache_tokens),
                  "a server's memory cannot hold the cached prompts", service_place(name, field::memory_tokens));
        }
        const std::pair<field, double> times[] = {
            {field::step_time, engine.step_ms},
            {field::step_time_per_sequence, engine.step_ms_per_sequence},
            {field::step_time_per_1k_context, engine.step_ms_per_1k_context},
            {field::prefill_time_per_1m_token_pairs, engine.prefill_ms_per_1m_token_pairs},
            {field::added_step_time_when_spread, engine.added_step_ms_when_spread}};
        for (const auto& [of, milliseconds] : times) {
            if (milliseconds < 0) {
                error(service_place(name, of), milliseconds, "is negative");
            }
        }
    }

    void require_at_least_one(const service_name& name, field of, double value, const char* text) {
        if (value < 1) {
            error(service_place(name, of), value, text);
        }
    }

    void check_limits() {
        const auto& limits = m_state.limits;
        const std::pair<field, double> amounts[] = {
            {field::max_header_bytes, static_cast<double>(limits.max_header_bytes)},
            {field::max_body_bytes, static_cast<double>(limits.max_body_bytes)},
            {field::header_timeout, to_ms(limits.header_timeout)},
            {field::idle_timeout, to_ms(limits.idle_timeout)}};
        for (const auto& [of, amount] : amounts) {
            if (amount <= 0) {
                error(limits_place(of), amount, "the limit is not above zero");
            }
        }
    }

    // The route table assigns a key to the first account that has it.
    void check_accounts() {
        bool has_key = false;
        for (std::size_t i = 0; i < m_state.accounts.size(); ++i) {
            const auto& account = m_state.accounts[i];
            const auto [first, is_new] = m_accounts.try_emplace(account.name, i);
            if (!is_new) {
                error(account_place(i, field::name), account.name.value, "another account has the same name",
                      account_place(first->second, field::name));
            }
            for (std::size_t j = 0; j < account.api_keys.size(); ++j) {
                has_key = has_key || !account.api_keys[j].empty();
                check_key(account.api_keys[j], account_place(i, field::api_keys, j));
            }
            if (account.api_keys.empty()) {
                warning(account_place(i, field::api_keys), {}, "the account has no key, so no request belongs to it");
            }
        }
        const bool needs_key = std::any_of(m_state.routes.begin(), m_state.routes.end(),
                                           [](const route& entry) { return !entry.anonymous; });
        if (m_state.requires_keys && needs_key && !has_key) {
            error({section::whole, 0, {}, field::requires_keys, {}}, {},
                  "keys are required but no account has one, so only anonymous routes answer");
        }
    }

    void check_key(const std::string& key, const place& where) {
        if (key.empty()) {
            warning(where, {}, "an empty key admits no request");
            return;
        }
        const auto [first, is_new] = m_keys.try_emplace(key, where);
        if (!is_new) {
            error(where, {}, "the same key occurs earlier, and belongs to the account there", first->second);
        }
    }

    const desired_state& m_state;
    std::vector<configuration_finding> m_findings;
    std::map<std::pair<std::string, std::string>, std::size_t> m_routes;
    std::map<std::string, std::size_t> m_route_names;
    std::set<service_name> m_used_services;
    std::map<account_name, std::size_t> m_accounts;
    std::map<std::string, place> m_keys;
};

// ---- differences

using field_values = std::vector<std::pair<field, configuration_value>>;

route_kind kind_of(const route& entry) {
    if (entry.form == answer_form::event_stream) {
        return route_kind::event_stream;
    }
    return entry.retry == retry_rule::idempotent ? route_kind::idempotent : route_kind::at_most_once;
}

configuration_value priority_value(std::optional<int> priority) {
    return priority ? configuration_value(number_of(*priority)) : configuration_value();
}

// "service" for the only share, or "service:weight, service:weight".
std::string describe_split(const std::vector<traffic_share>& split) {
    if (split.size() == 1 && split.front().weight == 1) {
        return split.front().service.value;
    }
    std::string text;
    for (const auto& share : split) {
        auto weight = std::to_string(share.weight);
        weight.erase(weight.find_last_not_of('0') + 1);
        if (weight.back() == '.') {
            weight.pop_back();
        }
        text += (text.empty() ? "" : ", ") + share.service.value + ':' + weight;
    }
    return text;
}

field_values values_of(const route& entry) {
    return {{field::host, entry.host},
            {field::path_prefix, entry.path_prefix},
            {field::kind, kind_of(entry)},
            {field::resumable, entry.resumable},
            {field::anonymous, entry.anonymous},
            {field::timeout, to_ms(entry.timeout)},
            {field::latency_target, to_ms(entry.latency_target)},
            {field::event_gap_target, to_ms(entry.event_gap_target)},
            {field::priority, number_of(entry.priority)},
            {field::max_attempts, number_of(entry.max_attempts)},
            {field::split, describe_split(entry.split)}};
}

field_values values_of(const engine_cost_model& engine) {
    return {{field::batch_slots, number_of(engine.batch_slots)},
            {field::memory_tokens, number_of(engine.memory_tokens)},
            {field::steps_per_iteration, number_of(engine.steps_per_iteration)},
            {field::step_time, engine.step_ms},
            {field::step_time_per_sequence, engine.step_ms_per_sequence},
            {field::step_time_per_1k_context, engine.step_ms_per_1k_context},
            {field::prefill_rate, engine.prefill_tokens_per_ms},
            {field::prefill_time_per_1m_token_pairs, engine.prefill_ms_per_1m_token_pairs},
            {field::prefill_tokens_per_step, number_of(engine.prefill_tokens_per_step)},
            {field::mean_prompt_tokens, engine.mean_prompt_tokens},
            {field::mean_answer_tokens, engine.mean_answer_tokens},
            {field::added_step_time_when_spread, engine.added_step_ms_when_spread},
            {field::prefix_cache_tokens, number_of(engine.prefix_cache_tokens)}};
}

field_values values_of(const service& entry) {
    return {{field::health_path, entry.health_path},
            {field::max_connections, number_of(entry.max_connections)},
            {field::cold_time, to_ms(entry.cold_time)},
            {field::cold_requests_per_second, entry.cold_requests_per_second}};
}

field_values values_of(const caller_limits& limits) {
    return {{field::max_header_bytes, static_cast<double>(limits.max_header_bytes)},
            {field::max_body_bytes, static_cast<double>(limits.max_body_bytes)},
            {field::header_timeout, to_ms(limits.header_timeout)},
            {field::idle_timeout, to_ms(limits.idle_timeout)}};
}

field_values values_of(const client_account& account) {
    return {{field::priority, priority_value(account.priority)}};
}

// Index of each entry by name and by its number among the entries of the same name.
template <class Entry>
std::map<std::pair<std::string, std::size_t>, std::size_t> index_by_name(const std::vector<Entry>& entries) {
    std::map<std::pair<std::string, std::size_t>, std::size_t> index;
    std::map<std::string, std::size_t> occurrences;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        std::string name;
        if constexpr (std::is_same_v<Entry, route>) {
            name = entries[i].name;
        } else {
            name = entries[i].name.value;
        }
        const auto number = occurrences[name]++;
        index.emplace(std::pair(std::move(name), number), i);
    }
    return index;
}

class configuration_comparison {
public:
    configuration_comparison(const desired_state& in_force, const desired_state& proposed)
        : m_in_force(in_force), m_proposed(proposed) {}

    std::vector<configuration_difference> run() {
        compare_fields({}, "", {{field::version, static_cast<double>(m_in_force.version)}},
                       {{field::version, static_cast<double>(m_proposed.version)}});
        compare_entries(m_in_force.routes, m_proposed.routes, section::route);
        compare_services();
        compare_fields({section::limits, 0, {}, field::none, {}}, "", values_of(m_in_force.limits),
                       values_of(m_proposed.limits));
        compare_fields({}, "", {{field::requires_keys, m_in_force.requires_keys}},
                       {{field::requires_keys, m_proposed.requires_keys}});
        compare_entries(m_in_force.accounts, m_proposed.accounts, section::account);
        return std::move(m_differences);
    }

private:
    void compare_fields(place where, const std::string& name, const field_values& before, const field_values& after) {
        for (std::size_t i = 0; i < before.size(); ++i) {
            if (before[i].second != after[i].second) {
                where.field = before[i].first;
                m_differences.push_back({change_kind::changed, where, name, before[i].second, after[i].second});
            }
        }
    }

    template <class Entry>
    void compare_entries(const std::vector<Entry>& before, const std::vector<Entry>& after, section of) {
        const auto old_index = index_by_name(before);
        const auto new_index = index_by_name(after);
        for (const auto& [key, i] : old_index) {
            if (!new_index.contains(key)) {
                m_differences.push_back({change_kind::removed, {of, i, {}, field::none, {}}, key.first, key.first, {}});
            }
        }
        for (const auto& [key, i] : new_index) {
            const place where{of, i, {}, field::none, {}};
            const auto old = old_index.find(key);
            if (old == old_index.end()) {
                m_differences.push_back({change_kind::added, where, key.first, {}, key.first});
                continue;
            }
            compare_fields(where, key.first, values_of(before[old->second]), values_of(after[i]));
            if constexpr (std::is_same_v<Entry, client_account>) {
                compare_keys(where, before[old->second], after[i]);
            }
        }
    }

    // API keys are counted only, since they are secrets.
    void compare_keys(place where, const client_account& before, const client_account& after) {
        const std::set<std::string> old_keys(before.api_keys.begin(), before.api_keys.end());
        const std::set<std::string> new_keys(after.api_keys.begin(), after.api_keys.end());
        if (old_keys == new_keys) {
            return;
        }
        const auto added =
            std::count_if(new_keys.begin(), new_keys.end(), [&](const auto& key) { return !old_keys.contains(key); });
        const auto removed =
            std::count_if(old_keys.begin(), old_keys.end(), [&](const auto& key) { return !new_keys.contains(key); });
        where.field = field::api_keys;
        m_differences.push_back({change_kind::changed, where, after.name.value,
                                 std::to_string(old_keys.size()) + " keys",
                                 std::to_string(new_keys.size()) + " keys: " + std::to_string(added) + " added, " +
                                     std::to_string(removed) + " removed"});
    }

    void compare_services() {
        for (const auto& [name, before] : m_in_force.services) {
            if (!m_proposed.services.contains(name)) {
                m_differences.push_back({change_kind::removed, service_place(name), name.value, name.value, {}});
            }
        }
        for (const auto& [name, after] : m_proposed.services) {
            const auto old = m_in_force.services.find(name);
            if (old == m_in_force.services.end()) {
                m_differences.push_back({change_kind::added, service_place(name), name.value, {}, name.value});
                continue;
            }
            compare_fields(service_place(name), name.value, values_of(old->second), values_of(after));
            compare_engines(name, old->second.engine, after.engine);
        }
    }

    void compare_engines(const service_name& name, const std::optional<engine_cost_model>& before,
                         const std::optional<engine_cost_model>& after) {
        if (before && after) {
            compare_fields(service_place(name), name.value, values_of(*before), values_of(*after));
        } else if (before || after) {
            m_differences.push_back({before ? change_kind::removed : change_kind::added,
                                     service_place(name, field::engine),
                                     name.value,
                                     {},
                                     {}});
        }
    }

    const desired_state& m_in_force;
    const desired_state& m_proposed;
    std::vector<configuration_difference> m_differences;
};

}  // namespace

std::vector<configuration_finding> check_configuration(const desired_state& state) {
    return configuration_checker(state).run();
}

std::vector<configuration_difference> compare_configurations(const desired_state& in_force,
                                                             const desired_state& proposed) {
    return configuration_comparison(in_force, proposed).run();
}

std::optional<configuration_finding> check_version(const desired_state& in_force, const desired_state& proposed) {
    if (proposed.version > in_force.version || compare_configurations(in_force, proposed).empty()) {
        return std::nullopt;
    }
    return configuration_finding{finding_severity::error,
                                 {section::whole, 0, {}, field::version, {}},
                                 static_cast<double>(proposed.version),
                                 "is not above the version in force, so the daemons ignore this configuration",
                                 {}};
}

}  // namespace verbenahold::serving
