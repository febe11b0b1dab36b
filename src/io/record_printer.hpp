// Text forms of records, changes, status and differences for operators.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace verbenahold {

// Columns as wide as their longest cell, two spaces between them.
std::string print_table(const std::vector<std::vector<std::string>>& rows);
// One line a record: kind, name, record version, schema version, fields.
std::string print_records(const QJsonArray& records);
// One line for a change: version, kind, name and fields.
std::string print_change(const QJsonObject& change);
std::string print_status(const QJsonObject& status);
// Lines "- field: old" and "+ field: new"; empty without a difference.
std::string print_difference(const QJsonObject& stored, const QJsonObject& wanted);
// Indented JSON.
std::string print_json(const QJsonValue& value);

}  // namespace verbenahold
