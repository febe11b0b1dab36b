// Which daemons are alive: probes, indirect probes, suspicion, refutation and
// gossip, within a fixed number of bytes each second.
#pragma once

#include "verbenahold/commands.hpp"
#include "verbenahold/entry_core.hpp"
#include "verbenahold/messages.hpp"

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
    std::uint32_t refutation = 0;
    // When the state was last changed here.
    time_point since{};
    // Latest announcements of that daemon, as far as heard.
    std::uint64_t config_version = 0;
    bool config_confirmed = false;
    std::uint8_t oldest_schema = 1;
    std::uint8_t newest_schema = 1;
    time_point last_heard{};
};

class membership {
public:
    membership(const entry_settings& settings, std::uint64_t seed);

    // Replaces what the host list says; candidates not seen before become
    // members once they answer a probe. The incarnation of a candidate is
    // unknown (0) until then.
    void on_host_list(std::span<const host_entry> hosts, time_point now, std::vector<entry_command>& out);
    void on_probe(const daemon_id& from, const probe& message, time_point now, std::vector<entry_command>& out);
    void on_probe_ack(const daemon_id& from, const probe_ack& message, time_point now, std::vector<entry_command>& out);
    void on_probe_request(const daemon_id& from, const probe_request& message, time_point now,
                          std::vector<entry_command>& out);
    void on_leave(const daemon_id& from, time_point now, std::vector<entry_command>& out);
    void on_tick(time_point now, std::vector<entry_command>& out);
    // Announces that this daemon takes no new work.
    void begin_leave(time_point now, std::vector<entry_command>& out);
    // What rides on the next probes of this daemon.
    void announce_config(std::uint64_t version, bool confirmed);
    void announce_strikes(std::span<const crash_strike> strikes);
    // Strikes received since the last call.
    std::vector<crash_strike> take_received_strikes();

    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] const daemon_id& self() const;
    // Every known daemon other than this one, dead ones for a while too.
    [[nodiscard]] std::span<const member> members() const;
    [[nodiscard]] const member* find(const daemon_id& daemon) const;
    // True for alive and suspect daemons, and for this one.
    [[nodiscard]] bool is_live(const daemon_id& daemon) const;
    // True when the daemon was declared dead, or a newer incarnation of its
    // host is known, at least `age` before `now`.
    [[nodiscard]] bool is_dead_for(const daemon_id& daemon, duration age, time_point now) const;
    // Grows with every change of the set of live, non-leaving daemons.
    [[nodiscard]] std::uint64_t view_version() const;
    [[nodiscard]] bool leaving() const;
    // Sends a message to a member; nothing if its endpoint is unknown.
    void send(const daemon_id& to, peer_message message, std::vector<entry_command>& out) const;
};

}  // namespace verbenahold
