// HTTP messages as passed between components of the serving layer.
#pragma once

#include <algorithm>
#include <bit>
#include <cctype>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

// Of answers that never have a body.
inline constexpr int status_no_content = 204;

struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

// Compares without regard to case.
inline bool same_field_name(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

// Value of the first field with this name; empty if there is none.
inline std::string_view field_value(const header_fields& fields, std::string_view name) {
    for (const auto& field : fields) {
        if (same_field_name(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

// A request without its framing.
struct http_request {
    std::string method;
    // Path and query as they were sent.
    std::string target;
    header_fields fields;
    std::string body;
};

struct http_answer_head {
    int status = 0;
    std::string reason;
    header_fields fields;
    // Length of the body in bytes as the peer announces it; empty if it announces none, or
    // if the body comes in chunks.
    std::optional<std::uint64_t> announced_length = std::nullopt;
};

struct http_answer {
    http_answer_head head;
    std::string body;
};

// Appends bytes of a body. Its capacity grows to powers of two as bytes arrive, and ends at
// the announced length.
inline void append_arrived(std::string& body, std::string_view bytes, std::optional<std::uint64_t> announced) {
    const auto size = body.size() + bytes.size();
    if (size > body.capacity()) {
        const auto doubled = static_cast<std::uint64_t>(std::bit_ceil(size));
        // reserve() at least doubles the capacity of a string that has one.
        std::string grown;
        grown.reserve(std::max<std::uint64_t>(size, std::min(doubled, announced.value_or(doubled))));
        grown.append(body);
        body.swap(grown);
    }
    body.append(bytes);
}

// The path of a target, without the query.
inline std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

}  // namespace verbenahold::serving
