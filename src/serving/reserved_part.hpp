// One reservation of memory at one server: sends its orders.
#pragma once

#include "gateway_state.hpp"

#include <functional>
#include <memory>
#include <string>

namespace verbenahold::serving {

// Time limit of a call that reserves, renews or releases memory.
inline constexpr duration reservation_call_timeout = std::chrono::milliseconds(400);
class reserved_part : public std::enable_shared_from_this<reserved_part> {
public:
    // `name` is unique among all reservations.
    reserved_part(gateway_state& state, server_name server, std::string address, std::int64_t tokens, std::string name);

    // Makes or renews the reservation for the time `hold`, then calls `done`: with true
    // if the server confirmed it.
    void reserve(duration hold, std::function<void(bool)> done);
    // Ends the reservation, also one that was not confirmed.
    void release();

    [[nodiscard]] const server_name& server() const { return m_server; }
    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] std::int64_t tokens() const { return m_tokens; }
    // Name of the reservation at the server.
    [[nodiscard]] const std::string& name() const { return m_name; }

private:
    gateway_state& m_state;
    server_name m_server;
    std::string m_address;
    std::int64_t m_tokens;
    std::string m_name;
};

}  // namespace verbenahold::serving
