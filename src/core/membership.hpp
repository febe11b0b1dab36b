// SWIM-style membership and failure detection of entry daemons: probes, indirect
// probes, suspicion, refutation and gossip, within a fixed byte rate.
#pragma once

#include "gossip_queue.hpp"

#include "verbenahold/commands.hpp"
#include "verbenahold/entry_core.hpp"
#include "verbenahold/messages.hpp"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace verbenahold {

struct member {
    daemon_id daemon;
    zone_name zone;
    endpoint peer_endpoint;
    endpoint caller_endpoint;
    member_state state = member_state::alive;
    // Counter that the daemon raises when it refutes an update about itself, begins
    // to leave, or is marked or unmarked as leaving in the host list. Of two updates
    // about one incarnation, the one with the higher value supersedes the other.
    std::uint32_t refutation = 0;
    // When this daemon last changed its view of the state.
    time_point state_since{};
    // Latest announcements received from that daemon.
    std::uint64_t config_version = 0;
    bool config_confirmed = false;
    // The daemon announced config_version at or after this time, which is the send
    // time of the probe whose ack carried it. The time of receipt would be too
    // late: an ack can wait in a buffer while this daemon is paused.
    time_point config_as_of = time_point::min();
    std::uint8_t oldest_schema = 1;
    std::uint8_t newest_schema = 1;
    time_point last_heard{};
};

class membership {
public:
    membership(const entry_settings& settings, std::uint64_t seed);

    // Replaces the candidates by the entry hosts of the list. A candidate that is
    // not a member becomes one when it is heard from, directly or by gossip; until
    // then its incarnation is unknown (0).
    void on_host_list(std::span<const host_entry> hosts, time_point now, std::vector<entry_command>& out);
    void on_probe(const daemon_id& from, const probe& message, time_point now, std::vector<entry_command>& out);
    void on_probe_ack(const daemon_id& from, const probe_ack& message, time_point now, std::vector<entry_command>& out);
    void on_probe_request(const daemon_id& from, const probe_request& message, time_point now,
                          std::vector<entry_command>& out);
    void on_leave(const daemon_id& from, time_point now, std::vector<entry_command>& out);
    void on_tick(time_point now, std::vector<entry_command>& out);
    // Announces that this daemon takes no new work.
    void begin_leave(time_point now, std::vector<entry_command>& out);
    // Set what this daemon announces with its next probes and acks.
    void announce_config(std::uint64_t version, bool confirmed);
    void announce_strikes(std::span<const crash_strike> strikes);
    // Crash strikes of requests received since the last call (see crash_strike: how
    // often a request is held responsible for the death of its server).
    std::vector<crash_strike> take_received_strikes();

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] const daemon_id& self() const;
    // Every known daemon except this one, including recently dead ones.
    [[nodiscard]] std::span<const member> members() const;
    [[nodiscard]] const member* find(const daemon_id& daemon) const;
    // True for alive, suspect and leaving daemons and for this one. A leaving
    // daemon still finishes its running requests.
    [[nodiscard]] bool is_live(const daemon_id& daemon) const;
    // True if the daemon was declared dead, or a newer incarnation of its host
    // became known, at least `age` before `now`. A daemon that is not known here
    // counts as dead a grace time after the first call about it.
    [[nodiscard]] bool is_dead_for(const daemon_id& daemon, duration age, time_point now) const;
    // Increases with every change of the set of live, non-leaving daemons.
    [[nodiscard]] std::uint64_t view_version() const;
    [[nodiscard]] bool leaving() const;
    // True once every candidate of the host list is a member or its first probe has
    // ended, or after a timeout. Until then this daemon is not eligible as an owner:
    // with few known members it would make itself the owner of nearly all servers.
    [[nodiscard]] bool joined() const;
    // Sends a message to a member. Does nothing if its address is unknown.
    void send(const daemon_id& to, peer_message message, std::vector<entry_command>& out) const;

