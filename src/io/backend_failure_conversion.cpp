#include "backend_failure_conversion.hpp"

namespace verbenahold {

backend_failure to_backend_failure(http_failure failure) {
    switch (failure) {
        case http_failure::refused:
            return backend_failure::refused;
        case http_failure::reset:
            return backend_failure::reset;
        case http_failure::timed_out:
            return backend_failure::timed_out;
        case http_failure::bad_answer:
        case http_failure::none:
            break;
    }
    return backend_failure::bad_answer;
}

}  // namespace verbenahold
