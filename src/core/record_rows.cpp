#include "record_rows.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

QString to_qstring(std::string_view text) {
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string record_row_key(const record_key& key) {
    return std::string(record_row_prefix) + std::string(to_string(key.kind)) + '/' + key.name;
}

std::string change_row_key(std::uint64_t version) {
    constexpr std::size_t digits = 20;
    const std::string number = std::to_string(version);
    return std::string(change_row_prefix) + std::string(digits - std::min(digits, number.size()), '0') + number;
}

std::string operation_row_key(std::string_view operation) {
    return std::string(operation_row_prefix) + std::string(operation);
}

std::string order_row_key(std::string_view server) {
    return std::string(order_row_prefix) + std::string(server);
}

std::string loaded_row_key(std::string_view service, std::string_view server) {
    return std::string(loaded_row_prefix) + std::string(service) + '/' + std::string(server);
}

QJsonObject head_row(std::uint64_t version) {
    return {{"version", static_cast<qint64>(version)}};
}

std::uint64_t version_of_row(const QJsonValue& row) {
    return static_cast<std::uint64_t>(std::max<qint64>(0, row["version"].toInteger(0)));
}

QJsonObject change_row(const config_change& change, std::chrono::seconds written_at) {
    QJsonObject row = head_row(change.version);
    row["written_at_s"] = static_cast<qint64>(written_at.count());
    if (change.value) {
        row["record"] = to_json(*change.value);
    } else {
        row["removed"] =
            QJsonObject{{"kind", to_qstring(to_string(change.key.kind))}, {"name", to_qstring(change.key.name)}};
    }
    return row;
}

namespace {

std::optional<record_key> parse_key(const QJsonObject& json) {
    const auto kind = parse_record_kind(json["kind"].toString().toStdString());
    std::string name = json["name"].toString().toStdString();
    if (!kind || name.empty()) {
        return std::nullopt;
    }
    return record_key{*kind, std::move(name)};
}

}  // namespace

std::optional<record> parse_record_row(const QJsonValue& row) {
    const QJsonObject json = row.toObject();
    auto key = parse_key(json);
    if (!key) {
        return std::nullopt;
    }
    const qint64 version = std::max<qint64>(0, json["record_version"].toInteger(0));
    return record{*std::move(key), json["schema_version"].toInt(0), static_cast<std::uint64_t>(version),
                  json["spec"].toObject()};
}

std::optional<config_change> parse_change_row(const QJsonValue& row) {
    config_change change;
    change.version = version_of_row(row);
    auto value = parse_record_row(row["record"]);
    const auto removed = parse_key(row["removed"].toObject());
    if (change.version == 0 || (!value && !removed)) {
        return std::nullopt;
    }
    change.key = value ? value->key : *removed;
    change.value = std::move(value);
    return change;
}

std::optional<std::chrono::seconds> written_at(const QJsonValue& row) {
    const QJsonValue seconds = row["written_at_s"];
    if (!seconds.isDouble()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds.toInteger(0));
}

}  // namespace verbenahold
