// Actions by the time at which they are due, without a clock: the event loops
// ask for the next due time and run what is due.
#pragma once

#include "verbenahold/types.hpp"

#include <functional>
#include <map>
#include <optional>

namespace verbenahold {

class timer_queue {
public:
    using callback = std::function<void()>;
    using subscription = std::uint64_t;

    // Calls `action` at `due` and then each `period`; once if that is zero.
    subscription add(time_point due, duration period, callback action);
    // Does nothing for a subscription that has ended.
    void remove(subscription which);
    [[nodiscard]] std::optional<time_point> next_due() const;
    // Runs what is due by `now()`, also what these actions add.
    void run_due(const std::function<time_point()>& now);

private:
    struct entry {
        callback action;
        duration period{};
        time_point due{};
    };

    subscription m_last = 0;
    std::map<subscription, entry> m_entries;
    std::multimap<time_point, subscription> m_queue;
};

}  // namespace verbenahold
