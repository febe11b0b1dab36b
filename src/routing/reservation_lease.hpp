// Decides how long the memory that is reserved for a prompt stays reserved. A request
// may wait long in its first server's queue before it uses the memory, and the daemon
// can't see when it begins. The bound on unused time is kept by the lease that the
// servers are given, so that it also holds when the daemon freezes or its release is
// lost. The lease goes on only while the memory is known to be in use.
#pragma once

#include "verbenahold/types.hpp"

namespace verbenahold::serving {

// What a server reports of a reservation.
enum class reservation_state { absent, unused, used };

class reservation_lease {
public:
    // `lifetime` is the time for which a reservation is made or renewed, `max_unused`
    // the bound on the time for which no request uses the memory.
    reservation_lease(time_point reserved_at, duration lifetime, duration max_unused);

    // The request used the memory at this time.
    void on_used(time_point at);
    // A server that holds the memory reported that it is not in use.
    void on_found_unused(time_point now);
    // A server that holds the memory was asked whether it is in use.
    void on_asked(time_point now) { m_asked_at = now; }

    // A server that holds the memory should be asked now.
    [[nodiscard]] bool is_check_due(time_point now) const;
    // The memory should be released now.
    [[nodiscard]] bool is_over(time_point now) const;
    // The hold of a reservation that is made or renewed now; zero if it should lapse.
    [[nodiscard]] duration hold(time_point now) const;

    [[nodiscard]] duration unused_for(time_point now) const { return now - m_last_used; }
    [[nodiscard]] duration age(time_point now) const { return now - m_reserved_at; }
    // Some request has used the memory.
    [[nodiscard]] bool was_used() const { return m_was_used; }

private:
    time_point m_reserved_at;
    // When the memory was reserved, or known to be in use since then.
    time_point m_last_used;
    duration m_lifetime;
    duration m_max_unused;
    time_point m_asked_at;
    bool m_was_used = false;
    bool m_found_unused = false;
};

}  // namespace verbenahold::serving
