#include "peer_transport.hpp"

#include <QElapsedTimer>
#include <QSocketNotifier>
#include <QTimer>
#include <zmq.hpp>

#include <deque>
#include <map>
#include <utility>

namespace verbenahold {

namespace {

constexpr int messages_per_turn = 256;
// Queue limits: ZeroMQ's queues of one connection, and the queue of messages that
// wait for a connection.
constexpr int send_queue_limit = 1'000;
constexpr int receive_queue_limit = 10'000;
constexpr std::size_t max_queued_messages = 1'000;
constexpr std::size_t max_queued_bytes = 2 * max_peer_message_bytes;
constexpr int socket_limit = 4'096;
constexpr std::chrono::milliseconds reconnect_interval{50};
constexpr std::chrono::milliseconds longest_reconnect_interval{1'000};
constexpr std::chrono::milliseconds retry_period{20};
constexpr std::chrono::milliseconds sweep_period{500};

int milliseconds(std::chrono::milliseconds time) {
    return static_cast<int>(time.count());
}

}  // namespace

// Sends to one peer. Until there is a connection, messages are queued here
// rather than in ZeroMQ, so that old ones can be dropped.
class outgoing_peer {
public:
    outgoing_peer(zmq::context_t& context, const endpoint& address, peer_transport::figures& figures)
        : m_socket(context, zmq::socket_type::dealer), m_figures(figures) {
        m_socket.set(zmq::sockopt::immediate, true);
        m_socket.set(zmq::sockopt::linger, 0);
        m_socket.set(zmq::sockopt::sndhwm, send_queue_limit);
        m_socket.set(zmq::sockopt::heartbeat_ivl, milliseconds(peer_transport::heartbeat_interval));
        m_socket.set(zmq::sockopt::heartbeat_timeout, milliseconds(peer_transport::heartbeat_timeout));
        m_socket.set(zmq::sockopt::heartbeat_ttl, milliseconds(peer_transport::heartbeat_timeout));
        m_socket.set(zmq::sockopt::reconnect_ivl, milliseconds(reconnect_interval));
        m_socket.set(zmq::sockopt::reconnect_ivl_max, milliseconds(longest_reconnect_interval));
        m_socket.connect("tcp://" + address.address);
        m_notifier = std::make_unique<QSocketNotifier>(m_socket.get(zmq::sockopt::fd), QSocketNotifier::Read);
        QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] { flush(); });
        // ZMQ_FD is edge-triggered and may miss a notification, so a timer
        // flushes too while messages are queued.
        m_retry.setInterval(retry_period);
        QObject::connect(&m_retry, &QTimer::timeout, &m_retry, [this] { flush(); });
        m_idle.start();
    }

    void send(std::string bytes) {
        m_idle.restart();
        if (m_queue.empty() && try_send(bytes)) {
            return;
        }
        if (m_queue.size() >= max_queued_messages || m_queued_bytes + bytes.size() > max_queued_bytes) {
            ++m_figures.dropped;
            return;
        }
        m_queued_bytes += bytes.size();
        QElapsedTimer since;
        since.start();
        m_queue.push_back({std::move(bytes), since});
        m_retry.start();
    }

    [[nodiscard]] bool is_idle() const {
        return m_queue.empty() && m_idle.hasExpired(peer_transport::idle_close.count());
    }

private:
    struct queued_message {
        std::string bytes;
        QElapsedTimer since;
    };

    bool try_send(const std::string& bytes) {
        if (!m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            return false;
        }
        ++m_figures.sent;
        m_figures.bytes_sent += bytes.size();
        return true;
    }

    void flush() {
        // Reading ZMQ_EVENTS makes the socket process its internal commands
        // and re-arms ZMQ_FD.
        static_cast<void>(m_socket.get(zmq::sockopt::events));
        while (!m_queue.empty()) {
            queued_message& first = m_queue.front();
            const bool late = first.since.hasExpired(peer_transport::max_queue_time.count());
            if (late) {
                ++m_figures.dropped;
            } else if (!try_send(first.bytes)) {
                return;
            }
            m_queued_bytes -= first.bytes.size();
            m_queue.pop_front();
        }
        m_retry.stop();
    }

