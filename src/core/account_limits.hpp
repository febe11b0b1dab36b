// Token buckets of the client accounts. Each account's limit is shared among
// the daemons by demand: every daemon reports its demand to the account's
// coordinator, chosen by rendezvous hash, and is granted a share.
#pragma once

#include "membership.hpp"

#include "verbenahold/records.hpp"

#include <optional>

namespace verbenahold {

class account_limits {
public:
    explicit account_limits(daemon_id self);

    // Takes `tokens` from the account's bucket, or says how long to wait.
    // Zero means admitted.
    duration admit(const account_spec& account, double tokens, const membership& members, time_point now);
    // Gives back what a request did not use.
    void refund(const account_name& account, double tokens);
    void on_demand_report(const daemon_id& from, const demand_report& report, const config_snapshot& config,
                          const membership& members, time_point now, std::vector<entry_command>& out);
    void on_share_grant(const daemon_id& from, const share_grant& grant, time_point now);
    void on_tick(const membership& members, const config_snapshot& config, time_point now,
                 std::vector<entry_command>& out);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
};

}  // namespace verbenahold
