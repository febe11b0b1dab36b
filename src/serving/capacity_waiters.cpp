#include "capacity_waiters.hpp"

#include <utility>

namespace verbenahold::serving {

namespace {

// A fraction of the shortest iteration, at whose end batch slots become free.
constexpr duration retry_period = std::chrono::milliseconds(20);
// Requests of a lane that are tried in one period. Long prompts need unlike amounts of
// capacity, so one that has to wait does not keep others from being tried.
constexpr std::size_t tries_per_period = 4;

}  // namespace

bool capacity_waiters::add(admission_queue::request_id id, const waiting_request& request,
                           std::function<void()> try_again) {
    if (!m_queue.add(id, request, m_timers.now())) {
        return false;
    }
    m_callbacks.insert_or_assign(id, std::move(try_again));
    m_on_change();
    schedule();
    return true;
}

void capacity_waiters::remove(admission_queue::request_id id, bool placed) {
    m_queue.remove(id, placed, m_timers.now());
    m_callbacks.erase(id);
    m_on_change();
}

void capacity_waiters::schedule() {
    if (m_timer == loop_timers::subscription{} && !m_callbacks.empty()) {
        m_timer = m_timers.after(retry_period, [this] {
            m_timer = {};
            try_all();
            schedule();
        });
    }
}

bool capacity_waiters::try_one(admission_queue::request_id id) {
    const auto found = m_callbacks.find(id);
    if (found != m_callbacks.end()) {
        // The callback may remove itself.
        const auto try_again = found->second;
        try_again();
    }
    return !m_queue.contains(id);
}

void capacity_waiters::try_all() {
    for (const auto id : m_queue.next(admission_lane::interactive, tries_per_period, m_timers.now())) {
        if (!try_one(id)) {
            break;
        }
    }
    for (const auto id : m_queue.next(admission_lane::bulk, tries_per_period, m_timers.now())) {
        try_one(id);
    }
}

}  // namespace verbenahold::serving