    zmq::socket_t m_socket;
    peer_transport::figures& m_figures;
    std::unique_ptr<QSocketNotifier> m_notifier;
    QTimer m_retry;
    QElapsedTimer m_idle;
    std::deque<queued_message> m_queue;
    std::size_t m_queued_bytes = 0;
};

class peer_transport::implementation {
public:
    implementation(daemon_id sender, receiver receive) : self(std::move(sender)), m_on_message(std::move(receive)) {
        m_context.set(zmq::ctxopt::max_sockets, socket_limit);
        m_router = zmq::socket_t(m_context, zmq::socket_type::router);
        m_router.set(zmq::sockopt::linger, 0);
        m_router.set(zmq::sockopt::rcvhwm, receive_queue_limit);
        m_router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(max_peer_message_bytes));
        m_sweep.setInterval(sweep_period);
        QObject::connect(&m_sweep, &QTimer::timeout, &m_sweep, [this] { close_idle(); });
        m_sweep.start();
    }

    std::optional<endpoint> bind(const endpoint& address) {
        try {
            m_router.bind("tcp://" + address.address);
        } catch (const zmq::error_t&) {
            return std::nullopt;
        }
        m_notifier = std::make_unique<QSocketNotifier>(m_router.get(zmq::sockopt::fd), QSocketNotifier::Read);
        QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] { receive_batch(); });
        const std::string bound = m_router.get(zmq::sockopt::last_endpoint);
        return endpoint{bound.substr(std::string_view("tcp://").size())};
    }

    void send(const endpoint& address, std::string bytes) {
        auto found = m_peers.find(address);
        if (found == m_peers.end()) {
            try {
                found = m_peers.emplace(address, std::make_unique<outgoing_peer>(m_context, address, totals)).first;
            } catch (const zmq::error_t&) {
                ++totals.dropped;
                return;
            }
        }
        found->second->send(std::move(bytes));
    }

    [[nodiscard]] std::size_t connections() const { return m_peers.size(); }

    daemon_id self;
    figures totals;

private:
    // Receives a limited number of messages; the rest is received in the next
    // iteration of the event loop, so that other work is not starved.
    void receive_batch() {
        for (int taken = 0; taken < messages_per_turn; ++taken) {
            zmq::message_t identity;
            if (!m_router.recv(identity, zmq::recv_flags::dontwait)) {
                return;
            }
            zmq::message_t payload;
            while (m_router.get(zmq::sockopt::rcvmore)) {
                static_cast<void>(m_router.recv(payload));
            }
            deliver(payload);
        }
        QTimer::singleShot(0, m_notifier.get(), [this] { receive_batch(); });
    }

    void deliver(const zmq::message_t& payload) {
        auto decoded = decode_message({static_cast<const std::byte*>(payload.data()), payload.size()});
        if (!decoded) {
            ++totals.malformed;
            return;
        }
        ++totals.received;
        m_on_message(std::move(decoded).assume_value());
    }

    void close_idle() {
        std::erase_if(m_peers, [](const auto& peer) { return peer.second->is_idle(); });
    }

    receiver m_on_message;
    zmq::context_t m_context;
    zmq::socket_t m_router;
    std::unique_ptr<QSocketNotifier> m_notifier;
    std::map<endpoint, std::unique_ptr<outgoing_peer>> m_peers;
    QTimer m_sweep;
};

peer_transport::peer_transport(daemon_id self, receiver on_message, QObject* parent)
    : QObject(parent), m_implementation(std::make_unique<implementation>(std::move(self), std::move(on_message))) {}

peer_transport::~peer_transport() = default;

std::optional<endpoint> peer_transport::bind(const endpoint& address) {
    return m_implementation->bind(address);
}

void peer_transport::set_self(daemon_id self) {
    m_implementation->self = std::move(self);
}

void peer_transport::send(const endpoint& address, const peer_message& message) {
    m_implementation->send(address, encode_message(m_implementation->self, message));
}

peer_transport::figures peer_transport::read_figures() const {
    figures result = m_implementation->totals;
    result.connections = m_implementation->connections();
    return result;
}

}  // namespace verbenahold
