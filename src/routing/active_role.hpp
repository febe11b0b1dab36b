// Decides whether this daemon is active or stands by, and which daemons it tells
// what. Answers hosts that come, fail and return at any time while no host is set
// aside to decide: the active daemon of the highest rank chooses the active hosts of
// its zone from the heartbeats it hears, and hosts that hear no active daemon take over by rank. Two
// daemons may decide differently for a moment, which costs knowledge of each other's
// work but nothing else: every daemon serves whoever calls it.
#pragma once

#include "active_hosts.hpp"
#include "daemon_view.hpp"

#include <optional>

namespace verbenahold::serving {

// Time for which a daemon that was active goes on sharing its work: callers use
// cached directory answers, and their requests run on.
inline constexpr duration share_work_after_active = std::chrono::seconds(5);
// When no active daemon of the zone is heard, the hosts of the highest ranks take
// over at once and each next group after this time.
inline constexpr duration takeover_step = std::chrono::milliseconds(500);

class active_role {
public:
    // `own` names this daemon; `zones` is the number of zones of the deployment.
    // `view` must outlive the role.
    active_role(daemon_record own, std::size_t zones, const daemon_view& view)
        : m_own(std::move(own)), m_zones(zones), m_view(view) {}

    // The rows of all daemons have been read once, so it is known which others exist.
    void on_listed() { m_listed = true; }
    // Decides anew from the daemons that are heard. `requests_per_second` is what
    // this daemon receives. True if the daemon became active or stands by now.
    bool update(double requests_per_second, bool leaving, time_point now);

    [[nodiscard]] bool is_active() const { return m_active; }
    [[nodiscard]] bool shares_work(time_point now) const;
    // The hosts of the zone that should be active, as this daemon sees it.
    [[nodiscard]] const std::vector<std::string>& chosen_hosts() const { return m_chosen; }
    // Whether some other daemon of the zone is active.
    [[nodiscard]] bool hears_active_daemon(time_point now) const;
    // Number of daemons to divide shared limits by.
    [[nodiscard]] int sharing_daemons(int active_senders) const;

    // Addresses of the daemons in this zone to which heartbeats go.
    [[nodiscard]] std::vector<std::string> heartbeat_targets_in_zone(time_point now) const;
    // The same for other zones: only active daemons keep in touch across zones.
    [[nodiscard]] std::vector<std::string> heartbeat_targets_elsewhere(time_point now) const;
    // Addresses of the daemons that are told of this daemon's work.
    [[nodiscard]] std::vector<std::string> work_targets() const;

private:
    [[nodiscard]] bool in_own_zone(const zone_name& zone) const { return zone == m_own.zone || zone.value.empty(); }
    [[nodiscard]] bool is_fresh_active(const daemon_view::member& member, time_point now) const;
    // All known hosts of a zone by rank, this one among those of its own zone.
    [[nodiscard]] std::vector<host_candidate> known_hosts(const zone_name& zone) const;
    void choose(double requests_per_second, bool leaving, time_point now);
    // The choice of the active daemon of the highest rank, so that all follow one.
    [[nodiscard]] const std::vector<std::string>& deciding_choice(time_point now) const;
    // Whether all of `hosts` are heard, active and ready for callers.
    [[nodiscard]] bool serve_callers(std::span<const std::string> hosts, time_point now) const;
    [[nodiscard]] bool may_take_over(time_point now) const;
    void add_first_hosts(const zone_name& zone, std::size_t count, std::vector<std::string>& addresses) const;

    daemon_record m_own;
    std::size_t m_zones;
    const daemon_view& m_view;
    std::vector<std::string> m_chosen;
    bool m_listed = false;
    bool m_active = false;
    std::optional<time_point> m_active_until;
    // Since when no active daemon of the zone has been heard.
    std::optional<time_point> m_alone_since;
};

}  // namespace verbenahold::serving
