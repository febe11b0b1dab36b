// Timers ordered by due time. The queue has no clock of its own: an event loop
// asks for the next due time and runs the actions that are due.
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

    // Calls `action` at `due` and then every `period`; only once if it is zero.
    subscription add(time_point due, duration period, callback action);
    // Has no effect on a timer that has already ended.
    void remove(subscription which);
    [[nodiscard]] std::optional<time_point> next_due() const;
    // Runs the actions that are due by `now()`, including those added while it
    // runs.
    void run_due(const std::function<time_point()>& now);

private:
    struct entry {
        callback action;
        duration period{};
        time_point due{};
    };

    subscription m_last_id = 0;
    std::map<subscription, entry> m_entries;
    std::multimap<time_point, subscription> m_queue;
};

}  // namespace verbenahold
