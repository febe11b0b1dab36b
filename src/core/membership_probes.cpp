// Failure detection of membership: choice of probe targets, indirect probes,
// suspicion and its timeout.
#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds probe_interval{500};
constexpr milliseconds direct_ack_timeout{300};
constexpr seconds suspicion_timeout{2};
constexpr int indirect_probe_count = 2;
// A longer gap between ticks means that this process was paused; probes that were
// outstanding then say nothing about the peers.
constexpr milliseconds pause_threshold{1'000};
// With 620 daemons that start together, transferring the member list at 800 bytes a
// second takes about this long.
constexpr seconds join_timeout{30};
constexpr seconds relay_timeout{2};

}  // namespace

void membership::on_probe_request(const daemon_id& from, const probe_request& message, time_point now,
                                  std::vector<entry_command>& out) {
    start(now);
    m_gossip.refill(now);
    const endpoint* address = endpoint_of(message.target.host);
    if (address == nullptr) {
        return;
    }
    const std::size_t index = index_of(message.target.host);
    const daemon_id target = index == no_member ? message.target : m_members[index].daemon;
    const std::uint64_t sequence = ++m_last_sequence;
    m_relayed_probes[sequence] = {from, message.sequence, now};
    m_gossip.spend(gossip_message_bytes);
    push_message(target, *address, probe{sequence, make_gossip(target.host, must_send_own_state(target.host), 0)}, out);
}

void membership::start_probe_round() {
    for (const member& known : m_members) {
        m_probe_round.push_back(known.daemon.host);
    }
    for (const auto& [host, listed] : m_candidates) {
        if (!m_index.contains(host)) {
            m_probe_round.push_back(host);
        }
    }
    std::ranges::shuffle(m_probe_round, m_random);
}

bool membership::has_outstanding_probe(const host_name& host) const {
    return std::ranges::find(m_outstanding_probes, host, &outstanding_probe::target) != m_outstanding_probes.end();
}

std::optional<host_name> membership::next_probe_target() {
    if (m_probe_round.empty()) {
        start_probe_round();
    }
    while (!m_probe_round.empty()) {
        host_name host = std::move(m_probe_round.back());
        m_probe_round.pop_back();
        if (endpoint_of(host) != nullptr && !has_outstanding_probe(host)) {
            return host;
        }
    }
    return std::nullopt;
}

void membership::send_probe(const host_name& target, time_point now, std::vector<entry_command>& out) {
    const endpoint* address = endpoint_of(target);
    const std::size_t index = index_of(target);
    const daemon_id to = index == no_member ? daemon_id{target, 0} : m_members[index].daemon;
    const std::uint64_t sequence = ++m_last_sequence;
    m_outstanding_probes.push_back({sequence, target, now, false});
    m_gossip.spend(gossip_message_bytes);
    push_message(to, *address, probe{sequence, make_gossip(target, must_send_own_state(target), 0)}, out);
}

// Probes one suspect in each interval once more before its suspicion times out. The
// probe carries the suspicion, so that a live daemon can refute it even if it lost
// earlier messages.
void membership::reprobe_suspect(time_point now, std::vector<entry_command>& out) {
    const auto is_due = [this](const host_name& host) { return m_peers[index_of(host)].reprobe_due; };
    const auto found = std::ranges::find_if(m_suspects, is_due);
    if (found == m_suspects.end() || has_outstanding_probe(*found) || endpoint_of(*found) == nullptr) {
        return;
    }
    const host_name host = *found;
    m_peers[index_of(host)].reprobe_due = false;
    send_probe(host, now, out);
}

void membership::probe_peers(time_point now, std::vector<entry_command>& out) {
    if (now >= m_next_probe) {
        const time_point planned = m_next_probe + probe_interval;
        m_next_probe = planned > now ? planned : now + probe_interval;
        if (const auto target = next_probe_target()) {
            send_probe(*target, now, out);
        }
        reprobe_suspect(now, out);
    }
    if (m_has_unknown_hosts) {
        probe_unknown_hosts(now, out);
    }
}

// Probes listed hosts that are not members yet, as fast as the byte budget allows.
// Until this daemon has joined, acks to other daemons take precedence, because six
// members in an ack cost less than a probe; afterwards these probes do.
void membership::probe_unknown_hosts(time_point now, std::vector<entry_command>& out) {
    m_has_unknown_hosts = false;
    for (const auto& entry : m_candidates) {
        const host_name& host = entry.first;
        if (entry.second.was_probed || m_index.contains(host) || endpoint_of(host) == nullptr) {
            continue;
        }
        m_has_unknown_hosts = true;
        if (!(m_joined ? m_gossip.has_quarter_burst() : m_gossip.has_half_burst())) {
            return;
        }
        if (!has_outstanding_probe(host)) {
            send_probe(host, now, out);
        }
    }
}

