#include "record_field_reader.hpp"

#include <QJsonArray>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenahold {

namespace {

QLatin1String to_latin1(std::string_view text) {
    return {text.data(), static_cast<qsizetype>(text.size())};
}

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

bool is_record_name(std::string_view name) {
    constexpr std::size_t max_name_length = 63;
    return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), is_name_character);
}

QJsonValue record_field_reader::value(std::string_view field) const {
    return m_object.value(to_latin1(field));
}

bool record_field_reader::has(std::string_view field) const {
    return m_object.contains(to_latin1(field));
}

void record_field_reader::reject(std::string_view field, std::string message, record_error error) {
    if (!m_fault) {
        m_fault = record_fault{error, std::string(field), std::move(message)};
    }
}

void record_field_reader::require(std::string_view field) {
    if (!has(field)) {
        reject(field, "the field is required", record_error::missing_field);
    }
}

std::optional<std::string> record_field_reader::string(std::string_view field) {
    const QJsonValue found = value(field);
    if (found.isString()) {
        return found.toString().toStdString();
    }
    if (has(field)) {
        reject(field, "a text is expected");
    }
    return std::nullopt;
}

std::optional<bool> record_field_reader::boolean(std::string_view field) {
    const QJsonValue found = value(field);
    if (found.isBool()) {
        return found.toBool();
    }
    if (has(field)) {
        reject(field, "true or false is expected");
    }
    return std::nullopt;
}

std::optional<std::int64_t> record_field_reader::integer(std::string_view field, std::int64_t min, std::int64_t max) {
    if (!has(field)) {
        return std::nullopt;
    }
    const QJsonValue found = value(field);
    // toInteger returns its default for fractions and for numbers that do not
    // fit, so two calls with different defaults distinguish a value from a
    // failure.
    const std::int64_t number = found.toInteger(0);
    if (!found.isDouble() || found.toInteger(1) != number || number < min || number > max) {
        reject(field, "a whole number from " + std::to_string(min) + " to " + std::to_string(max) + " is expected");
        return std::nullopt;
    }
    return number;
}

std::optional<double> record_field_reader::positive_number(std::string_view field, double max) {
    if (!has(field)) {
        return std::nullopt;
    }
    const double number = value(field).toDouble(-1);
    if (!std::isfinite(number) || number <= 0 || number > max) {
        reject(field, "a number above 0 and up to " + std::to_string(max) + " is expected");
        return std::nullopt;
    }
    return number;
}

std::optional<std::vector<std::string>> record_field_reader::strings(std::string_view field) {
    if (!has(field)) {
        return std::nullopt;
    }
    const QJsonArray items = value(field).toArray();
    const bool all_strings = std::all_of(items.begin(), items.end(), [](const auto& item) { return item.isString(); });
    if (!value(field).isArray() || !all_strings) {
        reject(field, "a list of texts is expected");
        return std::nullopt;
    }
    std::vector<std::string> result;
    for (const auto& item : items) {
        result.push_back(item.toString().toStdString());
    }
    return result;
}

}  // namespace verbenahold
