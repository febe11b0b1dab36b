// Conversion of durations to and from fractional milliseconds, the unit of the
// engine cost model.
#pragma once

#include "verbenahold/types.hpp"

#include <cmath>

namespace verbenahold::serving {

inline double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

// Rounded to the nearest microsecond.
inline duration from_ms(double milliseconds) {
    return std::chrono::microseconds(std::llround(milliseconds * 1'000));
}

inline duration scaled(duration value, double factor) {
    return from_ms(to_ms(value) * factor);
}

}  // namespace verbenahold::serving
