// Tells which client accounts use more than their share of the servers. Addresses a load in
// which one account sends many times its usual while capacity is short: its requests are
// then ordered after those of others. An account that is large but steady, and a burst in
// which all accounts grow alike, are no reason to order anything.
#pragma once

#include "verbenahold/types.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace verbenahold::serving {

// Time constants of the decayed sums of server time.
inline constexpr duration recent_use_time = std::chrono::seconds(2);
inline constexpr duration usual_use_time = std::chrono::seconds(60);
// An account over its share uses more than this multiple of its usual use. Each account is
// also taken to want this multiple of what it uses, since only requests that were sent are
// known and not those that wait.
inline constexpr double usual_use_margin = 1.5;
// Deviations of the recent use that are attributed to chance, in addition to one request.
// Without them, an account that sends few large requests would be over its share after each.
inline constexpr double max_chance_deviations = 3;
// Least part of the use of an account over its share that counts as usual. If all of it
// did, 7.5 times the usual use would become usual in less than a minute; if none did, a
// large new account would stay over its share.
inline constexpr double min_learned_part = 0.25;
// No account is over its share until its use has been recorded for this long.
inline constexpr duration share_learning_time = std::chrono::seconds(2);
// An account wants capacity for this long after its last request.
inline constexpr duration demand_time = std::chrono::seconds(10);
// The fair level is calculated at most once in this time, as the cost grows with the number
// of accounts.
inline constexpr duration fair_level_period = std::chrono::milliseconds(100);
inline constexpr duration idle_account_retention = std::chrono::minutes(10);
inline constexpr std::size_t max_tracked_accounts = 4'096;
// Requests that state more server time are ignored: one such value would keep the account
// over its share for many minutes.
inline constexpr double max_server_ms = 3'600'000;

// Identifies an account in messages between daemons: XXH64 of its name; 0 for an empty name.
std::uint64_t account_hash(std::string_view name);

class account_shares {
public:
    // Records a request of the account sent by any daemon; `server_ms` is the predicted
    // server time of the request. Account 0 stands for none. False if the time is negative,
    // not finite or above max_server_ms; it is ignored then.
    bool on_sent(std::uint64_t account, double server_ms, time_point now);
    // Whether requests of the account are ordered after those of others while capacity is
    // short. False for an account that is not tracked.
    [[nodiscard]] bool is_over_share(std::uint64_t account, time_point now) const;
    // Removes accounts that have been unused for ten minutes.
    void drop_idle(time_point now);
    // Number of tracked accounts.
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }

private:
    // Decayed sums up to `last_sent`, in milliseconds of server time.
    struct account_use {
        double recent_ms = 0;
        double usual_ms = 0;
        // Sum of the squares of the single times, with the usual time constant.
        double usual_squares = 0;
        time_point last_sent{};
    };
    // Use in server milliseconds per millisecond, that is, in servers kept busy.
    struct use_rates {
        double recent = 0;
        double usual = 0;
        // What `recent` may exceed by chance in an account whose use is as usual.
        double chance = 0;
        [[nodiscard]] double limit() const { return usual_use_margin * usual + chance; }
    };

    [[nodiscard]] use_rates rates_of(const account_use& use, time_point now) const;
    // The part of a request sent now that counts as usual use, 0 to 1.
    [[nodiscard]] double learned_part(const account_use& use, time_point now) const;
    [[nodiscard]] bool is_over_share(const use_rates& rates) const {
        return rates.recent > m_fair_level && rates.recent > rates.limit();
    }
    [[nodiscard]] bool is_learning(time_point now) const { return now - m_recording_since < share_learning_time; }
    // The level at which the present total use divides among the accounts that want
    // capacity: those that want less get all of it, and the others equal parts of the rest.
    [[nodiscard]] double max_min_fair_level(time_point now) const;
    void evict_least_used(time_point now);

    std::unordered_map<std::uint64_t, account_use> m_accounts;
    time_point m_recording_since{};
    time_point m_last_sent{};
    // In servers kept busy.
    double m_fair_level = std::numeric_limits<double>::infinity();
    time_point m_fair_level_at{};
};

}  // namespace verbenahold::serving
