#include "idempotency_key.hpp"

#include <array>
#include <charconv>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view key_form = "vh1";
constexpr std::size_t key_fields = 5;
constexpr int hexadecimal = 16;

// Splits at dots; empty unless there are exactly key_fields fields.
std::optional<std::array<std::string_view, key_fields>> split(std::string_view text) {
    std::array<std::string_view, key_fields> fields;
    for (std::size_t i = 0; i < key_fields; ++i) {
        const std::size_t dot = text.find('.');
        const bool last = i + 1 == key_fields;
        if (last != (dot == std::string_view::npos)) {
            return std::nullopt;
        }
        fields.at(i) = text.substr(0, dot);
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    return fields;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

}  // namespace

std::string to_string(const idempotency_key& key) {
    std::array<char, 16> nonce{};
    const auto result = std::to_chars(nonce.data(), nonce.data() + nonce.size(), key.nonce, hexadecimal);
    const auto issued = std::chrono::duration_cast<milliseconds>(key.issued.time_since_epoch()).count();
    return std::string(key_form) + '.' + to_string(key.home) + '.' + std::to_string(issued) + '.' +
           std::string(nonce.data(), result.ptr);
}

std::optional<idempotency_key> parse_idempotency_key(std::string_view text) {
    const auto fields = split(text);
    if (!fields || (*fields)[0] != key_form || (*fields)[1].empty()) {
        return std::nullopt;
    }
    const auto incarnation = parse_number<std::uint64_t>((*fields)[2]);
    // 32 bits, so that a forged key cannot overflow the time arithmetic.
    const auto issued = parse_number<std::uint32_t>((*fields)[3]);
    const auto nonce = parse_number<std::uint64_t>((*fields)[4], hexadecimal);
    if (!incarnation || !issued || !nonce) {
        return std::nullopt;
    }
    return idempotency_key{{host_name((*fields)[1]), *incarnation}, time_point(milliseconds(*issued)), *nonce};
}

}  // namespace verbenahold
