// Load report of a model engine.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>

namespace verbenahold::serving {

struct server_report {
    server_name server;
    // Running and queued requests of all daemons, including daemons that have
    // ended since.
    int requests = 0;
    // KV memory, in tokens, that requests hold and that can't be evicted.
    std::int64_t held_tokens = 0;
    // Execution time relative to the configured cost model; 2 means half speed.
    double slowdown = 1;
    // Start time of the run that reports, in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_unix_ms = 0;
};

// Upper limit for a reported value: a larger one would keep all requests off the
// server.
inline constexpr double max_slowdown = 100;

// Each engine is asked for its load once in this period, by one daemon on behalf
// of all. One probe a second costs little next to the requests, and a restarted
// daemon lacks load reports for no longer than that.
inline constexpr duration report_period = std::chrono::milliseconds(1'000);
// Age at which a report is out of date.
inline constexpr duration report_lifetime = 3 * report_period;

}  // namespace verbenahold::serving
