// Structured log lines: an event and fields as name=value. Lines go to the
// process's log, see logging.hpp.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>

namespace verbenahold::serving {

// The names with commas between them.
std::string joined(std::span<const std::string> names);

class log_line {
public:
    // `event` names what happened in a few words.
    explicit log_line(std::string_view event) : m_text(event) {}

    // Quotes values that are empty or hold a space, quote, line break or '='.
    // Quotes and line breaks in a value become apostrophes.
    log_line& add(std::string_view name, std::string_view value);
    template <class Number>
    requires std::is_arithmetic_v<Number> log_line& add(std::string_view name, Number value) {
        if constexpr (std::is_floating_point_v<Number>) {
            return add_number(name, static_cast<double>(value));
        } else {
            return add(name, std::string_view(std::to_string(value)));
        }
    }
    // Writes the duration in milliseconds.
    log_line& add(std::string_view name, duration value);

    void debug() const;
    void info() const;
    void warn() const;
    void error() const;

private:
    log_line& add_number(std::string_view name, double value);

    std::string m_text;
};

}  // namespace verbenahold::serving
