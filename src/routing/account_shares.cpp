#include "account_shares.hpp"

#include "duration_units.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace verbenahold::serving {

namespace {

double decay(duration elapsed, duration time_constant) {
    return std::exp(-to_ms(std::max(elapsed, duration::zero())) / to_ms(time_constant));
}

// Time that a decayed sum covers when it has been recorded for `recorded`, in milliseconds.
double covered_ms(duration recorded, duration time_constant) {
    return to_ms(time_constant) * (1 - decay(recorded, time_constant));
}

}  // namespace

std::uint64_t account_hash(std::string_view name) {
    if (name.empty()) {
        return 0;
    }
    // 0 stands for no account.
    return std::max<std::uint64_t>(1, XXH64(name.data(), name.size(), 0));
}

bool account_shares::on_sent(std::uint64_t account, double server_ms, time_point now) {
    if (!std::isfinite(server_ms) || server_ms < 0 || server_ms > max_server_ms) {
        return false;
    }
    if (account == 0 || server_ms == 0) {
        return true;
    }
    // A daemon that stood by has not heard of the use meanwhile. What it knows from before
    // would make all accounts seem to have grown.
    if (m_accounts.empty() || now - m_last_sent > usual_use_time) {
        m_accounts.clear();
        m_recording_since = now;
        m_fair_level = std::numeric_limits<double>::infinity();
    }
    m_last_sent = now;
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end() && m_accounts.size() >= max_tracked_accounts) {
        evict_least_used(now);
    }
    auto& use = m_accounts[account];
    const double usual_decay = decay(now - use.last_sent, usual_use_time);
    const double learned = learned_part(use, now);
    use.recent_ms = use.recent_ms * decay(now - use.last_sent, recent_use_time) + server_ms;
    use.usual_ms = use.usual_ms * usual_decay + learned * server_ms;
    use.usual_squares = use.usual_squares * usual_decay + learned * server_ms * server_ms;
    use.last_sent = now;
    if (!is_learning(now) && now - m_fair_level_at >= fair_level_period) {
        m_fair_level = max_min_fair_level(now);
        m_fair_level_at = now;
    }
    return true;
}

bool account_shares::is_over_share(std::uint64_t account, time_point now) const {
    const auto found = m_accounts.find(account);
    return found != m_accounts.end() && !is_learning(now) && is_over_share(rates_of(found->second, now));
}

double account_shares::learned_part(const account_use& use, time_point now) const {
    if (is_learning(now)) {
        return 1;
    }
    const auto rates = rates_of(use, now);
    return is_over_share(rates) ? std::clamp(usual_use_margin * rates.usual / rates.recent, min_learned_part, 1.0) : 1;
}

void account_shares::drop_idle(time_point now) {
    std::erase_if(m_accounts, [&](const auto& entry) { return now - entry.second.last_sent > idle_account_retention; });
}

account_shares::use_rates account_shares::rates_of(const account_use& use, time_point now) const {
    const auto recorded = std::max(now - m_recording_since, share_learning_time);
    const auto unused = now - use.last_sent;
    const double usual_decay = decay(unused, usual_use_time);
    const double usual_covered_ms = covered_ms(recorded, usual_use_time);
    const double squares_per_ms = use.usual_squares * usual_decay / usual_covered_ms;
    use_rates rates;
    rates.recent = use.recent_ms * decay(unused, recent_use_time) / covered_ms(recorded, recent_use_time);
    rates.usual = use.usual_ms * usual_decay / usual_covered_ms;
    // The variance of an exponentially decayed sum of independent arrivals is half of their
    // squares per time constant.
    const double deviation = std::sqrt(squares_per_ms / (2 * to_ms(recent_use_time)));
    const double one_request = use.usual_ms > 0 ? use.usual_squares / use.usual_ms / to_ms(recent_use_time) : 0;
    rates.chance = max_chance_deviations * deviation + one_request;
    return rates;
}

double account_shares::max_min_fair_level(time_point now) const {
    double remaining = 0;
    std::vector<double> demands;
    for (const auto& [account, use] : m_accounts) {
        if (now - use.last_sent <= demand_time) {
            const auto rates = rates_of(use, now);
            remaining += rates.recent;
            demands.push_back(usual_use_margin * std::max(rates.recent, rates.usual));
        }
    }
    if (demands.size() < 2) {
        return std::numeric_limits<double>::infinity();
    }
    std::sort(demands.begin(), demands.end());
    double level = 0;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        level = remaining / static_cast<double>(demands.size() - index);
        if (demands[index] > level) {
            break;
        }
        remaining -= demands[index];
    }
    return level;
}

void account_shares::evict_least_used(time_point now) {
    const auto usual_ms = [&](const auto& entry) {
        return entry.second.usual_ms * decay(now - entry.second.last_sent, usual_use_time);
    };
    m_accounts.erase(std::min_element(m_accounts.begin(), m_accounts.end(), [&](const auto& left, const auto& right) {
        return usual_ms(left) < usual_ms(right);
    }));
}

}  // namespace verbenahold::serving
