#include "proxy_link.hpp"

#include <QHostAddress>

#include <utility>

namespace verbenahold::standins {

namespace {

// Bounds the data held here for a silent connection; beyond it the sender's
// own buffers fill.
constexpr qint64 read_buffer_bytes = 1 << 20;

}  // namespace

proxy_link::proxy_link(QTcpSocket* caller, const QString& target_address, std::uint16_t target_port,
                       const duration& delay, timer_service& timers, std::function<void(proxy_link*)> on_end)
    : m_caller(caller), m_delay(delay), m_timers(timers), m_on_end(std::move(on_end)) {
    m_caller->setParent(this);
    m_forward.from = m_caller;
    m_forward.to = &m_target;
    m_back.from = &m_target;
    m_back.to = m_caller;
    connect_direction(m_forward);
    connect_direction(m_back);
    connect(&m_target, &QTcpSocket::connected, this, [this] { deliver(m_forward); });
    connect(&m_target, &QTcpSocket::errorOccurred, this, [this] {
        // The target refused: there will be no disconnected signal.
        if (m_target.state() == QAbstractSocket::UnconnectedState) {
            take(m_back, true);
        }
    });
    m_target.connectToHost(QHostAddress(target_address), target_port);
    take(m_forward, false);
}

proxy_link::~proxy_link() {
    // The sockets close after the other members are gone.
    m_caller->disconnect(this);
    m_target.disconnect(this);
    m_timers.unsubscribe(m_forward.timer);
    m_timers.unsubscribe(m_back.timer);
}

void proxy_link::connect_direction(direction& way) {
    way.from->setReadBufferSize(read_buffer_bytes);
    way.from->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(way.from, &QTcpSocket::readyRead, this, [this, &way] { take(way, false); });
    connect(way.from, &QTcpSocket::disconnected, this, [this, &way] { take(way, true); });
}

void proxy_link::take(direction& way, bool closes) {
    if (m_silent) {
        end_if_closed();
        return;
    }
    const time_point due = m_timers.now() + m_delay;
    if (way.from->bytesAvailable() > 0) {
        way.waiting.push_back({due, way.from->readAll(), false});
    }
    if (closes) {
        way.waiting.push_back({due, {}, true});
    }
    deliver(way);
}

void proxy_link::deliver(direction& way) {
    const bool connecting = m_target.state() != QAbstractSocket::ConnectedState && &way == &m_forward;
    while (!way.waiting.empty() && way.waiting.front().due <= m_timers.now() && !m_silent) {
        const piece& next = way.waiting.front();
        if (next.closes) {
            way.waiting.clear();
            way.to->disconnectFromHost();
            end_if_closed();
            return;
        }
        if (connecting) {
            return;
        }
        way.to->write(next.data);
        way.waiting.pop_front();
    }
    if (way.waiting.empty() || m_silent || way.timer != 0) {
        return;
    }
    way.timer = m_timers.after(way.waiting.front().due - m_timers.now(), [this, &way] {
        way.timer = 0;
        deliver(way);
    });
}

void proxy_link::end_if_closed() {
    const bool open =
        m_caller->state() != QAbstractSocket::UnconnectedState || m_target.state() != QAbstractSocket::UnconnectedState;
    if (open || m_ended) {
        return;
    }
    m_ended = true;
    m_on_end(this);
}

void proxy_link::cut() {
    m_silent = true;
    m_caller->abort();
    m_target.abort();
    end_if_closed();
}

}  // namespace verbenahold::standins
