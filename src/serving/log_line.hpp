// Structured log lines: an event and fields as name=value. Lines go to the
// process's log without blocking; what the log can't take is counted there.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace verbenahold::serving {

class log_line {
public:
    // `event` is what was decided or changed, in a word or two.
    explicit log_line(std::string_view event) : m_text(event) {}

    // Values with spaces are quoted.
    log_line& add(std::string_view name, std::string_view value);
    template <class Number>
    requires std::is_arithmetic_v<Number> log_line& add(std::string_view name, Number value) {
        if constexpr (std::is_floating_point_v<Number>) {
            return add_number(name, static_cast<double>(value));
        } else {
            return add(name, std::string_view(std::to_string(value)));
        }
    }
    // In milliseconds.
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