private:
    // Private state of a member; same index as in m_members.
    struct peer_state {
        // State according to probes and gossip. The public state also takes the
        // leaving mark of the host list into account.
        member_state detected = member_state::alive;
        time_point first_known{};
        // Start of the suspicion timeout of a suspect, or of a leaving member that
        // failed a probe.
        time_point suspect_since{};
        // True if this daemon must probe the suspect once more before the timeout.
        bool reprobe_due = false;
        // It has answered a probe since this daemon's own state last changed, so it
        // knows that state and the addresses.
        bool knows_this_daemon = false;
    };
    struct candidate {
        zone_name zone;
        endpoint peer_endpoint;
        endpoint caller_endpoint;
        bool leaving = false;
        bool was_probed = false;
    };
    struct outstanding_probe {
        std::uint64_t sequence = 0;
        host_name target;
        time_point sent{};
        bool indirect_probes_sent = false;
    };
    struct relayed_probe {
        daemon_id requester;
        std::uint64_t requester_sequence = 0;
        time_point sent{};
    };
    static constexpr std::size_t no_member = static_cast<std::size_t>(-1);

    void start(time_point now);
    void resume_after_pause(time_point now);
    [[nodiscard]] std::size_t index_of(const host_name& host) const;
    [[nodiscard]] const endpoint* endpoint_of(const host_name& host) const;
    void add_member(const member_update& update, time_point now, std::vector<entry_command>& out);
    void learn_member(member_update update, time_point now, std::vector<entry_command>& out);
    void remove_member(std::size_t index);
    [[nodiscard]] bool must_send_own_state(const host_name& to) const;
    void announce_own_state();
    void set_state(std::size_t index, member_state detected, time_point now, std::vector<entry_command>& out);
    void update_public_state(std::size_t index, time_point now, std::vector<entry_command>& out);
    void apply_update(const member_update& update, time_point now, std::vector<entry_command>& out);
    void apply_self_update(const member_update& update, time_point now, std::vector<entry_command>& out);
    // Returns false if the sender is unknown or an earlier incarnation.
    bool apply_gossip(const daemon_id& from, const gossip_payload& gossip, time_point now,
                      std::vector<entry_command>& out);
    void apply_accusations(std::span<const std::uint32_t> accusations, time_point now, std::vector<entry_command>& out);
    void collect_strikes(std::span<const crash_strike> strikes);

    [[nodiscard]] member_update update_of(const host_name& host) const;
    // The update without zone and addresses, which the receiver has from its host
    // list.
    [[nodiscard]] member_update short_update_of(const host_name& host) const;
    [[nodiscard]] int transmissions() const;
    gossip_payload make_gossip(const host_name& to, bool with_own_state, int extra_member_count);
    void append_extra_members(gossip_payload& gossip, const host_name& to, int count);

    void probe_unknown_hosts(time_point now, std::vector<entry_command>& out);
    void reprobe_suspect(time_point now, std::vector<entry_command>& out);
    void probe_peers(time_point now, std::vector<entry_command>& out);
    void send_probe(const host_name& target, time_point now, std::vector<entry_command>& out);
    void send_indirect_probes(outstanding_probe& outstanding, std::vector<entry_command>& out);
    void check_outstanding_probes(time_point now, std::vector<entry_command>& out);
    void start_suspicion(std::size_t index, time_point now, std::vector<entry_command>& out);
    void expire_suspicions(time_point now, std::vector<entry_command>& out);
    void forget_old_members(time_point now);
    [[nodiscard]] bool has_outstanding_probe(const host_name& host) const;
    std::optional<host_name> next_probe_target();
    void start_probe_round();
    void check_joined(time_point now);
    void push_message(const daemon_id& to, const endpoint& address, peer_message message,
                      std::vector<entry_command>& out) const;

    entry_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<member> m_members;
    std::vector<peer_state> m_peers;
    std::unordered_map<host_name, std::size_t> m_index;
    // Entry hosts of the latest host list, whether or not they are members.
    std::map<host_name, candidate> m_candidates;
    // True while a listed host with an address is neither a member nor has had its
    // first probe end. A new host list also sets it, until the hosts are checked.
    bool m_has_unknown_hosts = false;
    bool m_joined = false;
    bool m_leave_begun = false;
    // The host list marks this host as leaving.
    bool m_host_leaving = false;
    // A newer incarnation of this host is a member.
    bool m_replaced = false;
    // This daemon's own member::refutation.
    std::uint32_t m_refutation = 0;
    time_point m_refute_until = time_point::min();
    std::uint64_t m_view_version = 1;
    std::uint64_t m_last_sequence = 0;
    std::optional<time_point> m_started_at;
    std::optional<time_point> m_first_host_list_at;
    time_point m_last_tick{};
    time_point m_next_probe{};
    std::vector<host_name> m_probe_round;
    std::vector<outstanding_probe> m_outstanding_probes;
    std::map<std::uint64_t, relayed_probe> m_relayed_probes;
    std::vector<host_name> m_suspects;
    gossip_queue m_gossip;
    std::size_t m_filler_cursor = 0;
    std::uint64_t m_config_version = 0;
    bool m_config_confirmed = false;
    std::vector<crash_strike> m_received_strikes;
    // Daemons not known here, with the time of the first is_dead_for call.
    mutable std::unordered_map<daemon_id, time_point> m_unknown_since;
};

}  // namespace verbenahold
