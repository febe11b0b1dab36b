#include "crash_attribution.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace verbenahold::serving {

namespace {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) {
    return XXH64(text.data(), text.size(), seed);
}

std::vector<request_trait> sorted(std::span<const request_trait> traits) {
    std::vector<request_trait> result(traits.begin(), traits.end());
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

// Both are sorted; `some` are mostly few.
bool contains(std::span<const request_trait> all, std::span<const request_trait> some) {
    return some.size() <= all.size() && std::all_of(some.begin(), some.end(), [&](request_trait trait) {
               return std::binary_search(all.begin(), all.end(), trait);
           });
}

// Number of times, where those within the coincidence window of an earlier one count
// as one with it.
int count_occasions(std::vector<time_point> times) {
    std::sort(times.begin(), times.end());
    int occasions = 0;
    time_point window_end = time_point::min();
    for (const auto at : times) {
        if (at >= window_end) {
            ++occasions;
            window_end = at + coincidence_window;
        }
    }
    return occasions;
}

}  // namespace

request_trait trait_of_request(std::string_view account, std::string_view target, std::string_view body) {
    std::string head(account);
    head.append("\n").append(target);
    return hash_of(body, hash_of(head, 0));
}

request_trait trait_of_part(std::string_view service, std::string_view part) {
    return hash_of(part, hash_of(service, 1));
}

std::uint64_t make_server_run(std::string_view server, std::int64_t started_at_unix_ms) {
    return hash_of(server, static_cast<std::uint64_t>(started_at_unix_ms));
}

bool crash_attribution::was_sound_after(request_trait trait, time_point at) const {
    const auto is_later = [&](const sound_times& times) {
        const auto found = times.find(trait);
        return found != times.end() && found->second > at;
    };
    return is_later(m_sound_at) || is_later(m_older_sound_at);
}

void crash_attribution::remember_sound(request_trait trait, time_point began, time_point now) {
    if (now - m_generation_began > sound_retention || m_sound_at.size() >= max_sound_traits) {
        m_older_sound_at = std::exchange(m_sound_at, {});
        m_generation_began = now;
    }
    auto& at = m_sound_at.try_emplace(trait, began).first->second;
    at = std::max(at, began);
}

crash_attribution::trait_set crash_attribution::on_crash(const crash_observation& seen, time_point now) {
    drop_expired(now);
    trait_set suspects = sorted(seen.traits);
    block_again(suspects, seen.at, now);
    std::erase_if(suspects, [&](request_trait trait) { return was_sound_after(trait, seen.at); });
    auto added = m_suspects.add(seen.server_run, seen.at, suspects);
    if (!added.empty()) {
        attribute(now);
    }
    return added;
}

crash_attribution::trait_set crash_attribution::on_sound_request(std::span<const request_trait> traits,
                                                                 time_point began, time_point now) {
    const auto all = sorted(traits);
    const auto cleared = m_suspects.clear(all, began);
    trait_set news = cleared;
    for (auto& [blocked, state] : m_blocks) {
        const bool is_in_question =
            state.on_probation ? !state.cleared : state.is_active(now) && state.expires - block_time < began;
        if (is_in_question && contains(all, blocked)) {
            state.cleared = true;
            state.on_probation = false;
            news.insert(news.end(), blocked.begin(), blocked.end());
        }
    }
    for (const auto trait : all) {
        remember_sound(trait, began, now);
    }
    if (!news.empty()) {
        // Fewer suspects may tell the others apart.
        attribute(now);
    }
    return sorted(news);
}

bool crash_attribution::is_implied(std::span<const request_trait> traits, time_point now) const {
    return std::any_of(m_blocks.begin(), m_blocks.end(),
                       [&](const auto& entry) { return entry.second.is_active(now) && contains(traits, entry.first); });
}

std::vector<std::pair<request_trait, crash_set>> crash_attribution::list_unexplained(time_point now) const {
    auto repeated = m_suspects.list_repeated();
    if (repeated.empty()) {
        return repeated;
    }
    for (const auto& [blocked, state] : m_blocks) {
        const auto explained = state.is_active(now) ? m_suspects.crashes_of_all(blocked) : crash_set();
        if (explained.empty()) {
            continue;
        }
        for (auto& [trait, crashes] : repeated) {
            if (!std::binary_search(blocked.begin(), blocked.end(), trait)) {
                crashes -= explained;
            }
        }
    }
    std::erase_if(repeated, [](const auto& entry) { return entry.second.size() < suspect_index::repeated_crashes; });
    return repeated;
}

crash_attribution::trait_set crash_attribution::find_culprit(time_point now) const {
    const auto unexplained = list_unexplained(now);
    trait_set culprit;
    std::size_t most = 0;
    std::set<crash_set> seen;
    for (const auto& [trait, crashes] : unexplained) {
        if (crashes.size() <= most || !seen.insert(crashes).second ||
            count_occasions(m_suspects.times_of(crashes)) < crashes_to_block) {
            continue;
        }
        // Traits of the same crashes can't be told apart, so that only requests with
        // all of them are blocked.
        trait_set together;
        for (const auto& [other, others_crashes] : unexplained) {
            if (others_crashes == crashes) {
                together.push_back(other);
            }
        }
        if (!is_implied(together, now)) {
            most = crashes.size();
            culprit = std::move(together);
        }
    }
    return culprit;
}

