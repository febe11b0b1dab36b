// Messages between entry daemons over ZeroMQ on TCP: one bound ROUTER that
// receives from everyone, and one DEALER per peer that sends. Messages may be
// lost; the core repairs that by query.
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

    // Heartbeats find connections that went silent.
    static constexpr std::chrono::milliseconds heartbeat_interval{500};
    static constexpr std::chrono::milliseconds heartbeat_timeout{2'000};
    // A connection that sends nothing for this long is closed, because
    // heartbeats to 620 peers would exceed the control budget of 2 KB/s.
    static constexpr std::chrono::milliseconds idle_close{5'000};
    // Messages for a peer without a connection wait this long, then they are
    // dropped: the peer counts as silent, and the sender has moved on.
    static constexpr std::chrono::milliseconds longest_wait{2'000};

    struct figures {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        // Not sent in time, or over a queue limit.
        std::uint64_t dropped = 0;
        // Received bytes that are no message.
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

    // Listens for peers; port 0 lets the kernel choose. The actual address, or
    // none when it can't be bound.
    std::optional<endpoint> bind(const endpoint& address);
    // Sets the sender named in messages; needed when the address decides it.
    void set_self(daemon_id self);
    // Sends a message to the daemon that listens at `address`, or drops it.
    void send(const endpoint& address, const peer_message& message);
    [[nodiscard]] figures read_figures() const;

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

}  // namespace verbenahold
