#include "verbenahold/records.hpp"

#include "record_field_reader.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenahold {

namespace {

// Upper bounds of fields, far above useful values. They keep sums of fields from
// overflowing.
constexpr std::int64_t max_capacity = 100'000;
constexpr std::int64_t max_kv_tokens = 1'000'000'000'000;
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;
// Largest integer that a JSON number holds exactly, 2^53 - 1.
constexpr std::int64_t max_record_version = 9'007'199'254'740'991;
constexpr double max_account_tokens = 1e12;
constexpr double max_weight = 1e6;
// Default burst_tokens of an account, as seconds of its tokens_per_second.
constexpr double default_burst_seconds = 10;
// A version 1 record has one capacity, that of a warm server. The capacity of a
// cold server is that divided by this factor.
constexpr int warm_to_cold_ratio = 4;

constexpr std::array kind_names{
    std::pair{record_kind::service, std::string_view("service")},
    std::pair{record_kind::client_account, std::string_view("client_account")},
    std::pair{record_kind::routing_intention, std::string_view("routing_intention")},
    std::pair{record_kind::availability_zone, std::string_view("availability_zone")},
};

constexpr std::array policy_names{
    std::pair{placement_policy::headroom, std::string_view("headroom")},
    std::pair{placement_policy::least_outstanding, std::string_view("least_outstanding")},
    std::pair{placement_policy::round_robin, std::string_view("round_robin")},
    std::pair{placement_policy::random, std::string_view("random")},
};

template <class Names, class Value>
std::string_view name_of(const Names& names, Value value) {
    const auto found = std::find_if(names.begin(), names.end(), [&](const auto& item) { return item.first == value; });
    return found == names.end() ? std::string_view() : found->second;
}

template <class Names>
auto value_of(const Names& names, std::string_view text) -> std::optional<typename Names::value_type::first_type> {
    const auto found = std::find_if(names.begin(), names.end(), [&](const auto& item) { return item.second == text; });
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->first;
}

template <class T>
record_result<T> result_or_fault(const record_field_reader& fields, T value) {
    if (fields.fault()) {
        return *fields.fault();
    }
    return value;
}

// Assigns a field that was read; keeps the default if it is absent or invalid.
template <class To, class From>
void assign_if_present(To& target, std::optional<From> found) {
    if (found) {
        target = static_cast<To>(std::move(*found));
    }
}

void read_capacity(record_field_reader& fields, int schema_version, service_spec& spec) {
    if (schema_version == 1) {
        fields.require("capacity");
        assign_if_present(spec.warm_capacity, fields.integer("capacity", 1, max_capacity));
        spec.cold_capacity = std::max(1, spec.warm_capacity / warm_to_cold_ratio);
        return;
    }
    assign_if_present(spec.cold_capacity, fields.integer("cold_capacity", 1, max_capacity));
    assign_if_present(spec.warm_capacity, fields.integer("warm_capacity", 1, max_capacity));
    if (spec.cold_capacity > spec.warm_capacity) {
        fields.reject("cold_capacity", "a cold server cannot carry more than a warm one");
    }
}

record_result<service_spec> parse_service(const record& value) {
    record_field_reader fields(value.spec);
    service_spec spec;
    spec.name = service_name(value.key.name);
    fields.require("type");
    const std::string type = fields.string("type").value_or("model");
    if (type != "model" && type != "plain") {
        fields.reject("type", "'model' or 'plain' is expected");
    }
    spec.type = type == "plain" ? service_type::plain : service_type::model;
    assign_if_present(spec.model, fields.string("model"));
    assign_if_present(spec.model_version, fields.string("model_version"));
    assign_if_present(spec.adapters, fields.strings("adapters"));
    read_capacity(fields, value.schema_version, spec);
    assign_if_present(spec.kv_capacity_tokens, fields.integer("kv_capacity_tokens", 1, max_kv_tokens));
    assign_if_present(spec.max_unavailable, fields.integer("max_unavailable", 1, max_capacity));
    assign_if_present(spec.checks_fencing, fields.boolean("checks_fencing"));
    assign_if_present(spec.role, fields.string("role"));
    const auto deadline_ms = fields.integer("default_deadline_ms", 1, max_deadline_ms);
    if (deadline_ms) {
        spec.default_deadline = std::chrono::milliseconds(*deadline_ms);
    }
    return result_or_fault(fields, std::move(spec));
}

bool is_sha256(std::string_view text) {
    constexpr std::size_t hex_length = 64;
    return text.size() == hex_length && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void read_keys(record_field_reader& fields, int schema_version, account_spec& spec) {
    const std::string_view field = schema_version == 1 ? "key_hash" : "key_hashes";
    fields.require(field);
    if (schema_version == 1) {
        spec.key_hashes = {fields.string(field).value_or("")};
    } else {
        spec.key_hashes = fields.strings(field).value_or(std::vector<std::string>());
    }
    if (!std::all_of(spec.key_hashes.begin(), spec.key_hashes.end(), is_sha256)) {
        fields.reject(field, "a SHA-256 of 64 lower-case hexadecimal digits is expected");
    }
}

record_result<account_spec> parse_account(const record& value) {
    record_field_reader fields(value.spec);
    account_spec spec;
    spec.name = account_name(value.key.name);
    read_keys(fields, value.schema_version, spec);
    fields.require("tokens_per_second");
    assign_if_present(spec.tokens_per_second, fields.positive_number("tokens_per_second", max_account_tokens));
    spec.burst_tokens = spec.tokens_per_second * default_burst_seconds;
    assign_if_present(spec.burst_tokens, fields.positive_number("burst_tokens", max_account_tokens));
    assign_if_present(spec.weight, fields.positive_number("weight", max_weight));
    return result_or_fault(fields, std::move(spec));
}

record_result<routing_spec> parse_routing(const record& value) {
    record_field_reader fields(value.spec);
    routing_spec spec;
    spec.service = service_name(value.key.name);
    if (const auto text = fields.string("policy")) {
        const auto policy = value_of(policy_names, *text);
        if (!policy) {
            fields.reject("policy", "'headroom', 'least_outstanding', 'round_robin' or 'random' is expected");
        }
        assign_if_present(spec.policy, policy);
    }
    assign_if_present(spec.long_share, fields.positive_number("long_share", 1));
    assign_if_present(spec.prefer_same_zone, fields.boolean("prefer_same_zone"));
    return result_or_fault(fields, std::move(spec));
}

record_result<zone_spec> parse_zone(const record& value) {
    record_field_reader fields(value.spec);
    zone_spec spec;
    spec.name = zone_name(value.key.name);
    fields.require("state");
    const std::string state = fields.string("state").value_or("in");
    if (state != "in" && state != "out") {
        fields.reject("state", "'in' or 'out' is expected");
    }
    spec.state = state == "out" ? zone_state::out : zone_state::in;
    return result_or_fault(fields, std::move(spec));
}

template <class T>
std::optional<record_fault> fault_of(const record_result<T>& result) {
    return result ? std::nullopt : std::optional(result.error());
}

std::optional<record_fault> check_spec(const record& value) {
    switch (value.key.kind) {
        case record_kind::service:
            return fault_of(parse_service(value));
        case record_kind::client_account:
            return fault_of(parse_account(value));
        case record_kind::routing_intention:
            return fault_of(parse_routing(value));
        case record_kind::availability_zone:
            break;
    }
    return fault_of(parse_zone(value));
}

record_fault make_fault(record_error error, std::string field, std::string message) {
    return {error, std::move(field), std::move(message)};
}

record_result<record_key> parse_key(record_field_reader& fields) {
    const auto kind = parse_record_kind(fields.string("kind").value_or(""));
    if (!kind) {
        return make_fault(record_error::unknown_kind, "kind",
                          "'service', 'client_account', 'routing_intention' or 'availability_zone' is expected");
    }
    std::string name = fields.string("name").value_or("");
    if (!is_record_name(name)) {
        return make_fault(record_error::bad_name, "name", "1 to 63 characters of a-z, 0-9 and '-' are expected");
    }
    return record_key{*kind, std::move(name)};
}

}  // namespace

std::string_view to_string(record_kind kind) {
    return name_of(kind_names, kind);
}

std::optional<record_kind> parse_record_kind(std::string_view text) {
    return value_of(kind_names, text);
}

std::string_view to_string(placement_policy policy) {
    return name_of(policy_names, policy);
}

record_result<record> parse_record(const QJsonObject& json) {
    record_field_reader fields(json);
    auto key = parse_key(fields);
    if (!key) {
        return key.error();
    }
    record result;
    result.key = std::move(key).value();
    const auto schema = fields.integer("schema_version", oldest_schema_version, newest_schema_version);
    if (!schema) {
        return make_fault(record_error::unsupported_schema_version, "schema_version",
                          "a schema version from " + std::to_string(oldest_schema_version) + " to " +
                              std::to_string(newest_schema_version) + " is expected");
    }
    result.schema_version = static_cast<int>(*schema);
    assign_if_present(result.record_version, fields.integer("record_version", 0, max_record_version));
    fields.require("spec");
    if (fields.fault()) {
        return *fields.fault();
    }
    if (!json.value(QLatin1String("spec")).isObject()) {
        return make_fault(record_error::not_an_object, "spec", "an object is expected");
    }
    result.spec = json.value(QLatin1String("spec")).toObject();
    if (auto fault = check_spec(result)) {
        return *std::move(fault);
    }
    return result;
}

QJsonObject to_json(const record& value) {
    const std::string_view kind = to_string(value.key.kind);
    return {{"kind", QString::fromUtf8(kind.data(), static_cast<qsizetype>(kind.size()))},
            {"name", QString::fromStdString(value.key.name)},
            {"schema_version", value.schema_version},
            {"record_version", static_cast<qint64>(value.record_version)},
            {"spec", value.spec}};
}

config_snapshot::config_snapshot(std::uint64_t version, record_map records)
    : m_version(version), m_records(std::move(records)) {
    for (const auto& [key, value] : m_records) {
        if (key.kind == record_kind::service) {
            if (auto spec = parse_service(value)) {
                m_services.emplace(spec.value().name, spec.value());
            }
        } else if (key.kind == record_kind::client_account) {
            if (auto spec = parse_account(value)) {
                for (const std::string& hash : spec.value().key_hashes) {
                    m_accounts_by_key_hash.emplace(hash, spec.value().name);
                }
                m_accounts.emplace(spec.value().name, spec.value());
            }
        } else if (key.kind == record_kind::routing_intention) {
            if (auto spec = parse_routing(value)) {
                m_routing.emplace(spec.value().service, spec.value());
            }
        } else if (auto spec = parse_zone(value)) {
            m_zones.emplace(spec.value().name, spec.value().state);
        }
    }
}

const service_spec* config_snapshot::find_service(const service_name& name) const {
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const account_spec* config_snapshot::find_account(const account_name& name) const {
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

const account_spec* config_snapshot::find_account_by_key_hash(std::string_view hash) const {
    const auto found = m_accounts_by_key_hash.find(hash);
    return found == m_accounts_by_key_hash.end() ? nullptr : find_account(found->second);
}

routing_spec config_snapshot::routing_for(const service_name& name) const {
    const auto found = m_routing.find(name);
    if (found != m_routing.end()) {
        return found->second;
    }
    routing_spec defaults;
    defaults.service = name;
    return defaults;
}

bool config_snapshot::is_zone_out(const zone_name& name) const {
    const auto found = m_zones.find(name);
    return found != m_zones.end() && found->second == zone_state::out;
}

}  // namespace verbenahold
