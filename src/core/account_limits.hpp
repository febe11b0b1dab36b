// Token buckets of the client accounts. The limit of an account is divided among
// the daemons by demand: each daemon reports its demand to the account's
// coordinator, a daemon chosen by rendezvous hashing, which grants it a share.
#pragma once

#include "membership.hpp"

#include "verbenahold/records.hpp"

#include <map>
#include <optional>

namespace verbenahold {

class account_limits {
public:
    explicit account_limits(daemon_id self);

    // Takes `tokens` from the account's bucket and returns zero, or returns how
    // long to wait. An account whose tokens_per_second is not positive has no
    // limit.
    duration admit(const account_spec& account, double tokens, const membership& members, time_point now);
    // Returns tokens to the bucket that an admitted request did not use.
    void refund(const account_name& account, double tokens);
    void on_demand_report(const daemon_id& from, const demand_report& report, const config_snapshot& config,
                          const membership& members, time_point now, std::vector<entry_command>& out);
    void on_share_grant(const daemon_id& from, const share_grant& grant, time_point now);
    void on_tick(const membership& members, const config_snapshot& config, time_point now,
                 std::vector<entry_command>& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    struct bucket {
        double level = 0;
        time_point refilled_at{};
        // Largest level, as of the last admit.
        double burst = 0;
        // Granted share of the limit, 0 to 1; the default share applies once it
        // has expired.
        double share = 0;
        time_point share_expires_at = time_point::min();
        // Tokens requested since the last measurement, and the smoothed demand in
        // tokens a second.
        double requested_tokens = 0;
        double demand = 0;
        bool demand_reported = false;
    };
    struct granted_share {
        double demand = 0;
        double share = 0;
        time_point expires_at{};
    };
    // Shares that this daemon has granted as the coordinator of an account.
    struct coordinated_account {
        std::map<daemon_id, granted_share> daemons;
    };

    [[nodiscard]] static double default_share(const membership& members);
    [[nodiscard]] daemon_id coordinator_of(const account_name& account, const membership& members) const;
    double grant_share(const daemon_id& to, const account_spec& account, double demand, double equal_share,
                       time_point now);
    void set_share(const account_name& account, double share, duration valid_for, time_point now);
    void measure_demand(time_point now);
    void remove_expired(time_point now);

    daemon_id m_self;
    std::map<account_name, bucket> m_buckets;
    std::map<account_name, coordinated_account> m_coordinated;
    time_point m_measured_at{};
    time_point m_next_report{};
    bool m_started = false;
};

}  // namespace verbenahold