void crash_attribution::attribute(time_point now) {
    for (auto culprit = find_culprit(now); !culprit.empty(); culprit = find_culprit(now)) {
        block(culprit, now);
    }
}

void crash_attribution::block(const trait_set& traits, time_point now) {
    auto& state = m_blocks[traits];
    state = {state.round + 1, false, now + block_time, false};
    m_new_blocks.push_back({traits, state.round, false, state.expires});
}

void crash_attribution::block_again(std::span<const request_trait> lost, time_point at, time_point now) {
    std::vector<trait_set> relapsed;
    for (const auto& [traits, state] : m_blocks) {
        if (!state.cleared && state.expires <= at && contains(lost, traits)) {
            relapsed.push_back(traits);
        }
    }
    for (const auto& traits : relapsed) {
        block(traits, now);
    }
}

void crash_attribution::on_reported_block(const trait_block& reported, time_point now) {
    const auto traits = sorted(reported.traits);
    if (traits.empty()) {
        return;
    }
    drop_expired(now);
    auto& state = m_blocks[traits];
    const auto expires = std::min(reported.expires, now + block_time);
    const auto own_word = std::pair(state.round, state.cleared);
    const auto their_word = std::pair(reported.round, reported.cleared);
    if (own_word < their_word) {
        state = {reported.round, reported.cleared, expires, false};
        if (reported.cleared) {
            on_sound_request(traits, expires - block_time, now);
        } else {
            m_new_blocks.push_back({traits, state.round, false, expires});
        }
    } else if (own_word == their_word && state.on_probation) {
        // Another daemon has known the block all the time.
        state = {reported.round, reported.cleared, expires, false};
        m_new_blocks.push_back({traits, state.round, false, expires});
    } else if (own_word == their_word) {
        // Transit makes a reported time later than it is.
        state.expires = std::min(state.expires, expires);
    }
}

void crash_attribution::restore_block(const trait_block& left, time_point now) {
    const auto traits = sorted(left.traits);
    if (traits.empty() || left.round == 0) {
        return;
    }
    drop_expired(now);
    const auto expires = std::min(left.expires, now + block_time);
    if (now - expires > relapse_time) {
        return;
    }
    auto& state = m_blocks[traits];
    if (std::pair(state.round, state.cleared) >= std::pair(left.round, left.cleared)) {
        return;
    }
    const bool holds = left.cleared || left.round >= first_confirmed_round;
    state = {left.round, left.cleared, holds ? expires : std::min(expires, now), !holds};
    if (state.is_active(now)) {
        m_new_blocks.push_back({traits, state.round, false, expires});
    }
}

std::vector<trait_block> crash_attribution::list_blocks_to_keep(time_point now) const {
    std::vector<trait_block> blocks;
    for (const auto& [traits, state] : m_blocks) {
        if (!is_implied_by_wider(traits, state, now)) {
            blocks.push_back({traits, state.round, state.cleared, state.expires});
        }
    }
    return blocks;
}

bool crash_attribution::is_blocked(std::span<const request_trait> traits, time_point now) const {
    if (m_blocks.empty()) {
        return false;
    }
    return std::is_sorted(traits.begin(), traits.end()) ? is_implied(traits, now) : is_implied(sorted(traits), now);
}

std::vector<trait_block> crash_attribution::take_new_blocks() {
    return std::exchange(m_new_blocks, {});
}

std::size_t crash_attribution::count_active_blocks(time_point now) const {
    return static_cast<std::size_t>(std::count_if(m_blocks.begin(), m_blocks.end(),
                                                  [&](const auto& entry) { return entry.second.is_active(now); }));
}

std::vector<trait_block> crash_attribution::list_blocks(time_point now) const {
    std::vector<trait_block> blocks;
    for (const auto& [traits, state] : m_blocks) {
        if (state.expires > now && !is_implied_by_wider(traits, state, now)) {
            blocks.push_back({traits, state.round, state.cleared, state.expires});
        }
    }
    return blocks;
}

// Says nothing that the wider block, of fewer traits, doesn't say for as long.
bool crash_attribution::is_implied_by_wider(const trait_set& traits, const block_state& own, time_point now) const {
    return !own.cleared && std::any_of(m_blocks.begin(), m_blocks.end(), [&](const auto& entry) {
        const auto& [other, state] = entry;
        return other.size() < traits.size() && state.is_active(now) && state.expires >= own.expires &&
               contains(traits, other);
    });
}

std::vector<crash_observation> crash_attribution::list_recent_crashes(time_point now) const {
    std::vector<crash_observation> crashes;
    for (auto& known : m_suspects.list_since(now - crash_announcement_time)) {
        crashes.push_back({known.server_run, known.at, std::move(known.suspects)});
    }
    return crashes;
}

void crash_attribution::drop_expired(time_point now) {
    m_suspects.forget_before(now - crash_retention);
    std::erase_if(m_blocks, [&](const auto& entry) { return now - entry.second.expires > relapse_time; });
    if (m_blocks.size() >= max_blocks) {
        m_blocks.erase(std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto& left, const auto& right) {
            return left.second.expires < right.second.expires;
        }));
    }
}

}  // namespace verbenahold::serving
