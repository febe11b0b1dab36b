#include "verbenahold/types.hpp"

namespace verbenahold {

std::string to_string(const daemon_id& daemon) {
    return daemon.host.value + '.' + std::to_string(daemon.incarnation);
}

std::string to_string(const attempt_id& attempt) {
    return to_string(attempt.request.origin) + '.' + std::to_string(attempt.request.sequence) + '.' +
           std::to_string(attempt.number);
}

std::string_view to_string(ran_state ran) {
    switch (ran) {
        case ran_state::no:
            return "no";
        case ran_state::yes:
            return "yes";
        case ran_state::unknown:
            break;
    }
    return "unknown";
}

}  // namespace verbenahold
