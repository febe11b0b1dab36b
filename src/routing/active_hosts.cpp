#include "active_hosts.hpp"

#include <xxhash.h>
#include <algorithm>

namespace verbenahold::serving {

namespace {

std::uint64_t hash_of(std::string_view name) {
    return XXH64(name.data(), name.size(), 0);
}

std::size_t min_hosts_in_zone(std::size_t zones) {
    const auto even_part = (min_active_hosts + zones - 1) / std::max<std::size_t>(1, zones);
    return std::max(min_active_hosts_per_zone, even_part);
}

}  // namespace

bool ranks_before(const host_candidate& left, const host_candidate& right) {
    if (left.cores != right.cores) {
        return left.cores > right.cores;
    }
    return hash_of(left.name) < hash_of(right.name);
}

void sort_by_rank(std::vector<host_candidate>& hosts) {
    std::sort(hosts.begin(), hosts.end(), ranks_before);
}

std::vector<std::string> choose_active_hosts(std::vector<host_candidate> alive, double requests_per_second,
                                             std::size_t zones) {
    sort_by_rank(alive);
    const auto min_hosts = min_hosts_in_zone(zones);
    std::vector<std::string> chosen;
    double carried = 0;
    for (auto& host : alive) {
        if (chosen.size() >= min_hosts && carried >= requests_per_second) {
            break;
        }
        carried += host.cores * planned_requests_per_core;
        chosen.push_back(std::move(host.name));
    }
    return chosen;
}

}  // namespace verbenahold::serving
