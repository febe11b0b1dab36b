#include "crashing_request_guard.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace verbenahold::serving {

std::uint64_t request_fingerprint(std::string_view account, std::string_view target, std::string_view body) {
    std::string head(account);
    head.append("\n").append(target);
    return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
}

void crashing_request_guard::evict_if_full(time_point now) {
    if (m_deaths.size() < max_fingerprints) {
        return;
    }
    std::erase_if(m_deaths, [&](const auto& entry) { return now - entry.second.last > death_retention; });
    if (m_deaths.size() >= max_fingerprints) {
        m_deaths.erase(m_deaths.begin());
    }
}

void crashing_request_guard::on_server_death(std::uint64_t fingerprint, time_point now) {
    evict_if_full(now);
    auto& counts = m_deaths[fingerprint];
    ++counts.deaths;
    counts.last = now;
}

void crashing_request_guard::on_reported_deaths(std::uint64_t fingerprint, int deaths, time_point now) {
    evict_if_full(now);
    auto& counts = m_deaths[fingerprint];
    counts.deaths = std::max(counts.deaths, deaths);
    counts.last = now;
}

int crashing_request_guard::deaths(std::uint64_t fingerprint, time_point now) const {
    const auto found = m_deaths.find(fingerprint);
    if (found == m_deaths.end() || now - found->second.last > death_retention) {
        return 0;
    }
    return found->second.deaths;
}

}  // namespace verbenahold::serving
