// Text forms of records, changes, status and differences for operators.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace verbenahold {

// Aligns columns to their longest cell, separated by two spaces.
std::string print_table(const std::vector<std::vector<std::string>>& rows);
// One line per record: kind, name, record version, schema version, fields.
std::string print_records(const QJsonArray& records);
// One line for a change: version, kind, name and fields.
std::string print_change(const QJsonObject& change);
std::string print_status(const QJsonObject& status);
// Lines "- field: old" and "+ field: new"; empty if there is no difference.
std::string print_difference(const QJsonObject& stored, const QJsonObject& wanted);
// Indented JSON.
std::string print_json(const QJsonValue& value);

}  // namespace verbenahold
