// Limits retries and further placements to a fraction of completed work, so
// that they never amplify an overload.
#pragma once

#include "verbenahold/types.hpp"

namespace verbenahold {

// Retries that each completed request pays for.
inline constexpr double retry_credit_per_completion = 0.1;
// Lets a daemon retry before it has completed anything.
inline constexpr double initial_retry_credit = 10;
// Bounds the burst of retries after a long quiet time.
inline constexpr double largest_retry_credit = 100;

class retry_budget {
public:
    // Credits a tenth of a retry.
    void on_completed();
    // Takes one retry if there is credit for it.
    bool take();
    // Credit for whole retries.
    [[nodiscard]] double credit() const;

private:
    double m_credit = initial_retry_credit;
};

}  // namespace verbenahold
