// Faults from outside. Each plays a series of its own, so that series overlap.
#pragma once

#include "fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace verbenahold::soak {

struct fault_kind {
    std::string name;
    std::string description;
    // Plays one occurrence of the fault and undoes it.
    awaitable<void> (*play)(fleet&);
    // Mean pause between two occurrences.
    double pause_ms = 1'000;
};

const std::vector<fault_kind>& known_faults();

// Plays occurrences of the fault until the fleet is stopping.
awaitable<void> play_series(fleet& all, const fault_kind& fault);

}  // namespace verbenahold::soak
