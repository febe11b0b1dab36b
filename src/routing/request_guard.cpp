#include "request_guard.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace verbenahold::serving {

std::uint64_t request_fingerprint(std::string_view account, std::string_view target, std::string_view body) {
    std::string head(account);
    head.append("\n").append(target);
    return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
}

void request_guard::make_room(time_point now) {
    if (m_deaths.size() < most_fingerprints) {
        return;
    }
    std::erase_if(m_deaths, [&](const auto& entry) { return now - entry.second.last > death_memory; });
    if (m_deaths.size() >= most_fingerprints) {
        m_deaths.erase(m_deaths.begin());
    }
}

void request_guard::on_server_death(std::uint64_t fingerprint, time_point now) {
    make_room(now);
    auto& counts = m_deaths[fingerprint];
    ++counts.deaths;
    counts.last = now;
}

void request_guard::on_heard(std::uint64_t fingerprint, int deaths, time_point now) {
    make_room(now);
    auto& counts = m_deaths[fingerprint];
    counts.deaths = std::max(counts.deaths, deaths);
    counts.last = now;
}

int request_guard::deaths(std::uint64_t fingerprint, time_point now) const {
    const auto found = m_deaths.find(fingerprint);
    if (found == m_deaths.end() || now - found->second.last > death_memory) {
        return 0;
    }
    return found->second.deaths;
}

}  // namespace verbenahold::serving
