// W3C trace context: the traceparent text that names one hop of a request.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace verbenahold {

// A traceparent for a new hop under `parent`: the same trace id with a new
// span id. A parent that is empty or malformed starts a new trace.
std::string make_child_traceparent(std::string_view parent, std::mt19937_64& random);

// True for version 00 texts with non-zero ids in lower-case hexadecimal.
bool is_valid_traceparent(std::string_view text);

}  // namespace verbenahold
