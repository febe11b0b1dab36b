#include "verbenahold/commands.hpp"

namespace verbenahold {

namespace {

struct refusal_traits {
    std::string_view name;
    int status = 500;
};

refusal_traits traits_of(refusal code) {
    switch (code) {
        case refusal::unauthorized:
            return {"unauthorized", 401};
        case refusal::unknown_service:
            return {"unknown_service", 404};
        case refusal::bad_request:
            return {"bad_request", 400};
        case refusal::account_limit:
            return {"account_limit", 429};
        case refusal::overloaded:
            return {"overloaded", 503};
        case refusal::deadline:
            return {"deadline", 504};
        case refusal::no_server:
            return {"no_server", 503};
        case refusal::configuration_unconfirmed:
            return {"configuration_unconfirmed", 503};
        case refusal::draining:
            return {"draining", 503};
        case refusal::key_reused:
            return {"key_reused", 422};
        case refusal::key_expired:
            return {"key_expired", 410};
        case refusal::home_lost:
            return {"home_lost", 502};
        case refusal::store_unavailable:
            return {"store_unavailable", 503};
        case refusal::request_crashes_servers:
            return {"request_crashes_servers", 403};
        case refusal::server_failed:
            return {"server_failed", 502};
        case refusal::outcome_unknown:
            break;
    }
    return {"outcome_unknown", 502};
}

}  // namespace

std::string_view to_string(refusal code) {
    return traits_of(code).name;
}

std::optional<refusal> parse_refusal(std::string_view text) {
    for (auto code = refusal::unauthorized;; code = static_cast<refusal>(static_cast<int>(code) + 1)) {
        if (to_string(code) == text) {
            return code;
        }
        if (code == refusal::outcome_unknown) {
            return std::nullopt;
        }
    }
}

int http_status(refusal code) {
    return traits_of(code).status;
}

}  // namespace verbenahold
