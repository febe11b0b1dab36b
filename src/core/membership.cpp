#include "membership.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::seconds;

constexpr std::chrono::milliseconds max_first_probe_delay{500};
constexpr std::size_t expected_suspect_probers = 8;
constexpr int extra_members_for_new_member = 6;
// Dead members that left the host list are still probed for this long, so that
// two parts of a deployment that lost contact for an hour merge again.
constexpr std::chrono::hours dead_retention{2};
// Acks to a new member carry more of the member list for this long.
constexpr seconds joining_period{10};
// is_dead_for() can be called about a daemon that this one has not learned of yet;
// it then counts as dead only after this time.
constexpr seconds unknown_daemon_grace{10};
constexpr std::size_t max_unknown_daemons = 1'024;
// After a refutation, every ack carries the own state for longer than a suspicion
// can last.
constexpr seconds refutation_period{3};

bool supersedes(const member_update& update, std::uint32_t refutation, member_state state) {
    return update.refutation > refutation || (update.refutation == refutation && update.state > state);
}

bool accepts_work(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

std::string_view state_text(member_state state) {
    switch (state) {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            break;
    }
    return "dead";
}

}  // namespace

membership::membership(const entry_settings& settings, std::uint64_t seed) : m_settings(settings), m_random(seed) {}

void membership::start(time_point now) {
    if (m_started_at) {
        return;
    }
    m_started_at = now;
    m_last_tick = now;
    // Spreads the probes of daemons that start together.
    m_next_probe = now + duration(m_random() % duration(max_first_probe_delay).count());
}

// ---- the member table

std::size_t membership::index_of(const host_name& host) const {
    const auto found = m_index.find(host);
    return found == m_index.end() ? no_member : found->second;
}

const endpoint* membership::endpoint_of(const host_name& host) const {
    const std::size_t index = index_of(host);
    if (index != no_member && !m_members[index].peer_endpoint.address.empty()) {
        return &m_members[index].peer_endpoint;
    }
    const auto found = m_candidates.find(host);
    if (found != m_candidates.end() && !found->second.peer_endpoint.address.empty()) {
        return &found->second.peer_endpoint;
    }
    return nullptr;
}

void membership::add_member(const member_update& update, time_point now, std::vector<entry_command>& out) {
    const host_name& host = update.daemon.host;
    m_index[host] = m_members.size();
    member added;
    added.daemon = update.daemon;
    added.zone = update.zone;
    added.peer_endpoint = update.peer_endpoint;
    added.caller_endpoint = update.caller_endpoint;
    added.state = member_state::dead;
    added.refutation = update.refutation;
    added.state_since = now;
    added.last_heard = now;
    m_members.push_back(std::move(added));
    m_peers.push_back({member_state::dead, now});
    m_unknown_since.erase(update.daemon);
    set_state(m_members.size() - 1, update.state, now, out);
    // A random position keeps the current probe round shuffled.
    const std::size_t position = m_random() % (m_probe_round.size() + 1);
    m_probe_round.insert(m_probe_round.begin() + static_cast<std::ptrdiff_t>(position), host);
}

void membership::learn_member(member_update update, time_point now, std::vector<entry_command>& out) {
    const bool is_short = update.peer_endpoint.address.empty();
    if (is_short) {
        const auto listed = m_candidates.find(update.daemon.host);
        if (listed == m_candidates.end()) {
            return;
        }
        update.zone = listed->second.zone;
        update.peer_endpoint = listed->second.peer_endpoint;
        update.caller_endpoint = listed->second.caller_endpoint;
    }
    if (update.state != member_state::dead) {
        add_member(update, now, out);
    }
    if (is_short) {
        // The other daemons have the same host list. Gossiping the new member would
        // delay other updates while a large deployment starts.
        m_gossip.drop(update.daemon.host);
    }
}

bool membership::must_send_own_state(const host_name& to) const {
    const std::size_t index = index_of(to);
    const auto listed = m_candidates.find(to);
    if (index == no_member && listed != m_candidates.end() && !listed->second.was_probed) {
        // On the first probe, assume that the receiver has this daemon in its host
        // list. If it has not, the next probe carries the addresses.
        return false;
    }
    return index == no_member || !m_peers[index].knows_this_daemon || m_peers[index].detected == member_state::dead;
}

// Called when this daemon's own state has changed: makes every peer receive it.
void membership::announce_own_state() {
    ++m_refutation;
    for (peer_state& peer : m_peers) {
        peer.knows_this_daemon = false;
    }
    m_gossip.push(m_settings.self.host);
}

