// W3C trace context: the traceparent value that identifies one span of a request.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace verbenahold {

// Returns a traceparent for a child span of `parent`: the same trace id with a
// new span id. Starts a new trace if `parent` is empty or malformed.
std::string make_child_traceparent(std::string_view parent, std::mt19937_64& random);

// True for version 00 with non-zero ids in lower-case hexadecimal.
bool is_valid_traceparent(std::string_view text);

}  // namespace verbenahold
