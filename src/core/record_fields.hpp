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

class record_fields {
public:
    explicit record_fields(const QJsonObject& object) : m_object(object) {}

    [[nodiscard]] bool has(std::string_view field) const;
    // Each reader returns nothing if the field is absent, and records a fault
    // and returns nothing if it is invalid.
    std::optional<std::string> text(std::string_view field);
    std::optional<bool> flag(std::string_view field);
    // A whole number from `least` to `most`.
    std::optional<std::int64_t> whole(std::string_view field, std::int64_t least, std::int64_t most);
    // A number above zero, at most `most`.
    std::optional<double> positive(std::string_view field, double most);
    std::optional<std::vector<std::string>> texts(std::string_view field);

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
