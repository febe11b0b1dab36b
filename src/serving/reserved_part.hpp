// One reservation of memory at one server: sends its orders. A server may carry out an
// order late that it has not answered, after newer ones, so the release is repeated
// while such an order may be under way.
#pragma once

#include "gateway_state.hpp"

#include <functional>
#include <memory>
#include <string>

namespace verbenahold::serving {

// Time limit of a call that reserves, renews or releases memory.
inline constexpr duration reservation_call_timeout = std::chrono::milliseconds(400);
// How much later a server may carry out an order that it has not answered.
inline constexpr duration late_order_time = std::chrono::seconds(5);
// Interval between releases while an unanswered order may be carried out.
inline constexpr duration release_repeat_period = std::chrono::seconds(1);

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
    void on_reserve_answer(const call_result& result);
    void send_release();
    void release_again_after(duration delay);

    gateway_state& m_state;
    server_name m_server;
    std::string m_address;
    std::int64_t m_tokens;
    std::string m_name;
    // An unanswered order may be carried out until then.
    time_point m_late_until{};
    bool m_ordered = false;
    bool m_released = false;
    bool m_release_scheduled = false;
};

}  // namespace verbenahold::serving