void membership::remove_member(std::size_t index) {
    m_index.erase(m_members[index].daemon.host);
    if (index + 1 != m_members.size()) {
        m_members[index] = std::move(m_members.back());
        m_peers[index] = m_peers.back();
        m_index[m_members[index].daemon.host] = index;
    }
    m_members.pop_back();
    m_peers.pop_back();
}

void membership::set_state(std::size_t index, member_state detected, time_point now, std::vector<entry_command>& out) {
    const host_name& host = m_members[index].daemon.host;
    if (m_peers[index].detected != detected) {
        std::erase(m_suspects, host);
        if (detected == member_state::suspect) {
            // About eight of the daemons that learn of a suspicion probe the suspect
            // themselves; in a small group all do.
            m_peers[index].reprobe_due = m_random() % m_members.size() < expected_suspect_probers;
            m_peers[index].suspect_since = now;
            m_suspects.push_back(host);
        }
    }
    // A death that follows a suspicion is not gossiped separately: the daemons that
    // know of the suspicion reach the same result by their own timeout. Gossiping it
    // would double the traffic when many daemons fail together. A suspicion that is
    // still queued is sent with the current state.
    const bool is_death_of_suspect = m_peers[index].detected == member_state::suspect && detected == member_state::dead;
    m_peers[index].detected = detected;
    if (!is_death_of_suspect) {
        m_gossip.push(host);
    }
    update_public_state(index, now, out);
}

void membership::update_public_state(std::size_t index, time_point now, std::vector<entry_command>& out) {
    member& current = m_members[index];
    member_state state = m_peers[index].detected;
    const auto listed = m_candidates.find(current.daemon.host);
    if (accepts_work(state) && listed != m_candidates.end() && listed->second.leaving) {
        state = member_state::leaving;
    }
    if (state == current.state) {
        return;
    }
    if (accepts_work(state) != accepts_work(current.state)) {
        ++m_view_version;
    }
    current.state = state;
    current.state_since = now;
    out.push_back(log_change{"member " + to_string(current.daemon) + " is " + std::string(state_text(state))});
}

void membership::forget_old_members(time_point now) {
    for (std::size_t index = m_members.size(); index-- > 0;) {
        const member& known = m_members[index];
        const bool old = known.state == member_state::dead && now - known.state_since > dead_retention;
        if (old && !m_candidates.contains(known.daemon.host)) {
            remove_member(index);
        }
    }
}

// ---- gossip received

void membership::apply_self_update(const member_update& update, time_point now, std::vector<entry_command>& out) {
    if (update.daemon.incarnation > m_settings.self.incarnation) {
        if (!m_replaced) {
            m_replaced = true;
            ++m_view_version;
            out.push_back(log_change{"a newer incarnation of this host is a member: " + to_string(update.daemon)});
        }
        return;
    }
    if (update.daemon.incarnation < m_settings.self.incarnation) {
        m_gossip.push(m_settings.self.host);
        return;
    }
    const member_state own = leaving() ? member_state::leaving : member_state::alive;
    if (update.state != own && update.refutation >= m_refutation) {
        m_refutation = update.refutation;
        m_refute_until = now + refutation_period;
        announce_own_state();
        out.push_back(count{"membership_refutations"});
    }
}

void membership::apply_update(const member_update& update, time_point now, std::vector<entry_command>& out) {
    if (update.daemon.incarnation == 0) {
        return;
    }
    if (update.daemon.host == m_settings.self.host) {
        apply_self_update(update, now, out);
        return;
    }
    const std::size_t index = index_of(update.daemon.host);
    if (index == no_member) {
        learn_member(update, now, out);
        return;
    }
    member& known = m_members[index];
    if (update.daemon.incarnation < known.daemon.incarnation) {
        return;
    }
    if (update.daemon.incarnation > known.daemon.incarnation) {
        const bool was_live = accepts_work(known.state);
        const endpoint old_endpoint = known.peer_endpoint;
        known = member{};
        known.daemon = update.daemon;
        known.peer_endpoint = old_endpoint;
        known.state = member_state::dead;
        known.state_since = now;
        known.last_heard = now;
        m_peers[index] = {member_state::dead, now};
        // The set of live daemons changes even when the host stays live.
        m_view_version += was_live ? 1 : 0;
        m_unknown_since.erase(update.daemon);
        std::erase(m_suspects, update.daemon.host);
    } else if (!supersedes(update, known.refutation, m_peers[index].detected)) {
        if (update.refutation == known.refutation && update.state == m_peers[index].detected) {
            m_gossip.count_duplicate(update.daemon.host);
        }
        return;
    }
    known.refutation = update.refutation;
    if (!update.peer_endpoint.address.empty()) {
        known.zone = update.zone;
        known.peer_endpoint = update.peer_endpoint;
        known.caller_endpoint = update.caller_endpoint;
    }
    set_state(index, update.state, now, out);
}

