#include "admission_queue.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// A queue that stands longer than this is one that the servers don't work off.
constexpr duration standing_queue_time = std::chrono::milliseconds(100);
// Placements from which the rate is taken, and their greatest age.
constexpr std::size_t rate_samples = 64;
constexpr std::size_t min_rate_samples = 4;
constexpr duration max_sample_age = std::chrono::seconds(2);

template <class Ranks, class Key>
void erase_from(Ranks& ranks, const typename Ranks::key_type& rank, const Key& key) {
    const auto found = ranks.find(rank);
    if (found != ranks.end() && found->second.erase(key) > 0 && found->second.empty()) {
        ranks.erase(found);
    }
}

// Appends requests in order until there are `count`.
template <class Ranks, class Id>
void append_in_order(const Ranks& ranks, bool newest_first, std::size_t count, std::vector<Id>& ids) {
    const auto append = [&](const auto& entry) { ids.push_back(entry.second); };
    for (const auto& [rank, entries] : ranks) {
        const auto missing = static_cast<std::ptrdiff_t>(std::min(count - ids.size(), entries.size()));
        if (newest_first) {
            std::for_each(entries.rbegin(), std::next(entries.rbegin(), missing), append);
        } else {
            std::for_each(entries.begin(), std::next(entries.begin(), missing), append);
        }
    }
}

}  // namespace

bool admission_queue::add(request_id id, const waiting_request& request, time_point now) {
    auto& lane = state(request.lane);
    if (lane.waiting >= max_waiting_in_lane) {
        return false;
    }
    if (!m_requests.emplace(id, request).second) {
        return true;
    }
    if (lane.waiting++ == 0) {
        lane.waiting_since = now;
    }
    lane.timely[rank_of(request)].emplace(request.arrived, id);
    lane.timely_until.emplace(request.timely_until, id);
    return true;
}

void admission_queue::remove(request_id id, bool placed, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const auto request = found->second;
    auto& lane = state(request.lane);
    --lane.waiting;
    if (placed) {
        lane.placed.push_back(now);
        if (lane.placed.size() > rate_samples) {
            lane.placed.pop_front();
        }
    }
    auto& ranks = lane.timely_until.erase({request.timely_until, id}) > 0 ? lane.timely : lane.late;
    erase_from(ranks, rank_of(request), std::pair(request.arrived, id));
    m_requests.erase(found);
}

std::size_t admission_queue::size(admission_lane lane) const {
    return state(lane).waiting;
}

bool admission_queue::newest_first(admission_lane lane, const lane_state& state, time_point now) {
    return lane == admission_lane::interactive && state.waiting > 0 && now - state.waiting_since > standing_queue_time;
}

void admission_queue::update_late(lane_state& lane, time_point now) {
    while (!lane.timely_until.empty() && lane.timely_until.begin()->first < now) {
        const auto id = lane.timely_until.begin()->second;
        const auto& request = m_requests.at(id);
        const std::pair key(request.arrived, id);
        erase_from(lane.timely, rank_of(request), key);
        lane.late[rank_of(request)].insert(key);
        lane.timely_until.erase(lane.timely_until.begin());
    }
}

bool admission_queue::goes_first(const waiting_request& arriving, time_point now) {
    auto& lane = state(arriving.lane);
    update_late(lane, now);
    const bool is_late = now > arriving.timely_until;
    if (is_late && !lane.timely.empty()) {
        return false;
    }
    const auto& ranks = is_late ? lane.late : lane.timely;
    if (ranks.empty()) {
        return true;
    }
    const auto own_rank = rank_of(arriving);
    const auto& [first_rank, first] = *ranks.begin();
    if (first_rank != own_rank) {
        return own_rank < first_rank;
    }
    const bool reversed = !is_late && newest_first(arriving.lane, lane, now);
    return reversed ? arriving.arrived >= first.rbegin()->first : arriving.arrived <= first.begin()->first;
}

std::vector<admission_queue::request_id> admission_queue::next(admission_lane lane, std::size_t count, time_point now) {
    auto& waiting = state(lane);
    update_late(waiting, now);
    std::vector<request_id> ids;
    append_in_order(waiting.timely, newest_first(lane, waiting, now), count, ids);
    append_in_order(waiting.late, false, count, ids);
    return ids;
}

std::optional<duration> admission_queue::predicted_wait(admission_lane lane, time_point now) const {
    const auto& placed = state(lane).placed;
    const auto first =
        std::find_if(placed.begin(), placed.end(), [&](time_point at) { return now - at <= max_sample_age; });
    const auto samples = static_cast<std::size_t>(placed.end() - first);
    if (samples < min_rate_samples) {
        return std::nullopt;
    }
    const double per_ms = static_cast<double>(samples) / std::max(1.0, to_ms(now - *first));
    return from_ms(static_cast<double>(size(lane) + 1) / per_ms);
}

}  // namespace verbenahold::serving
