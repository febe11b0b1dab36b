// Tries the requests that wait for capacity again, in the order of the admission queue.
#pragma once

#include "admission_queue.hpp"
#include "loop_timers.hpp"

#include <functional>
#include <map>
#include <utility>

namespace verbenahold::serving {

class capacity_waiters {
public:
    explicit capacity_waiters(loop_timers& timers) : m_timers(timers) {}
    ~capacity_waiters() { m_timers.unsubscribe(m_timer); }
    capacity_waiters(const capacity_waiters&) = delete;
    capacity_waiters& operator=(const capacity_waiters&) = delete;
    capacity_waiters(capacity_waiters&&) = delete;
    capacity_waiters& operator=(capacity_waiters&&) = delete;

    // `try_again` places the request if it can; it calls remove() then. False if too many
    // requests wait already.
    bool add(admission_queue::request_id id, const waiting_request& request, std::function<void()> try_again);
    void remove(admission_queue::request_id id, bool placed);
    // Called after each change of the queue.
    void set_on_change(std::function<void()> on_change) { m_on_change = std::move(on_change); }
    // Whether a request that arrives now is tried before those that wait.
    [[nodiscard]] bool goes_first(const waiting_request& arriving) {
        return m_queue.goes_first(arriving, m_timers.now());
    }
    [[nodiscard]] const admission_queue& queue() const { return m_queue; }

private:
    void schedule();
    void try_all();
    // Whether the request got capacity, or ended.
    bool try_one(admission_queue::request_id id);

    loop_timers& m_timers;
    loop_timers::subscription m_timer{};
    admission_queue m_queue;
    std::function<void()> m_on_change = [] {};
    std::map<admission_queue::request_id, std::function<void()>> m_callbacks;
};

}  // namespace verbenahold::serving
