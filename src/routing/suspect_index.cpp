#include "suspect_index.hpp"

#include <algorithm>

namespace verbenahold::serving {

std::optional<std::size_t> suspect_index::oldest_place() const {
    std::optional<std::size_t> oldest;
    for (std::size_t place = 0; place < m_crashes.size(); ++place) {
        if (m_crashes[place] && (!oldest || m_crashes[place]->at < m_crashes[*oldest]->at)) {
            oldest = place;
        }
    }
    return oldest;
}

std::size_t suspect_index::place_of(std::uint64_t server_run, time_point at) {
    std::optional<std::size_t> free;
    for (std::size_t place = 0; place < m_crashes.size(); ++place) {
        auto& known = m_crashes[place];
        if (known && known->server_run == server_run) {
            known->at = std::min(known->at, at);
            return place;
        }
        if (!known) {
            free = free.value_or(place);
        }
    }
    if (!free) {
        free = oldest_place();
        forget(*free);
    }
    m_crashes[*free] = crash{server_run, at, {}, 0};
    return *free;
}

std::vector<request_trait> suspect_index::add(std::uint64_t server_run, time_point at,
                                              std::span<const request_trait> traits) {
    std::vector<request_trait> added;
    if (traits.empty()) {
        return added;
    }
    const auto place = place_of(server_run, at);
    auto& known = *m_crashes[place];
    for (const auto trait : traits) {
        auto& crashes = m_crashes_of[trait];
        if (crashes.contains(place)) {
            continue;
        }
        crashes.insert(place);
        added.push_back(trait);
        if (crashes.size() == repeated_crashes) {
            m_repeated.insert(trait);
        }
    }
    known.traits.insert(known.traits.end(), added.begin(), added.end());
    known.suspects += added.size();
    for (auto oldest = oldest_place(); m_crashes_of.size() > max_suspects && oldest != place; oldest = oldest_place()) {
        forget(*oldest);
    }
    return added;
}

void suspect_index::erase_suspicion(request_trait trait, std::size_t place) {
    const auto found = m_crashes_of.find(trait);
    if (found == m_crashes_of.end() || !found->second.contains(place)) {
        return;
    }
    found->second.erase(place);
    if (found->second.size() < repeated_crashes) {
        m_repeated.erase(trait);
    }
    if (found->second.empty()) {
        m_crashes_of.erase(found);
    }
}

void suspect_index::forget(std::size_t place) {
    const auto forgotten = std::exchange(m_crashes[place], std::nullopt);
    for (const auto trait : forgotten->traits) {
        erase_suspicion(trait, place);
    }
}

std::vector<request_trait> suspect_index::clear(std::span<const request_trait> traits, time_point began) {
    std::vector<request_trait> cleared;
    for (const auto trait : traits) {
        const auto found = m_crashes_of.find(trait);
        if (found == m_crashes_of.end()) {
            continue;
        }
        const auto suspected_of = found->second;
        bool is_cleared = false;
        for (std::size_t place = 0; place < m_crashes.size(); ++place) {
            auto& known = m_crashes[place];
            if (!known || known->at >= began || !suspected_of.contains(place)) {
                continue;
            }
            erase_suspicion(trait, place);
            is_cleared = true;
            if (--known->suspects == 0) {
                known.reset();
            }
        }
        if (is_cleared) {
            cleared.push_back(trait);
        }
    }
    return cleared;
}

void suspect_index::forget_before(time_point oldest) {
    for (std::size_t place = 0; place < m_crashes.size(); ++place) {
        if (m_crashes[place] && m_crashes[place]->at < oldest) {
            forget(place);
        }
    }
}

crash_set suspect_index::crashes_of_all(std::span<const request_trait> traits) const {
    std::optional<crash_set> common;
    for (const auto trait : traits) {
        const auto found = m_crashes_of.find(trait);
        if (found == m_crashes_of.end()) {
            return {};
        }
        if (common) {
            *common &= found->second;
        } else {
            common = found->second;
        }
    }
    return common.value_or(crash_set());
}

std::vector<std::pair<request_trait, crash_set>> suspect_index::list_repeated() const {
    std::vector<std::pair<request_trait, crash_set>> repeated;
    repeated.reserve(m_repeated.size());
    for (const auto trait : m_repeated) {
        repeated.emplace_back(trait, m_crashes_of.at(trait));
    }
    std::sort(repeated.begin(), repeated.end());
    return repeated;
}

std::vector<time_point> suspect_index::times_of(const crash_set& crashes) const {
    std::vector<time_point> times;
    for (std::size_t place = 0; place < m_crashes.size(); ++place) {
        if (crashes.contains(place) && m_crashes[place]) {
            times.push_back(m_crashes[place]->at);
        }
    }
    return times;
}

std::vector<suspect_index::known_crash> suspect_index::list_since(time_point oldest) const {
    std::vector<known_crash> listed;
    for (std::size_t place = 0; place < m_crashes.size(); ++place) {
        const auto& known = m_crashes[place];
        if (!known || known->at < oldest) {
            continue;
        }
        known_crash copy{known->server_run, known->at, {}};
        std::copy_if(known->traits.begin(), known->traits.end(), std::back_inserter(copy.suspects),
                     [&](request_trait trait) {
                         const auto found = m_crashes_of.find(trait);
                         return found != m_crashes_of.end() && found->second.contains(place);
                     });
        std::sort(copy.suspects.begin(), copy.suspects.end());
        copy.suspects.erase(std::unique(copy.suspects.begin(), copy.suspects.end()), copy.suspects.end());
        listed.push_back(std::move(copy));
    }
    std::sort(listed.begin(), listed.end(), [](const auto& left, const auto& right) { return left.at > right.at; });
    return listed;
}

}  // namespace verbenahold::serving
