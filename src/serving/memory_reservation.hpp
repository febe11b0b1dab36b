// KV memory for one prompt, reserved at several servers: acquired before the
// request is sent, renewed while it runs and released by the destructor. The
// reservation at a server expires soon without renewal, so that the memory is
// not blocked for long when this daemon dies.
#pragma once

#include "gateway_state.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenahold::serving {

// How long a server keeps a reservation that is not renewed: long enough for
// two failed renewals, and shorter than the platform's limit for leaked memory.
inline constexpr duration reservation_lifetime = std::chrono::milliseconds(3'500);
inline constexpr duration renewal_period = std::chrono::milliseconds(1'000);
// Time limit of a call that reserves, renews or releases memory.
inline constexpr duration reservation_call_timeout = std::chrono::milliseconds(400);

class memory_reservation : public std::enable_shared_from_this<memory_reservation> {
public:
    struct part {
        server_name server;
        std::string address;
        std::int64_t tokens = 0;
        // Name of the reservation at the server.
        std::string name;
    };
    // The request that needs the memory, for the log.
    struct owner {
        std::string request;
        server_name first_server;
    };

    // `name` is unique among all reservations.
    memory_reservation(gateway_state& state, owner wanted_by, const std::string& name, std::vector<part> parts);
    // Releases all parts, also those whose reservation was not confirmed.
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&&) = delete;
    memory_reservation& operator=(memory_reservation&&) = delete;

    // Reserves all parts, then calls `done` once: with true if all succeeded.
    void acquire(std::function<void(bool)> done);
    // The request has begun to use the memory; `evidence` says how that is known.
    void on_used(std::string_view evidence);
    // Name of the reservation at a server; empty if there is none.
    [[nodiscard]] std::string name_at(const std::string& address) const;

private:
    void request_reservation(const part& which, std::function<void(bool)> done);
    void renew();
    void release(const part& which);

    gateway_state& m_state;
    owner m_owner;
    std::vector<part> m_parts;
    std::function<void(bool)> m_done;
    std::size_t m_unanswered = 0;
    bool m_failed = false;
    bool m_used = false;
    int m_renewals = 0;
    time_point m_reserved_at{};
    time_point m_last_used{};
    loop_timers::subscription m_renewal{};
};

}  // namespace verbenahold::serving
