// Conversion of durations to and from fractional milliseconds, the unit of the
// engine cost model.
#pragma once

#include "verbenahold/types.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

inline double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

// Rounded to the nearest microsecond. Amounts that other processes state may be of any
// size: those beyond a year are taken for a year, so that sums with times don't overflow.
inline duration from_ms(double milliseconds) {
    constexpr double year_ms = 365.0 * 24 * 3'600 * 1'000;
    if (std::isnan(milliseconds)) {
        return duration::zero();
    }
    return std::chrono::microseconds(std::llround(std::clamp(milliseconds, -year_ms, year_ms) * 1'000));
}

inline duration scaled(duration value, double factor) {
    return from_ms(to_ms(value) * factor);
}

}  // namespace verbenahold::serving
