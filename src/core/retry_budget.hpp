// Limits placements after a bounce for lack of headroom to a fraction of the
// completed requests, so that retries do not amplify an overload.
#pragma once

#include "verbenahold/types.hpp"

namespace verbenahold {

// Retries credited for each completed request.
inline constexpr double retry_credit_per_completion = 0.1;
// Lets a daemon retry before its first request has completed.
inline constexpr double initial_retry_credit = 10;
// Limits the burst of retries after a long time without any.
inline constexpr double max_retry_credit = 100;

class retry_budget {
public:
    void on_completed();
    // Takes one retry; false if the credit is less than one.
    bool try_take();
    // Retries that are credited now, with a fraction.
    [[nodiscard]] double credit() const;

private:
    double m_credit = initial_retry_credit;
};

}  // namespace verbenahold
