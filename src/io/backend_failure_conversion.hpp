// Converts failures of HTTP calls to backend servers into the core's type.
#pragma once

#include "http_client.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

// `none` becomes bad_answer: the call itself succeeded, but its answer was not
// what the caller of this function expected.
backend_failure to_backend_failure(http_failure failure);

}  // namespace verbenahold
