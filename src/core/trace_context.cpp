#include "trace_context.hpp"

#include <algorithm>

namespace verbenahold {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
// Format: "00-" trace id "-" span id "-" flags.
constexpr std::size_t trace_id_position = 3;
constexpr std::size_t span_id_position = trace_id_position + trace_id_digits + 1;
constexpr std::size_t flags_position = span_id_position + span_id_digits + 1;
constexpr std::size_t traceparent_length = flags_position + 2;

bool is_lower_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool has_non_zero_digit(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](char c) { return c != '0'; });
}

std::string random_hex(std::size_t digits, std::mt19937_64& random) {
    constexpr std::string_view hex_digits = "0123456789abcdef";
    std::string text;
    while (text.size() < digits) {
        std::uint64_t bits = random();
        for (int i = 0; i < 16 && text.size() < digits; ++i, bits >>= 4U) {
            text += hex_digits[bits & 0xfU];
        }
    }
    if (!has_non_zero_digit(text)) {
        text.back() = '1';
    }
    return text;
}

}  // namespace

bool is_valid_traceparent(std::string_view text) {
    if (text.size() != traceparent_length || !text.starts_with("00-")) {
        return false;
    }
    const std::string_view trace = text.substr(trace_id_position, trace_id_digits);
    const std::string_view span = text.substr(span_id_position, span_id_digits);
    return text[span_id_position - 1] == '-' && text[flags_position - 1] == '-' && is_lower_hex(trace) &&
           is_lower_hex(span) && is_lower_hex(text.substr(flags_position)) && has_non_zero_digit(trace) &&
           has_non_zero_digit(span);
}

std::string make_child_traceparent(std::string_view parent, std::mt19937_64& random) {
    const std::string trace = is_valid_traceparent(parent)
                                  ? std::string(parent.substr(trace_id_position, trace_id_digits))
                                  : random_hex(trace_id_digits, random);
    return "00-" + trace + "-" + random_hex(span_id_digits, random) + "-01";
}

}  // namespace verbenahold
