// One proxied TCP connection: forwards bytes both ways, delayed or, once
// silent, not at all.
#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <cstdint>
#include <deque>
#include <functional>

#include "timer_service.hpp"

namespace verbenahold::standins {

class proxy_link : public QObject {
public:
    // Takes over `caller`, connects to the target and calls `on_end` once when
    // both sides are closed. `delay` is read for each piece of data.
    proxy_link(QTcpSocket* caller, const QString& target_address, std::uint16_t target_port, const duration& delay,
               timer_service& timers, std::function<void(proxy_link*)> on_end);
    ~proxy_link() override;
    proxy_link(const proxy_link&) = delete;
    proxy_link& operator=(const proxy_link&) = delete;
    proxy_link(proxy_link&&) = delete;
    proxy_link& operator=(proxy_link&&) = delete;

    // Resets both sides.
    void cut();
    // From now on nothing is read from either side and neither side learns
    // that the other has closed, as when the network drops all packets.
    void silence() { m_silent = true; }
    [[nodiscard]] bool is_silent() const { return m_silent; }

private:
    struct piece {
        time_point due{};
        QByteArray data;
        // The sending side has closed after the data before this piece.
        bool closes = false;
    };

    struct direction {
        QTcpSocket* from = nullptr;
        QTcpSocket* to = nullptr;
        std::deque<piece> waiting;
        std::uint64_t timer = 0;
    };

    void connect_direction(direction& way);
    void take(direction& way, bool closes);
    void deliver(direction& way);
    void end_if_closed();

    QTcpSocket* m_caller;
    QTcpSocket m_target;
    direction m_forward;
    direction m_back;
    const duration& m_delay;
    timer_service& m_timers;
    std::function<void(proxy_link*)> m_on_end;
    bool m_silent = false;
    bool m_ended = false;
};

}  // namespace verbenahold::standins