bool membership::apply_gossip(const daemon_id& from, const gossip_payload& gossip, time_point now,
                              std::vector<entry_command>& out) {
    for (const member_update& update : gossip.updates) {
        apply_update(update, now, out);
    }
    apply_accusations(gossip.accusations, now, out);
    collect_strikes(gossip.strikes);
    if (from.host == m_settings.self.host) {
        return false;
    }
    std::size_t index = index_of(from.host);
    const auto listed = m_candidates.find(from.host);
    const bool is_new = index == no_member || m_members[index].daemon.incarnation < from.incarnation;
    if (is_new && listed != m_candidates.end()) {
        // Zone and addresses come from the host list.
        apply_update({from, {}, {}, {}, member_state::alive, 0}, now, out);
        index = index_of(from.host);
    }
    if (index == no_member || m_members[index].daemon != from) {
        return false;
    }
    member& sender = m_members[index];
    sender.last_heard = now;
    // The sender is alive, so its suspicion timeout restarts.
    m_peers[index].suspect_since = now;
    // A reordered message may carry an older configuration version. The other fields
    // are taken from the last message received.
    sender.config_version = std::max(sender.config_version, gossip.config_version);
    sender.config_confirmed = gossip.config_confirmed;
    sender.oldest_schema = gossip.oldest_schema;
    sender.newest_schema = gossip.newest_schema;
    return true;
}

void membership::apply_accusations(std::span<const std::uint32_t> accusations, time_point now,
                                   std::vector<entry_command>& out) {
    if (accusations.empty()) {
        return;
    }
    const auto accuse = [&](const daemon_id& daemon, std::uint32_t refutation) {
        for (const auto state : {member_state::suspect, member_state::dead}) {
            if (std::ranges::find(accusations, accusation_hash(daemon, refutation, state)) != accusations.end()) {
                apply_update({daemon, {}, {}, {}, state, refutation}, now, out);
            }
        }
    };
    accuse(m_settings.self, m_refutation);
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const member& known = m_members[index];
        accuse(known.daemon, known.refutation);
    }
}

void membership::collect_strikes(std::span<const crash_strike> strikes) {
    m_received_strikes.insert(m_received_strikes.end(), strikes.begin(), strikes.end());
}

std::vector<crash_strike> membership::take_received_strikes() {
    return std::exchange(m_received_strikes, {});
}

// ---- host list

void membership::on_host_list(std::span<const host_entry> hosts, time_point now, std::vector<entry_command>& out) {
    start(now);
    m_gossip.refill(now);
    std::map<host_name, candidate> listed;
    bool self_leaving = false;
    for (const host_entry& host : hosts) {
        if (host.role != host_role::entry) {
            continue;
        }
        const bool is_leaving = host.state == host_state::leaving;
        if (host.host == m_settings.self.host) {
            self_leaving = is_leaving;
            continue;
        }
        const auto old = m_candidates.find(host.host);
        const bool was_probed = old != m_candidates.end() && old->second.was_probed;
        listed[host.host] = {host.zone, host.peer_endpoint, host.caller_endpoint, is_leaving, was_probed};
    }
    m_candidates = std::move(listed);
    m_has_unknown_hosts = true;
    if (!m_first_host_list_at) {
        m_first_host_list_at = now;
    }
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        update_public_state(index, now, out);
    }
    if (self_leaving != m_host_leaving) {
        m_host_leaving = self_leaving;
        ++m_view_version;
        announce_own_state();
    }
}

// ---- messages

void membership::on_probe(const daemon_id& from, const probe& message, time_point now,
                          std::vector<entry_command>& out) {
    start(now);
    m_gossip.refill(now);
    if (!apply_gossip(from, message.gossip, now, out)) {
        return;
    }
    const std::size_t index = index_of(from.host);
    const auto is_outdated_about_self = [&](const member_update& update) {
        return update.daemon == m_settings.self && update.refutation < m_refutation;
    };
    const bool refute = now < m_refute_until || std::ranges::any_of(message.gossip.updates, is_outdated_about_self);
    const bool joining = now - m_peers[index].first_known < joining_period;
    m_gossip.spend(gossip_message_bytes);
    probe_ack ack{message.sequence, make_gossip(from.host, refute, joining ? extra_members_for_new_member : 1)};
    push_message(from, m_members[index].peer_endpoint, std::move(ack), out);
}

