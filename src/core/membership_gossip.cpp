// Gossip that membership sends: updates about itself, queued updates, and updates
// about other members that fill the rest of a message.
#include "membership.hpp"

#include <cmath>

namespace verbenahold {

int membership::transmissions() const {
    // A small multiple of the logarithm of the group size reaches all members with
    // high probability.
    constexpr double log_multiple = 3;
    const double members = static_cast<double>(m_members.size()) + 2;
    return static_cast<int>(std::ceil(log_multiple * std::log2(members)));
}

member_update membership::update_of(const host_name& host) const {
    if (host == m_settings.self.host) {
        const member_state state = leaving() ? member_state::leaving : member_state::alive;
        return {m_settings.self, m_settings.zone, m_settings.peer_endpoint, m_settings.caller_endpoint,
                state,           m_refutation};
    }
    member_update update = short_update_of(host);
    // Suspicions and deaths go without addresses: a receiver that does not know the
    // daemon has no use for them.
    if (update.state == member_state::alive || update.state == member_state::leaving) {
        const std::size_t index = index_of(host);
        if (index != no_member) {
            update.zone = m_members[index].zone;
            update.peer_endpoint = m_members[index].peer_endpoint;
            update.caller_endpoint = m_members[index].caller_endpoint;
        }
    }
    return update;
}

member_update membership::short_update_of(const host_name& host) const {
    const std::size_t index = index_of(host);
    if (index == no_member) {
        return {};
    }
    const member& known = m_members[index];
    return {known.daemon, {}, {}, {}, m_peers[index].detected, known.refutation};
}

void membership::append_extra_members(gossip_payload& gossip, const host_name& to, int count) {
    for (std::size_t looked = 0; count > 0 && looked < m_members.size(); ++looked) {
        const member& next = m_members[m_filler_cursor++ % m_members.size()];
        if (next.state != member_state::dead && next.daemon.host != to &&
            m_gossip.try_append(gossip, short_update_of(next.daemon.host))) {
            --count;
        }
    }
}

gossip_payload membership::make_gossip(const host_name& to, bool with_own_state, int extra_member_count) {
    gossip_payload gossip;
    gossip.config_version = m_config_version;
    gossip.config_confirmed = m_config_confirmed;
    gossip.oldest_schema = static_cast<std::uint8_t>(oldest_schema_version);
    gossip.newest_schema = static_cast<std::uint8_t>(newest_schema_version);
    if (with_own_state) {
        // Tells the receiver the zone and addresses of the sender.
        m_gossip.append_required(gossip, update_of(m_settings.self.host));
    }
    const std::size_t index = index_of(to);
    const bool is_accused = index != no_member && (m_peers[index].detected == member_state::suspect ||
                                                   m_peers[index].detected == member_state::dead);
    if (is_accused) {
        // The receiver is probably down, so other updates would be wasted on it.
        m_gossip.append_required(gossip, short_update_of(to));
        return gossip;
    }
    if (m_joined) {
        m_gossip.append_queued(gossip, transmissions(), [this](const host_name& host) { return update_of(host); });
    }
    const bool has_unknown_hosts = m_joined && m_has_unknown_hosts;
    if (has_unknown_hosts ? m_gossip.has_half_burst() : m_gossip.has_quarter_burst()) {
        append_extra_members(gossip, to, extra_member_count);
    }
    return gossip;
}

void membership::announce_config(std::uint64_t version, bool confirmed) {
    m_config_version = version;
    m_config_confirmed = confirmed;
}

void membership::announce_strikes(std::span<const crash_strike> strikes) {
    m_gossip.set_strikes(strikes);
}

}  // namespace verbenahold
