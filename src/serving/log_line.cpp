#include "log_line.hpp"

#include "duration_units.hpp"
#include "logging.hpp"

#include <cstdio>

namespace verbenahold::serving {

std::string joined(std::span<const std::string> names) {
    std::string text;
    for (const auto& name : names) {
        text.append(text.empty() ? "" : ",").append(name);
    }
    return text;
}

log_line& log_line::add(std::string_view name, std::string_view value) {
    m_text.append(" ").append(name).append("=");
    const bool plain = !value.empty() && value.find_first_of(" \"\n\r=") == std::string_view::npos;
    if (plain) {
        m_text.append(value);
        return *this;
    }
    m_text += '"';
    for (const char letter : value) {
        m_text += letter == '"' || letter == '\n' || letter == '\r' ? '\'' : letter;
    }
    m_text += '"';
    return *this;
}

log_line& log_line::add_number(std::string_view name, double value) {
    char text[32];
    const int length = std::snprintf(text, sizeof text, "%.1f", value);
    return add(name, std::string_view(text, static_cast<std::size_t>(length)));
}

log_line& log_line::add(std::string_view name, duration value) {
    return add_number(name, to_ms(value));
}

void log_line::debug() const {
    log_debug(m_text);
}
void log_line::info() const {
    log_info(m_text);
}
void log_line::warn() const {
    log_warning(m_text);
}
void log_line::error() const {
    log_error(m_text);
}

}  // namespace verbenahold::serving
