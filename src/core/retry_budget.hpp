// Limits retries and further placements to a fraction of completed work, so
// that they never amplify an overload.
#pragma once

#include "verbenahold/types.hpp"

namespace verbenahold {

class retry_budget {
public:
    // Credits a tenth of a retry.
    void on_completed();
    // Takes one retry if there is credit for it.
    bool take();
    // Credit for whole retries.
    [[nodiscard]] double credit() const;
};

}  // namespace verbenahold
