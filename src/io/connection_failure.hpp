// How failures of HTTP calls to backend servers look to the core.
#pragma once

#include "http_client.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

// `none` counts as bad_answer: the call was carried out and its answer was not
// what the caller of this function expected.
backend_failure connection_failure(http_failure failure);

}  // namespace verbenahold
