// What waits to ride on the next probes and acks, and the byte budget that
// defers it. Probes themselves are never deferred, only what rides on them.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace verbenahold {

// Estimated encoded bytes of a probe, ack or probe request without updates:
// ids, framing, flags and versions.
inline constexpr std::size_t gossip_message_bytes = 56;

// Estimated encoded bytes.
std::size_t encoded_bytes(const member_update& update);

// Stands for a suspected or dead member in a message, in few bytes. Who knows
// the member finds it by the same hash; who does not needs no word of its end.
// Two members with the same hash cost the wrong one a refutation.
std::uint32_t accusation_of(const daemon_id& daemon, std::uint32_t refutation, member_state state);

class gossip_queue {
public:
    // Says what is currently known of a host; incarnation 0 if nothing.
    using lookup = std::function<member_update(const host_name&)>;

    // Credits the budget for the time since the last call.
    void refill(time_point now);
    // The budget can go below zero, to the size of one burst.
    void spend(std::size_t bytes);
    // True while more than a quarter of a burst is left.
    [[nodiscard]] bool has_reserve() const;
    // True while more than half of a burst is left.
    [[nodiscard]] bool has_plenty() const;

    // The host's state has news; sent anew to `transmissions` receivers.
    void push(const host_name& host);
    // Another member sent the same news, which counts like a send of this one.
    void count_heard(const host_name& host);
    void drop(const host_name& host);
    void clear_updates();
    // Replaces the strikes; those known before keep their number of sends.
    void set_strikes(std::span<const crash_strike> strikes);

    // Appends an update if the message and the budget have room for it.
    bool append(gossip_payload& gossip, const member_update& update);
    // Appends an update that the receiver can't do without.
    void append_required(gossip_payload& gossip, const member_update& update);
    // Appends the news sent least often so far.
    void append_news(gossip_payload& gossip, int transmissions, const lookup& known);

private:
    struct pending_update {
        host_name host;
        int sent = 0;
    };
    struct pending_strike {
        crash_strike strike;
        int sent = 0;
    };

    bool append_accusation(gossip_payload& gossip, const member_update& update);
    [[nodiscard]] bool can_afford(std::size_t bytes) const;
    void append_strikes(gossip_payload& gossip, int transmissions);

    std::vector<pending_update> m_updates;
    std::vector<pending_strike> m_strikes;
    double m_budget_bytes = 0;
    time_point m_refilled{};
    bool m_started = false;
};

}  // namespace verbenahold
