// Configuration records that operators write, their typed views, and the
// immutable snapshot that a daemon works from.
#pragma once

#include "verbenahold/types.hpp"

#include <QJsonObject>

#include <boost/outcome.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

enum class record_kind : std::uint8_t { service, client_account, routing_intention, availability_zone };

std::string_view to_string(record_kind kind);
std::optional<record_kind> parse_record_kind(std::string_view text);

struct record_key {
    record_kind kind = record_kind::service;
    std::string name;

    auto operator<=>(const record_key&) const = default;
    bool operator==(const record_key&) const = default;
};

// Lowest and highest schema version that this program reads.
inline constexpr int oldest_schema_version = 1;
inline constexpr int newest_schema_version = 2;

// One record as stored. `spec` keeps every field, including those unknown to
// this program, so that a rewrite by an older program loses nothing.
struct record {
    record_key key;
    int schema_version = newest_schema_version;
    std::uint64_t record_version = 0;
    QJsonObject spec;

    bool operator==(const record&) const = default;
};

enum class record_error : std::uint8_t {
    not_an_object,
    unknown_kind,
    bad_name,
    unsupported_schema_version,
    missing_field,
    bad_value,
};

struct record_fault {
    record_error error = record_error::not_an_object;
    std::string field;
    std::string message;
};

template <class T>
using record_result = outcome::result<T, record_fault, outcome::policy::all_narrow>;

// Reads a record from its JSON form {"kind","name","schema_version",
// "record_version","spec"} and checks the spec of its kind and version.
record_result<record> parse_record(const QJsonObject& json);
QJsonObject to_json(const record& value);

enum class service_type : std::uint8_t { model, plain };

// Spec of a `service` record.
struct service_spec {
    service_name name;
    service_type type = service_type::model;
    std::string model;
    std::string model_version;
    std::vector<std::string> adapters;
    // How many requests a server of this service can run at once while it is cold,
    // as it is for a time after each start.
    int cold_capacity = 2;
    // How many requests a warm server can run at once.
    int warm_capacity = 16;
    // KV memory of one engine in tokens.
    std::int64_t kv_capacity_tokens = 400'000;
    // How many servers of this service may load a model at the same time.
    int max_unavailable = 1;
    // False for engines that ignore fencing numbers on orders. An order is a command
    // from the control process to an engine, such as load_model.
    bool checks_fencing = true;
    duration default_deadline = std::chrono::seconds(60);
    // Role that engines are ordered to take: any text, passed to the engine as it
    // is. If empty, no role is ordered.
    std::string role;
};

// Spec of a `client_account` record. API keys are stored as hexadecimal SHA-256
// hashes; several keys can be valid at once while a key is rotated.
struct account_spec {
    account_name name;
    std::vector<std::string> key_hashes;
    double tokens_per_second = 0;
    double burst_tokens = 0;
    double weight = 1;
};

enum class placement_policy : std::uint8_t { headroom, least_outstanding, round_robin, random };
std::string_view to_string(placement_policy policy);

// Spec of a `routing_intention` record, which has the name of the service that
// it applies to.
struct routing_spec {
    service_name service;
    placement_policy policy = placement_policy::headroom;
    // Largest share of a server's prefill budget and KV memory that long
    // prompts may use while short requests are present.
    double long_share = 0.5;
    bool prefer_same_zone = true;
};

enum class zone_state : std::uint8_t { in, out };

// Spec of an `availability_zone` record. A zone without a record counts as
// `in`.
struct zone_spec {
    zone_name name;
    zone_state state = zone_state::in;
};

// All records at one configuration version, with typed views. Immutable after
// construction. A record that does not parse is kept in records() but has no typed
// view: the find functions don't return it, not even in an earlier version.
class config_snapshot {
public:
    using record_map = std::map<record_key, record>;

    config_snapshot() = default;
    config_snapshot(std::uint64_t version, record_map records);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const record_map& records() const { return m_records; }
    [[nodiscard]] const service_spec* find_service(const service_name& name) const;
    [[nodiscard]] const account_spec* find_account(const account_name& name) const;
    [[nodiscard]] const account_spec* find_account_by_key_hash(std::string_view hash) const;
    // The routing spec of a service, or the default if it has no record.
    [[nodiscard]] routing_spec routing_for(const service_name& name) const;
    [[nodiscard]] bool is_zone_out(const zone_name& name) const;

private:
    std::uint64_t m_version = 0;
    record_map m_records;
    std::map<service_name, service_spec> m_services;
    std::map<account_name, account_spec> m_accounts;
    std::map<std::string, account_name, std::less<>> m_accounts_by_key_hash;
    std::map<service_name, routing_spec> m_routing;
    std::map<zone_name, zone_state> m_zones;
};

using shared_config = std::shared_ptr<const config_snapshot>;

// One accepted change: the record as written at `version`, or its removal if
// `value` is empty.
struct config_change {
    std::uint64_t version = 0;
    record_key key;
    std::optional<record> value;

    bool operator==(const config_change&) const = default;
};

}  // namespace verbenahold
