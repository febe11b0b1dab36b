#include "core_driver.hpp"
#include "gossip_queue.hpp"

namespace verbenahold::testing {

namespace {

// Bytes of the sender's id, the message tag and the ZeroMQ framing.
constexpr double envelope = 40;

double size_of(const gossip_payload& gossip) {
    double bytes = envelope + 16;
    for (const member_update& update : gossip.updates) {
        bytes += static_cast<double>(encoded_bytes(update));
    }
    return bytes + 18.0 * static_cast<double>(gossip.strikes.size()) +
           static_cast<double>(sizeof(std::uint32_t) * gossip.accusations.size());
}

double size_of(const owner_summary& summary) {
    double bytes = envelope + 10;
    for (const headroom& room : summary.entries) {
        bytes += 40 + static_cast<double>(room.service.value.size() + room.zone.value.size());
    }
    return bytes;
}

double size_of(const config_delta& delta) {
    double bytes = envelope + 14;
    for (const config_change& change : delta.changes) {
        // A record's spec takes 100 to 300 bytes as JSON.
        bytes += 300 + static_cast<double>(change.key.name.size());
    }
    return bytes;
}

double size_of(const std::vector<account_demand>& demands) {
    double bytes = envelope + 6;
    for (const account_demand& demand : demands) {
        bytes += 13 + static_cast<double>(demand.account.value.size());
    }
    return bytes;
}

struct sizer {
    double operator()(const probe& message) const { return size_of(message.gossip); }
    double operator()(const probe_ack& message) const { return size_of(message.gossip); }
    double operator()(const probe_request& /*message*/) const { return envelope + 26; }
    double operator()(const leave& /*message*/) const { return envelope; }
    double operator()(const owner_summary& message) const { return size_of(message); }
    double operator()(const config_fetch& /*message*/) const { return envelope + 6; }
    double operator()(const config_delta& message) const { return size_of(message); }
    double operator()(const demand_report& message) const { return size_of(message.demands); }
    double operator()(const share_grant& message) const { return size_of(message.shares); }
    template <class Other>
    double operator()(const Other& /*message*/) const {
        return 0;
    }
};

}  // namespace

double control_size(const peer_message& message) {
    return std::visit(sizer{}, message);
}

}  // namespace verbenahold::testing
