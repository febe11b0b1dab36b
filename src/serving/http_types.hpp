// HTTP messages as passed between components of the serving layer.
#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

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

// The path of a target, without the query.
inline std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

}  // namespace verbenahold::serving
