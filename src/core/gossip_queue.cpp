#include "gossip_queue.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace verbenahold {

namespace {

constexpr std::size_t max_updates_per_message = 6;
// The first sends of an update may use up the budget. Later ones, which only make
// its arrival more likely, leave a reserve for newer updates.
constexpr int urgent_transmissions = 3;
constexpr std::size_t max_strikes_per_message = 4;
// Gossip's part of a daemon's 2,000 bytes of control traffic a second. Owner
// summaries take 900, configuration and account limits the rest.
constexpr double budget_bytes_per_second = 800;
constexpr double budget_burst_bytes = 2'000;
// Incarnation, refutation, state, tags and lengths of one update.
constexpr std::size_t update_overhead_bytes = 22;
constexpr std::size_t strike_bytes = 18;
// Lets the loss of a third of 600 daemons fit into a few messages.
constexpr std::size_t max_accusations_per_message = 48;
constexpr std::size_t accusation_bytes = sizeof(std::uint32_t);

}  // namespace

std::size_t encoded_bytes(const member_update& update) {
    return update_overhead_bytes + update.daemon.host.value.size() + update.zone.value.size() +
           update.peer_endpoint.address.size() + update.caller_endpoint.address.size();
}

void gossip_queue::refill(time_point now) {
    if (!m_started) {
        m_started = true;
        m_refilled_at = now;
        m_budget_bytes = budget_burst_bytes;
    }
    const std::chrono::duration<double> passed = now - std::exchange(m_refilled_at, now);
    m_budget_bytes = std::min(budget_burst_bytes, m_budget_bytes + passed.count() * budget_bytes_per_second);
}

void gossip_queue::spend(std::size_t bytes) {
    m_budget_bytes = std::max(-budget_burst_bytes, m_budget_bytes - static_cast<double>(bytes));
}

bool gossip_queue::has_quarter_burst() const {
    return m_budget_bytes > budget_burst_bytes / 4;
}

bool gossip_queue::has_half_burst() const {
    return m_budget_bytes > budget_burst_bytes / 2;
}

bool gossip_queue::can_afford(std::size_t bytes) const {
    return m_budget_bytes >= static_cast<double>(bytes);
}

void gossip_queue::drop(const host_name& host) {
    std::erase_if(m_updates, [&](const pending_update& pending) { return pending.host == host; });
}

void gossip_queue::push(const host_name& host) {
    drop(host);
    m_updates.push_back({host, 0});
}

void gossip_queue::count_duplicate(const host_name& host) {
    for (pending_update& pending : m_updates) {
        pending.send_count += pending.host == host ? 1 : 0;
    }
}

void gossip_queue::clear_updates() {
    m_updates.clear();
}

void gossip_queue::set_strikes(std::span<const crash_strike> strikes) {
    std::vector<pending_strike> next;
    next.reserve(strikes.size());
    for (const crash_strike& strike : strikes) {
        const auto is_same = [&](const pending_strike& pending) {
            return pending.strike.fingerprint == strike.fingerprint && pending.strike.strikes == strike.strikes;
        };
        const auto old = std::ranges::find_if(m_strikes, is_same);
        next.push_back({strike, old == m_strikes.end() ? 0 : old->send_count});
    }
    m_strikes = std::move(next);
}

bool gossip_queue::try_append(gossip_payload& gossip, const member_update& update) {
    const auto is_same = [&](const member_update& other) { return other.daemon.host == update.daemon.host; };
    const std::size_t bytes = encoded_bytes(update);
    if (update.daemon.incarnation == 0 || gossip.updates.size() >= max_updates_per_message || !can_afford(bytes) ||
        std::ranges::any_of(gossip.updates, is_same)) {
        return false;
    }
    spend(bytes);
    gossip.updates.push_back(update);
    return true;
}

std::uint32_t accusation_hash(const daemon_id& daemon, std::uint32_t refutation, member_state state) {
    const std::uint64_t seed = daemon.incarnation ^ (static_cast<std::uint64_t>(refutation) << 8U);
    return static_cast<std::uint32_t>(hash_text(daemon.host.value, seed + static_cast<std::uint64_t>(state)));
}

bool gossip_queue::try_append_accusation(gossip_payload& gossip, const member_update& update) {
    if (gossip.accusations.size() >= max_accusations_per_message || !can_afford(accusation_bytes)) {
        return false;
    }
    spend(accusation_bytes);
    gossip.accusations.push_back(accusation_hash(update.daemon, update.refutation, update.state));
    return true;
}

void gossip_queue::append_required(gossip_payload& gossip, const member_update& update) {
    spend(encoded_bytes(update));
    gossip.updates.push_back(update);
}

void gossip_queue::append_queued(gossip_payload& gossip, int transmissions, const update_lookup& find_update) {
    std::ranges::stable_sort(m_updates, {}, &pending_update::send_count);
    for (pending_update& pending : m_updates) {
        const bool may_wait = pending.send_count >= urgent_transmissions && !has_quarter_burst();
        if (may_wait) {
            break;
        }
        const member_update update = find_update(pending.host);
        const bool accuses = update.state == member_state::suspect || update.state == member_state::dead;
        const bool known_here = update.daemon.incarnation != 0;
        const bool appended =
            known_here && accuses ? try_append_accusation(gossip, update) : try_append(gossip, update);
        pending.send_count += appended ? 1 : 0;
    }
    std::erase_if(m_updates, [&](const pending_update& pending) { return pending.send_count >= transmissions; });
    append_strikes(gossip, transmissions);
}

void gossip_queue::append_strikes(gossip_payload& gossip, int transmissions) {
    std::ranges::stable_sort(m_strikes, {}, &pending_strike::send_count);
    for (pending_strike& pending : m_strikes) {
        const bool full = gossip.strikes.size() >= max_strikes_per_message;
        if (full || pending.send_count >= transmissions || !can_afford(strike_bytes)) {
            return;
        }
        spend(strike_bytes);
        ++pending.send_count;
        gossip.strikes.push_back(pending.strike);
    }
}

}  // namespace verbenahold
