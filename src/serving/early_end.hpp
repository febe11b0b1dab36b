// Why a caller's connection ended without the complete answer to a request.
#pragma once

#include <string_view>

namespace verbenahold::serving {

enum class early_end {
    // The caller closed or reset the connection.
    caller_left,
    // Writing to the caller's connection failed.
    write_failed,
    // The caller read nothing of its answer for too long.
    caller_stalled,
    // This daemon's planned stop.
    stopping,
    // The server broke off its answer and no other server may continue it.
    server_failed,
    // Another attempt would have been allowed, but the budget for repeats is used up.
    no_retry_budget,
    // The request's time limit.
    out_of_time,
    // An exception in this daemon.
    internal_fault
};

// The name of the counter of each cause.
constexpr std::string_view early_end_counter(early_end cause) {
    switch (cause) {
        case early_end::caller_left:
            return "ended_early_caller_left";
        case early_end::write_failed:
            return "ended_early_write_failed";
        case early_end::caller_stalled:
            return "ended_early_caller_stalled";
        case early_end::stopping:
            return "ended_early_stopping";
        case early_end::server_failed:
            return "ended_early_server_failed";
        case early_end::no_retry_budget:
            return "ended_early_no_retry_budget";
        case early_end::out_of_time:
            return "ended_early_out_of_time";
        case early_end::internal_fault:
            break;
    }
    return "ended_early_internal_fault";
}

// The cause in log lines.
constexpr std::string_view early_end_name(early_end cause) {
    constexpr std::string_view prefix = "ended_early_";
    return early_end_counter(cause).substr(prefix.size());
}

}  // namespace verbenahold::serving