void membership::send_indirect_probes(outstanding_probe& outstanding, std::vector<entry_command>& out) {
    outstanding.indirect_probes_sent = true;
    std::vector<std::size_t> helpers;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        if (m_members[index].state == member_state::alive && m_members[index].daemon.host != outstanding.target) {
            helpers.push_back(index);
        }
    }
    const std::size_t target_index = index_of(outstanding.target);
    const daemon_id target =
        target_index == no_member ? daemon_id{outstanding.target, 0} : m_members[target_index].daemon;
    for (int asked = 0; asked < indirect_probe_count && !helpers.empty(); ++asked) {
        const std::size_t pick = m_random() % helpers.size();
        const member& helper = m_members[helpers[pick]];
        m_gossip.spend(gossip_message_bytes);
        push_message(helper.daemon, helper.peer_endpoint, probe_request{outstanding.sequence, target}, out);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void membership::check_outstanding_probes(time_point now, std::vector<entry_command>& out) {
    for (outstanding_probe& outstanding : m_outstanding_probes) {
        const std::size_t index = index_of(outstanding.target);
        const bool is_live = index != no_member && m_peers[index].detected != member_state::dead;
        // Indirect probes were sent before the target became a suspect. Repeating
        // them for many suspects would use up the bytes for updates about deaths.
        const bool is_suspect = is_live && m_peers[index].detected == member_state::suspect;
        if (is_live && !is_suspect && !outstanding.indirect_probes_sent &&
            now - outstanding.sent >= direct_ack_timeout) {
            send_indirect_probes(outstanding, out);
        }
        if (now - outstanding.sent < probe_interval) {
            continue;
        }
        if (is_live) {
            start_suspicion(index, now, out);
        }
        if (const auto listed = m_candidates.find(outstanding.target); listed != m_candidates.end()) {
            listed->second.was_probed = true;
        }
    }
    std::erase_if(m_outstanding_probes,
                  [&](const outstanding_probe& outstanding) { return now - outstanding.sent >= probe_interval; });
    std::erase_if(m_relayed_probes, [&](const auto& relay) { return now - relay.second.sent >= relay_timeout; });
}

void membership::start_suspicion(std::size_t index, time_point now, std::vector<entry_command>& out) {
    const host_name& host = m_members[index].daemon.host;
    if (m_peers[index].detected == member_state::alive) {
        set_state(index, member_state::suspect, now, out);
    } else if (std::ranges::find(m_suspects, host) == m_suspects.end()) {
        // A leaving daemon keeps that state, so that it does not become an owner
        // again, and gets the same timeout as a suspect.
        m_peers[index].suspect_since = now;
        m_suspects.push_back(host);
    }
    m_peers[index].reprobe_due = true;
}

void membership::expire_suspicions(time_point now, std::vector<entry_command>& out) {
    const std::vector<host_name> suspects = m_suspects;
    for (const host_name& host : suspects) {
        const std::size_t index = index_of(host);
        if (index != no_member && now - m_peers[index].suspect_since >= suspicion_timeout) {
            set_state(index, member_state::dead, now, out);
        }
    }
}

void membership::resume_after_pause(time_point now) {
    m_outstanding_probes.clear();
    m_relayed_probes.clear();
    for (const host_name& host : m_suspects) {
        m_peers[index_of(host)].suspect_since = now;
    }
}

void membership::check_joined(time_point now) {
    if (m_joined || !m_first_host_list_at) {
        return;
    }
    const auto is_settled = [&](const auto& listed) {
        return listed.second.was_probed || m_index.contains(listed.first);
    };
    if (std::ranges::all_of(m_candidates, is_settled) || now - *m_first_host_list_at > join_timeout) {
        m_joined = true;
        m_gossip.clear_updates();
        m_gossip.push(m_settings.self.host);
        ++m_view_version;
    }
}

void membership::on_tick(time_point now, std::vector<entry_command>& out) {
    start(now);
    m_gossip.refill(now);
    if (now - m_last_tick > pause_threshold) {
        resume_after_pause(now);
    }
    m_last_tick = now;
    check_outstanding_probes(now, out);
    expire_suspicions(now, out);
    forget_old_members(now);
    probe_peers(now, out);
    check_joined(now);
}

std::optional<time_point> membership::next_wakeup() const {
    if (!m_started_at) {
        return time_point{};
    }
    time_point next = m_next_probe;
    for (const outstanding_probe& outstanding : m_outstanding_probes) {
        next = std::min(next, outstanding.sent + (outstanding.indirect_probes_sent ? duration(probe_interval)
                                                                                   : duration(direct_ack_timeout)));
    }
    for (const host_name& host : m_suspects) {
        next = std::min(next, m_peers[index_of(host)].suspect_since + suspicion_timeout);
    }
    return next;
}

}  // namespace verbenahold
