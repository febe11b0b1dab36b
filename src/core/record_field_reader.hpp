// Reads typed fields from a JSON object and keeps the first fault found, so that
// a parser can read all its fields and check for a fault once at the end.
#pragma once

#include "verbenahold/records.hpp"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold {

class record_field_reader {
public:
    explicit record_field_reader(const QJsonObject& object) : m_object(object) {}

    [[nodiscard]] bool has(std::string_view field) const;
    // Each reader returns nothing if the field is absent, and records a fault
    // and returns nothing if it is invalid.
    std::optional<std::string> string(std::string_view field);
    std::optional<bool> boolean(std::string_view field);
    // An integer from `min` to `max`.
    std::optional<std::int64_t> integer(std::string_view field, std::int64_t min, std::int64_t max);
    // A number above zero, at most `max`.
    std::optional<double> positive_number(std::string_view field, double max);
    std::optional<std::vector<std::string>> strings(std::string_view field);

    // Records a fault if the field is absent.
    void require(std::string_view field);
    // Records a fault of the field, unless one was recorded before.
    void reject(std::string_view field, std::string message, record_error error = record_error::bad_value);
    [[nodiscard]] const std::optional<record_fault>& fault() const { return m_fault; }

private:
    [[nodiscard]] QJsonValue value(std::string_view field) const;

    const QJsonObject& m_object;
    std::optional<record_fault> m_fault;
};

// True for 1 to 63 characters of a-z, 0-9 and '-': names are used in table keys
// and URLs.
bool is_record_name(std::string_view name);

}  // namespace verbenahold
