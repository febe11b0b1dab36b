#include "crash_attribution.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
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

bool contains(std::span<const request_trait> all, std::span<const request_trait> some) {
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
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

bool crash_attribution::on_crash(const crash_observation& seen, time_point now) {
    drop_expired(now);
    trait_set added = sorted(seen.traits);
    block_again(added, seen.at, now);
    std::erase_if(added, [&](request_trait trait) { return was_sound_after(trait, seen.at); });
    if (added.empty()) {
        return false;
    }
    auto& known = m_crashes[seen.server_run];
    known.at = known.suspects.empty() ? seen.at : std::min(known.at, seen.at);
    if (contains(known.suspects, added)) {
        return false;
    }
    trait_set merged;
    std::set_union(known.suspects.begin(), known.suspects.end(), added.begin(), added.end(),
                   std::back_inserter(merged));
    merged.resize(std::min(merged.size(), max_traits_per_crash));
    known.suspects = std::move(merged);
    attribute(now);
    return true;
}

bool crash_attribution::on_sound_request(std::span<const request_trait> traits, time_point began, time_point now) {
    bool is_news = false;
    for (auto& [run, found] : m_crashes) {
        if (found.at < began) {
            is_news |= std::erase_if(found.suspects, [&](request_trait trait) {
                           return std::find(traits.begin(), traits.end(), trait) != traits.end();
                       }) > 0;
        }
    }
    const auto all = sorted(traits);
    for (auto& [blocked, state] : m_blocks) {
        if (state.is_active(now) && state.expires - block_time < began && contains(all, blocked)) {
            state.cleared = true;
            is_news = true;
        }
    }
    for (const auto trait : traits) {
        remember_sound(trait, began, now);
    }
    if (is_news) {
        std::erase_if(m_crashes, [](const auto& entry) { return entry.second.suspects.empty(); });
        // Fewer suspects may tell the others apart.
        attribute(now);
    }
    return is_news;
}

bool crash_attribution::is_explained_without(request_trait trait, const crash& found, time_point now) const {
    return std::any_of(m_blocks.begin(), m_blocks.end(), [&](const auto& entry) {
        const auto& [blocked, state] = entry;
        return state.is_active(now) && contains(found.suspects, blocked) &&
               !std::binary_search(blocked.begin(), blocked.end(), trait);
    });
}

bool crash_attribution::is_implied(const trait_set& traits, time_point now) const {
    return std::any_of(m_blocks.begin(), m_blocks.end(),
                       [&](const auto& entry) { return entry.second.is_active(now) && contains(traits, entry.first); });
}

crash_attribution::trait_set crash_attribution::find_culprit(time_point now) const {
    std::map<request_trait, std::vector<time_point>> crashes_of;
    for (const auto& [run, found] : m_crashes) {
        for (const auto trait : found.suspects) {
            if (!is_explained_without(trait, found, now)) {
                crashes_of[trait].push_back(found.at);
            }
        }
    }
    trait_set culprit;
    std::size_t most = 0;
    for (const auto& [trait, times] : crashes_of) {
        if (times.size() <= most || count_occasions(times) < crashes_to_block) {
            continue;
        }
        // Traits of the same crashes can't be told apart, so that only requests with
        // all of them are blocked.
        trait_set together;
        for (const auto& [other, others_times] : crashes_of) {
            if (others_times == times) {
                together.push_back(other);
            }
        }
        if (!is_implied(together, now)) {
            most = times.size();
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
    state = {state.round + 1, false, now + block_time};
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
        state = {reported.round, reported.cleared, expires};
        if (reported.cleared) {
            on_sound_request(traits, expires - block_time, now);
        } else {
            m_new_blocks.push_back({traits, state.round, false, expires});
        }
    } else if (own_word == their_word) {
        // Transit makes a reported time later than it is.
        state.expires = std::min(state.expires, expires);
    }
}

bool crash_attribution::is_blocked(std::span<const request_trait> traits, time_point now) const {
    return !m_blocks.empty() && is_implied(sorted(traits), now);
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
        if (state.expires > now) {
            blocks.push_back({traits, state.round, state.cleared, state.expires});
        }
    }
    return blocks;
}

std::vector<crash_observation> crash_attribution::list_recent_crashes(time_point now) const {
    std::vector<crash_observation> crashes;
    for (const auto& [run, found] : m_crashes) {
        if (now - found.at < crash_announcement_time) {
            crashes.push_back({run, found.at, found.suspects});
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at > right.at; });
    return crashes;
}

void crash_attribution::drop_expired(time_point now) {
    std::erase_if(m_crashes, [&](const auto& entry) { return now - entry.second.at > crash_retention; });
    if (m_crashes.size() >= max_crashes) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) {
            return left.second.at < right.second.at;
        }));
    }
    std::erase_if(m_blocks, [&](const auto& entry) { return now - entry.second.expires > relapse_time; });
    if (m_blocks.size() >= max_blocks) {
        m_blocks.erase(std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto& left, const auto& right) {
            return left.second.expires < right.second.expires;
        }));
    }
}

}  // namespace verbenahold::serving
