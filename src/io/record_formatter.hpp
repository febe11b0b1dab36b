// Text forms of records, changes, status and differences for operators.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace verbenahold {

// Aligns columns to their longest cell, separated by two spaces.
std::string format_table(const std::vector<std::vector<std::string>>& rows);
// One line per record: kind, name, record version, schema version, fields.
std::string format_records(const QJsonArray& records);
// One line for a change: version, kind, name and fields.
std::string format_change(const QJsonObject& change);
std::string format_status(const QJsonObject& status);
// Lines "- field: old" and "+ field: new"; empty if there is no difference.
std::string format_difference(const QJsonObject& stored, const QJsonObject& wanted);
// Indented JSON.
std::string format_json(const QJsonValue& value);

}  // namespace verbenahold
