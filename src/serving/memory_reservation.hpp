// KV memory for one prompt, reserved at several servers: acquired before the
// request is sent, renewed while it runs and released by the destructor, or earlier
// if the request does not begin to use it. The reservation at a server expires soon
// without renewal, so that the memory is not blocked for long when this daemon dies.
#pragma once

#include "gateway_state.hpp"
#include "reservation_lease.hpp"
#include "reserved_part.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenahold::serving {

// How long a server keeps a reservation that is not renewed: long enough for
// two failed renewals, and shorter than the platform's limit for leaked memory.
inline constexpr duration reservation_lifetime = std::chrono::milliseconds(3'500);
inline constexpr duration renewal_period = std::chrono::milliseconds(1'000);

class memory_reservation : public std::enable_shared_from_this<memory_reservation> {
public:
    struct part {
        server_name server;
        std::string address;
        std::int64_t tokens = 0;
    };
    // The request that needs the memory, for the log.
    struct owner {
        std::string request;
        server_name first_server;
    };

    // `name` is unique among all reservations.
    memory_reservation(gateway_state& state, owner wanted_by, const std::string& name, std::span<const part> parts);
    // Releases all parts, also those whose reservation was not confirmed.
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    memory_reservation(memory_reservation&&) = delete;
    memory_reservation& operator=(memory_reservation&&) = delete;

    // Reserves all parts, then calls `done` once: with true if all succeeded.
    void acquire(std::function<void(bool)> done);
    // The request uses the memory; `evidence` says how that is known.
    void on_used(std::string_view evidence);
    // The memory was released, or its lease has ended, since the request did not begin
    // to use it.
    [[nodiscard]] bool is_given_up() const;
    // Name of the reservation at a server; empty if there is none.
    [[nodiscard]] std::string name_at(const std::string& address) const;

private:
    void on_reserved(const reserved_part& which, bool reserved);
    // Renews, asks a holder or releases, as the lease says.
    void advance();
    void renew();
    void ask_holder();
    void on_report(reservation_state state);
    // Releases memory that was not used in time; true if so.
    bool release_if_due();
    void release(std::string_view reason);

    gateway_state& m_state;
    owner m_owner;
    std::vector<std::shared_ptr<reserved_part>> m_parts;
    reservation_lease m_lease;
    std::function<void(bool)> m_done;
    std::size_t m_unanswered = 0;
    bool m_failed = false;
    bool m_released = false;
    int m_renewals = 0;
    std::size_t m_times_asked = 0;
    // When the servers' lease ends.
    time_point m_lapses_at{};
    loop_timers::subscription m_renewal{};
};

}  // namespace verbenahold::serving
