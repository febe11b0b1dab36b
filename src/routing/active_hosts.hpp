// Chooses the hosts of an availability zone that callers are sent to, the active
// hosts. Answers a load that a small part of many hosts carries: placements are
// good where hosts know each other's work, and the cost of that knowledge grows
// with the product of requests and hosts that share it. The other hosts stand by:
// they serve whoever calls them and take over when active hosts fail.
#pragma once

#include "verbenahold/types.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenahold::serving {

struct host_candidate {
    std::string name;
    // Processor cores that the host has, a fraction for a share of one.
    double cores = 0;
};

// Active hosts in all zones together, where that many exist, so that the loss of
// some hosts takes a small part of the callers.
inline constexpr std::size_t min_active_hosts = 12;
// Active hosts in each zone, where that many exist: the loss of two leaves one.
inline constexpr std::size_t min_active_hosts_per_zone = 3;
// Requests per second that one core is planned to carry. A request costs about two
// milliseconds of processor time; the rest is kept for bursts and lost hosts.
inline constexpr double planned_requests_per_core = 200;

// Whether `left` is chosen before `right`: by cores, then by a hash of the name that
// all daemons compute alike.
bool ranks_before(const host_candidate& left, const host_candidate& right);

// Sorts by rank.
void sort_by_rank(std::vector<host_candidate>& hosts);

// The fewest hosts of a zone in order of rank that carry `requests_per_second`, and
// at least the minima above. `zones` is the number of zones that have hosts.
std::vector<std::string> choose_active_hosts(std::vector<host_candidate> alive, double requests_per_second,
                                             std::size_t zones);

}  // namespace verbenahold::serving
