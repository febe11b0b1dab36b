// Transport of messages between entry daemons over ZeroMQ and TCP: one bound
// ROUTER socket receives from all peers, and one DEALER socket per peer sends.
// Messages may be lost; the core recovers by queries.
#pragma once

#include <QObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "message_codec.hpp"
#include "verbenahold/types.hpp"

namespace verbenahold {

class peer_transport : public QObject {
public:
    using receiver = std::function<void(addressed_message&&)>;

    // Heartbeats detect connections that deliver nothing but stay open.
    static constexpr std::chrono::milliseconds heartbeat_interval{500};
    static constexpr std::chrono::milliseconds heartbeat_timeout{2'000};
    // A connection without sent messages for this long is closed, because
    // heartbeats to 620 peers would exceed the budget of 2 KB/s for control
    // traffic.
    static constexpr std::chrono::milliseconds idle_close{5'000};
    // Messages to a peer without a connection are dropped after this time: by
    // then the sender regards the peer as failed and uses another one.
    static constexpr std::chrono::milliseconds max_queue_time{2'000};

    struct figures {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        // Messages not sent in time or above a queue limit.
        std::uint64_t dropped = 0;
        // Received messages that could not be decoded.
        std::uint64_t malformed = 0;
        std::uint64_t bytes_sent = 0;
        std::size_t connections = 0;
    };

    peer_transport(daemon_id self, receiver on_message, QObject* parent = nullptr);
    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    // Listens for peers; with port 0 the kernel chooses the port. Returns the
    // actual address, or no value on failure.
    std::optional<endpoint> bind(const endpoint& address);
    // Sets the sender id of messages, for use when it depends on the bound
    // address.
    void set_self(daemon_id self);
    // Sends a message to the daemon that listens at `address`, or drops it.
    void send(const endpoint& address, const peer_message& message);
    [[nodiscard]] figures read_figures() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace verbenahold