void membership::on_probe_ack(const daemon_id& from, const probe_ack& message, time_point now,
                              std::vector<entry_command>& out) {
    start(now);
    m_gossip.refill(now);
    const bool known = apply_gossip(from, message.gossip, now, out);
    const auto relayed = m_relayed_probes.find(message.sequence);
    if (relayed != m_relayed_probes.end()) {
        const relayed_probe relay = relayed->second;
        m_relayed_probes.erase(relayed);
        m_gossip.spend(gossip_message_bytes);
        probe_ack forwarded{relay.requester_sequence, {}};
        // Makes the requester receive the state of the target before other updates.
        m_gossip.push(from.host);
        forwarded.gossip = make_gossip(relay.requester.host, false, 0);
        send(relay.requester, std::move(forwarded), out);
        return;
    }
    const auto is_answered = [&](const outstanding_probe& probe) { return probe.sequence == message.sequence; };
    const auto answered = std::ranges::find_if(m_outstanding_probes, is_answered);
    if (answered == m_outstanding_probes.end()) {
        return;
    }
    if (known) {
        member& sender = m_members[index_of(from.host)];
        sender.config_as_of = std::max(sender.config_as_of, answered->sent);
        m_peers[index_of(from.host)].knows_this_daemon = true;
        if (m_peers[index_of(from.host)].detected == member_state::leaving) {
            std::erase(m_suspects, from.host);
        }
    }
    if (const std::size_t target = index_of(answered->target); target != no_member) {
        // An ack relayed by another daemon shows that the target is alive, but the
        // target may not have learned of the suspicion and so has not refuted it.
        m_peers[target].suspect_since = now;
        m_peers[target].reprobe_due = m_peers[target].detected == member_state::suspect;
    }
    if (const auto listed = m_candidates.find(answered->target); listed != m_candidates.end()) {
        listed->second.was_probed = true;
    }
    m_outstanding_probes.erase(answered);
    check_joined(now);
}

void membership::on_leave(const daemon_id& from, time_point now, std::vector<entry_command>& out) {
    start(now);
    const std::size_t index = index_of(from.host);
    if (index == no_member || m_members[index].daemon != from) {
        return;
    }
    if (accepts_work(m_peers[index].detected)) {
        set_state(index, member_state::leaving, now, out);
    }
}

void membership::begin_leave(time_point now, std::vector<entry_command>& out) {
    start(now);
    if (m_leave_begun) {
        return;
    }
    m_leave_begun = true;
    ++m_view_version;
    announce_own_state();
    for (const member& peer : m_members) {
        if (peer.state != member_state::dead) {
            push_message(peer.daemon, peer.peer_endpoint, leave{}, out);
        }
    }
}

// ---- queries

const daemon_id& membership::self() const {
    return m_settings.self;
}

std::span<const member> membership::members() const {
    return m_members;
}

const member* membership::find(const daemon_id& daemon) const {
    const std::size_t index = index_of(daemon.host);
    return index != no_member && m_members[index].daemon == daemon ? &m_members[index] : nullptr;
}

bool membership::is_live(const daemon_id& daemon) const {
    if (daemon == m_settings.self) {
        return true;
    }
    const member* known = find(daemon);
    return known != nullptr && known->state != member_state::dead;
}

bool membership::is_dead_for(const daemon_id& daemon, duration age, time_point now) const {
    if (daemon.host == m_settings.self.host) {
        return daemon.incarnation < m_settings.self.incarnation && m_started_at && now - *m_started_at >= age;
    }
    const std::size_t index = index_of(daemon.host);
    if (index != no_member && m_members[index].daemon.incarnation >= daemon.incarnation) {
        const member& known = m_members[index];
        if (known.daemon.incarnation > daemon.incarnation) {
            return now - m_peers[index].first_known >= age;
        }
        return known.state == member_state::dead && now - known.state_since >= age;
    }
    if (m_unknown_since.size() >= max_unknown_daemons) {
        m_unknown_since.clear();
    }
    const time_point first_asked = m_unknown_since.try_emplace(daemon, now).first->second;
    return now - first_asked >= std::max<duration>(age, unknown_daemon_grace);
}

std::uint64_t membership::view_version() const {
    return m_view_version;
}

bool membership::leaving() const {
    return m_leave_begun || m_host_leaving || m_replaced;
}

bool membership::joined() const {
    return m_joined;
}

void membership::push_message(const daemon_id& to, const endpoint& address, peer_message message,
                              std::vector<entry_command>& out) const {
    out.push_back(send_peer{to, address, std::move(message)});
}

void membership::send(const daemon_id& to, peer_message message, std::vector<entry_command>& out) const {
    if (to == m_settings.self) {
        push_message(to, m_settings.peer_endpoint, std::move(message), out);
        return;
    }
    const member* known = find(to);
    if (known != nullptr && !known->peer_endpoint.address.empty()) {
        push_message(to, known->peer_endpoint, std::move(message), out);
    }
}

}  // namespace verbenahold
