// Memory for one prompt that is set aside at several servers: reserved before
// the request is sent, renewed while it lasts and released at its end. Each
// hold is short, so that little is lost when this daemon dies.
#pragma once

#include "gateway_state.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenahold::serving {

// How long a server keeps a reservation that is not renewed: long enough for
// two renewals to fail, and shorter than what the platform tolerates as a leak.
inline constexpr duration memory_hold = std::chrono::milliseconds(3'500);
inline constexpr duration renewal_period = std::chrono::milliseconds(1'000);
// A server that doesn't answer an order within this is not waited for.
inline constexpr duration order_limit = std::chrono::milliseconds(400);

class memory_reservation : public std::enable_shared_from_this<memory_reservation> {
public:
    struct part {
        std::string address;
        std::int64_t tokens = 0;
        // Name of the reservation at the server.
        std::string name;
    };

    // `name` is the same for no other reservation.
    memory_reservation(gateway_state& state, const std::string& name, std::vector<part> parts);
    // Releases what was or may have been reserved.
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&&) = delete;
    memory_reservation& operator=(memory_reservation&&) = delete;

    // Calls `done` once with whether all parts are reserved.
    void acquire(std::function<void(bool)> done);
    // Name of the reservation at a server; empty if there is none.
    [[nodiscard]] std::string name_at(const std::string& address) const;

private:
    void order(const part& which, std::function<void(bool)> done);
    void renew();

    gateway_state& m_state;
    std::vector<part> m_parts;
    std::function<void(bool)> m_done;
    std::size_t m_unanswered = 0;
    bool m_failed = false;
    loop_timers::subscription m_renewal{};
};

}  // namespace verbenahold::serving
