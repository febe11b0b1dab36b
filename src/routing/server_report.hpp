// What a model engine says of its own load when it is asked.
#pragma once

#include "verbenahold/types.hpp"

#include <cstdint>

namespace verbenahold::serving {

struct server_report {
    server_name server;
    // Requests that run or wait there, of all daemons and of daemons that ended.
    int requests = 0;
    // Tokens of memory that requests hold and can't give up.
    std::int64_t held_tokens = 0;
    // Time that its work takes, in that of an engine as its operator states it.
    double pace = 1;
};

// A report that claims more makes no sense: nothing would be placed there.
inline constexpr double largest_pace = 100;

// Each engine is asked once in this period, by one daemon for all. A probe of
// each engine a second costs the platform little beside its requests, and a
// restarted daemon places blindly for no longer.
inline constexpr duration report_period = std::chrono::milliseconds(1'000);
// A report that was not renewed says nothing after this time.
inline constexpr duration report_lifetime = 3 * report_period;

}  // namespace verbenahold::serving
