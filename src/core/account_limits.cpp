#include "account_limits.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::seconds;

// Interval of demand reports. With ten active accounts, a shorter interval would
// use up the daemon's 2,000 bytes of control traffic a second.
constexpr seconds demand_report_interval{3};
// Long enough that two reports can be lost before a share expires.
constexpr seconds share_validity{10};
constexpr double min_reported_tokens_per_second = 1;
// Weight of the last interval in the smoothed demand.
constexpr double demand_smoothing = 0.5;
// Fraction of an account's limit that is granted in equal shares, so that a
// daemon with new demand gets a share at once, while the shares of the others
// are still valid. 0.05 was too little for a single prompt.
constexpr double equal_share_fraction = 0.2;
// The share granted by demand is at most this multiple of the demand, which
// leaves some of the limit for daemons with new demand.
constexpr double demand_headroom = 4;
// Entry daemons that the callers of one account are spread over at most, as in
// the answers to locate requests.
constexpr std::size_t max_daemons_per_account = 18;

bool is_live_state(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

std::vector<daemon_id> live_daemons(const membership& members) {
    std::vector<daemon_id> daemons;
    for (const member& known : members.members()) {
        if (is_live_state(known.state)) {
            daemons.push_back(known.daemon);
        }
    }
    if (!members.leaving()) {
        daemons.push_back(members.self());
    }
    return daemons;
}

}  // namespace

account_limits::account_limits(daemon_id self) : m_self(std::move(self)) {}

// ---- token buckets

double account_limits::default_share(const membership& members) {
    const auto live = static_cast<std::size_t>(std::ranges::count_if(members.members(), is_live_state, &member::state));
    const std::size_t serving = std::clamp<std::size_t>(live + (members.leaving() ? 0 : 1), 1, max_daemons_per_account);
    return 1.0 / static_cast<double>(serving);
}

duration account_limits::admit(const account_spec& account, double tokens, const membership& members, time_point now) {
    if (account.tokens_per_second <= 0) {
        return duration::zero();
    }
    const bool is_new = !m_buckets.contains(account.name);
    bucket& own = m_buckets[account.name];
    own.requested_tokens += tokens;
    const double share = now < own.share_expires_at ? own.share : default_share(members);
    const double rate = account.tokens_per_second * share;
    own.burst = std::max(account.burst_tokens, account.tokens_per_second) * share;
    if (is_new) {
        own.level = own.burst;
        own.refilled_at = now;
        // The demand of a new account is reported at once.
        m_next_report = std::min(m_next_report, now);
    }
    const std::chrono::duration<double> elapsed = now - own.refilled_at;
    own.level = std::min(own.burst, own.level + rate * elapsed.count());
    own.refilled_at = now;
    // A request larger than the burst is admitted from a full bucket and makes
    // its level negative; otherwise it could never run.
    const double needed = std::min(tokens, own.burst);
    if (own.level >= needed) {
        own.level -= tokens;
        return duration::zero();
    }
    constexpr double max_wait_seconds = 60;
    const double wait = rate > 0 ? std::min(max_wait_seconds, (needed - own.level) / rate) : max_wait_seconds;
    return std::max(duration(1), std::chrono::ceil<duration>(std::chrono::duration<double>(wait)));
}

void account_limits::refund(const account_name& account, double tokens) {
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end()) {
        return;
    }
    bucket& own = found->second;
    own.level = std::min(own.burst, own.level + tokens);
    own.requested_tokens = std::max(0.0, own.requested_tokens - tokens);
}

void account_limits::set_share(const account_name& account, double share, duration valid_for, time_point now) {
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end()) {
        return;
    }
    found->second.share = std::clamp(share, 0.0, 1.0);
    found->second.share_expires_at = now + std::min<duration>(valid_for, share_validity);
}

void account_limits::on_share_grant(const daemon_id& /*from*/, const share_grant& grant, time_point now) {
    for (const account_demand& granted : grant.shares) {
        set_share(granted.account, granted.tokens_per_second, grant.valid_for, now);
    }
}

// ---- shares

daemon_id account_limits::coordinator_of(const account_name& account, const membership& members) const {
    const std::uint64_t key = hash_text(account.value);
    const std::vector<daemon_id> daemons = live_daemons(members);
    const auto weight = [&](const daemon_id& daemon) {
        return std::pair(rendezvous_weight(key, daemon.host.value), daemon.host.value);
    };
    const auto best = std::ranges::max_element(daemons, {}, weight);
    return best == daemons.end() ? m_self : *best;
}

