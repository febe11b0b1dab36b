// Keys of the rows in the table service, and values of those that hold the
// configuration. Every program that reads or writes these rows uses this module.
#pragma once

#include "verbenahold/records.hpp"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenahold {

inline constexpr std::string_view head_row_key = "config/head";
inline constexpr std::string_view record_row_prefix = "config/record/";
inline constexpr std::string_view change_row_prefix = "config/change/";
inline constexpr std::string_view operation_row_prefix = "config/operation/";
inline constexpr std::string_view claim_row_prefix = "claim/";
inline constexpr std::string_view order_row_prefix = "order/";
inline constexpr std::string_view loaded_row_prefix = "loaded/";
inline constexpr std::string_view lease_row_prefix = "lease/";

std::string record_row_key(const record_key& key);
// The version is padded to 20 digits, so that a scan returns changes in version
// order.
std::string change_row_key(std::uint64_t version);
std::string operation_row_key(std::string_view operation);
std::string order_row_key(std::string_view server);
std::string loaded_row_key(std::string_view service, std::string_view server);

// {"version":n}
QJsonObject head_row(std::uint64_t version);
std::uint64_t version_of_row(const QJsonValue& row);

// {"version":n,"written_at_s":t,"record":{...}}
QJsonObject change_row(const config_change& change, std::chrono::seconds written_at);
// Returns nothing if the row is not a valid change.
std::optional<config_change> parse_change_row(const QJsonValue& row);

// Parses a stored record without checking its spec, because records of a newer
// schema version are kept although this program has no typed view of them.
std::optional<record> parse_record_row(const QJsonValue& row);

// Unix time at which a row was written; nothing if the row does not contain it.
std::optional<std::chrono::seconds> written_at(const QJsonValue& row);

QString to_qstring(std::string_view text);

}  // namespace verbenahold
