#include "schema_versions.hpp"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

constexpr int default_warm_capacity = 16;
constexpr int warm_to_cold_ratio = 4;

void service_to_oldest(QJsonObject& spec) {
    spec["capacity"] = spec["warm_capacity"].toInt(default_warm_capacity);
}

void service_to_newest(QJsonObject& spec) {
    const int capacity = spec.take("capacity").toInt(default_warm_capacity);
    // Version 2 fields that were kept in the record are still valid unless a version
    // 1 writer changed the capacity.
    if (spec["warm_capacity"].toInt(0) != capacity || !spec.contains("cold_capacity")) {
        spec["warm_capacity"] = capacity;
        spec["cold_capacity"] = std::max(1, capacity / warm_to_cold_ratio);
    }
}

void account_to_oldest(QJsonObject& spec) {
    const QJsonArray hashes = spec["key_hashes"].toArray();
    if (!hashes.isEmpty()) {
        spec["key_hash"] = hashes.first();
    }
}

void account_to_newest(QJsonObject& spec) {
    const QJsonValue hash = spec.take("key_hash");
    const QJsonArray kept = spec["key_hashes"].toArray();
    if (kept.isEmpty() || kept.first() != hash) {
        spec["key_hashes"] = QJsonArray{hash};
    }
}

}  // namespace

record_result<record> convert_schema(record value, int version) {
    if (value.schema_version == version) {
        return value;
    }
    const bool to_oldest = version == oldest_schema_version;
    if (value.key.kind == record_kind::service) {
        (to_oldest ? service_to_oldest : service_to_newest)(value.spec);
    } else if (value.key.kind == record_kind::client_account) {
        (to_oldest ? account_to_oldest : account_to_newest)(value.spec);
    }
    value.schema_version = version;
    return parse_record(to_json(value));
}

void schema_versions::on_host_list(std::span<const host_entry> hosts) {
    std::map<host_name, daemon> next;
    for (const host_entry& host : hosts) {
        if (host.role != host_role::entry) {
            continue;
        }
        auto known = m_daemons.extract(host.host);
        daemon entry = known.empty() ? daemon{} : std::move(known.mapped());
        entry.host = host;
        next.emplace(host.host, std::move(entry));
    }
    m_daemons = std::move(next);
}

void schema_versions::on_announced(const host_name& host, std::optional<int> newest, time_point now) {
    const auto found = m_daemons.find(host);
    if (found == m_daemons.end()) {
        return;
    }
    found->second.asked_at = now;
    if (newest) {
        found->second.newest = newest;
    }
}

int schema_versions::max_writable_version() const {
    int version = newest_schema_version;
    for (const auto& [name, entry] : m_daemons) {
        version = std::min(version, entry.newest.value_or(oldest_schema_version));
    }
    return std::max(version, oldest_schema_version);
}

std::vector<host_entry> schema_versions::daemons_to_ask(time_point now) const {
    std::vector<host_entry> result;
    for (const auto& [name, entry] : m_daemons) {
        if (!entry.asked_at || now - *entry.asked_at > max_announcement_age) {
            result.push_back(entry.host);
        }
    }
    return result;
}

}  // namespace verbenahold
