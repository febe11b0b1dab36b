// Queue of the updates to piggyback on the next probes and acks, with the byte
// budget that delays them. The budget delays only the updates, never a probe.
#pragma once

#include "verbenahold/messages.hpp"
#include "verbenahold/types.hpp"

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace verbenahold {

// Estimated encoded size of a probe, ack or probe request without updates: ids,
// framing, flags and versions.
inline constexpr std::size_t gossip_message_bytes = 56;

// Estimated encoded size.
std::size_t encoded_bytes(const member_update& update);

// Compact form of an update about a suspect or dead member. A receiver matches the
// hash against the members that it knows and ignores unknown hashes, since it need
// not learn of the death of a member that it does not know. After a hash collision
// the other member refutes the update.
std::uint32_t accusation_hash(const daemon_id& daemon, std::uint32_t refutation, member_state state);

class gossip_queue {
public:
    // Returns the current update about a host; incarnation 0 if it is not known.
    using update_lookup = std::function<member_update(const host_name&)>;

    // Refills the budget for the time since the last call.
    void refill(time_point now);
    // Can overdraw the budget by at most one burst.
    void spend(std::size_t bytes);
    // True if more than a quarter of a burst is left.
    [[nodiscard]] bool has_quarter_burst() const;
    // True if more than half of a burst is left.
    [[nodiscard]] bool has_half_burst() const;

    // Queues an update about the host, to be sent as if for the first time.
    void push(const host_name& host);
    // Counts an identical update from another member like a send by this one.
    void count_duplicate(const host_name& host);
    void drop(const host_name& host);
    void clear_updates();
    // Replaces the strikes to send; unchanged ones keep their number of sends.
    void set_strikes(std::span<const crash_strike> strikes);

    // Appends an update unless the message is full, the budget is too low or the
    // message already has one about that host. Returns whether it was appended.
    bool try_append(gossip_payload& gossip, const member_update& update);
    // Appends an update regardless of the budget, which is charged for it.
    void append_required(gossip_payload& gossip, const member_update& update);
    // Appends queued updates and strikes, those sent least often first. Each is sent
    // `transmissions` times.
    void append_queued(gossip_payload& gossip, int transmissions, const update_lookup& find_update);

private:
    struct pending_update {
        host_name host;
        int send_count = 0;
    };
    struct pending_strike {
        crash_strike strike;
        int send_count = 0;
    };

    bool try_append_accusation(gossip_payload& gossip, const member_update& update);
    [[nodiscard]] bool can_afford(std::size_t bytes) const;
    void append_strikes(gossip_payload& gossip, int transmissions);

    std::vector<pending_update> m_updates;
    std::vector<pending_strike> m_strikes;
    double m_budget_bytes = 0;
    time_point m_refilled_at{};
    bool m_started = false;
};

}  // namespace verbenahold