double account_limits::grant_share(const daemon_id& to, const account_spec& account, double demand, double equal_share,
                                   time_point now) {
    auto& daemons = m_coordinated[account.name].daemons;
    std::erase_if(daemons, [&](const auto& entry) { return entry.first != to && entry.second.expires_at <= now; });
    granted_share& own = daemons[to];
    own.demand = std::max(0.0, demand);
    double total_demand = 0;
    double granted_to_others = 0;
    for (const auto& [daemon, granted] : daemons) {
        total_demand += granted.demand;
        granted_to_others += daemon == to ? 0 : granted.share;
    }
    const double by_demand = total_demand > 0 ? (1 - equal_share_fraction) * own.demand / total_demand : 0;
    const double needed = demand_headroom * own.demand / std::max(1.0, account.tokens_per_second);
    const double wanted_share = equal_share_fraction * equal_share + std::min(by_demand, needed);
    // Shares granted to others remain valid until they expire or are replaced at
    // the next report.
    own.share = std::clamp(wanted_share, 0.0, std::max(0.0, 1 - granted_to_others));
    own.expires_at = now + share_validity;
    return own.share;
}

void account_limits::on_demand_report(const daemon_id& from, const demand_report& report, const config_snapshot& config,
                                      const membership& members, time_point now, std::vector<entry_command>& out) {
    share_grant grant;
    grant.valid_for = share_validity;
    const double equal_share = default_share(members);
    for (const account_demand& demand : report.demands) {
        const account_spec* account = config.find_account(demand.account);
        if (account != nullptr && std::isfinite(demand.tokens_per_second)) {
            grant.shares.push_back(
                {account->name, grant_share(from, *account, demand.tokens_per_second, equal_share, now)});
        }
    }
    if (!grant.shares.empty()) {
        members.send(from, std::move(grant), out);
    }
}

void account_limits::measure_demand(time_point now) {
    const std::chrono::duration<double> elapsed = now - m_measured_at;
    m_measured_at = now;
    if (elapsed.count() <= 0) {
        return;
    }
    for (auto& [account, own] : m_buckets) {
        const double rate = std::exchange(own.requested_tokens, 0) / elapsed.count();
        own.demand = own.demand_reported ? own.demand + demand_smoothing * (rate - own.demand) : rate;
    }
}

void account_limits::remove_expired(time_point now) {
    for (auto& [account, coordinated] : m_coordinated) {
        std::erase_if(coordinated.daemons, [&](const auto& daemon) { return daemon.second.expires_at <= now; });
    }
    std::erase_if(m_coordinated, [](const auto& entry) { return entry.second.daemons.empty(); });
    // A bucket without demand or share that was not used for a minute is taken to
    // be full, like a new one.
    std::erase_if(m_buckets, [&](const auto& entry) {
        const bucket& own = entry.second;
        return own.demand < min_reported_tokens_per_second && own.share_expires_at <= now &&
               now - own.refilled_at > share_validity * 6;
    });
}

void account_limits::on_tick(const membership& members, const config_snapshot& config, time_point now,
                             std::vector<entry_command>& out) {
    if (!m_started) {
        m_started = true;
        m_measured_at = now;
        m_next_report = now + demand_report_interval;
    }
    if (now < m_next_report) {
        return;
    }
    m_next_report = now + demand_report_interval;
    measure_demand(now);
    remove_expired(now);
    std::map<daemon_id, demand_report> reports;
    for (auto& [account, own] : m_buckets) {
        if (own.demand < min_reported_tokens_per_second || config.find_account(account) == nullptr) {
            continue;
        }
        own.demand_reported = true;
        reports[coordinator_of(account, members)].demands.push_back({account, own.demand});
    }
    for (auto& [coordinator, report] : reports) {
        if (coordinator != m_self) {
            members.send(coordinator, std::move(report), out);
            continue;
        }
        for (const account_demand& demand : report.demands) {
            const account_spec& account = *config.find_account(demand.account);
            const double share = grant_share(m_self, account, demand.tokens_per_second, default_share(members), now);
            set_share(account.name, share, share_validity, now);
        }
    }
}

std::optional<time_point> account_limits::next_wakeup() const {
    return m_started ? m_next_report : time_point{};
}

}  // namespace verbenahold
