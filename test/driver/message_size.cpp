#include "core_driver.hpp"
#include "gossip_queue.hpp"

namespace verbenahold::testing {

namespace {

// Bytes of the sender's id, the message tag and the ZeroMQ framing.
constexpr double envelope_bytes = 40;

double estimated_bytes(const gossip_payload& gossip) {
    double bytes = envelope_bytes + 16;
    for (const member_update& update : gossip.updates) {
        bytes += static_cast<double>(encoded_bytes(update));
    }
    return bytes + 18.0 * static_cast<double>(gossip.strikes.size()) +
           static_cast<double>(sizeof(std::uint32_t) * gossip.accusations.size());
}

double estimated_bytes(const owner_summary& summary) {
    double bytes = envelope_bytes + 10;
    for (const headroom& room : summary.entries) {
        bytes += 40 + static_cast<double>(room.service.value.size() + room.zone.value.size());
    }
    return bytes;
}

double estimated_bytes(const config_delta& delta) {
    double bytes = envelope_bytes + 14;
    for (const config_change& change : delta.changes) {
        // A record's spec takes 100 to 300 bytes as JSON.
        bytes += 300 + static_cast<double>(change.key.name.size());
    }
    return bytes;
}

double estimated_bytes(const std::vector<account_demand>& demands) {
    double bytes = envelope_bytes + 6;
    for (const account_demand& demand : demands) {
        bytes += 13 + static_cast<double>(demand.account.value.size());
    }
    return bytes;
}

struct message_size_visitor {
    double operator()(const probe& message) const { return estimated_bytes(message.gossip); }
    double operator()(const probe_ack& message) const { return estimated_bytes(message.gossip); }
    double operator()(const probe_request& /*message*/) const { return envelope_bytes + 26; }
    double operator()(const leave& /*message*/) const { return envelope_bytes; }
    double operator()(const owner_summary& message) const { return estimated_bytes(message); }
    double operator()(const config_fetch& /*message*/) const { return envelope_bytes + 6; }
    double operator()(const config_delta& message) const { return estimated_bytes(message); }
    double operator()(const demand_report& message) const { return estimated_bytes(message.demands); }
    double operator()(const share_grant& message) const { return estimated_bytes(message.shares); }
    template <class Other>
    double operator()(const Other& /*message*/) const {
        return 0;
    }
};

}  // namespace

double estimated_control_message_bytes(const peer_message& message) {
    return std::visit(message_size_visitor{}, message);
}

}  // namespace verbenahold::testing
