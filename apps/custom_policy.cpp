// Example: compares the placement policies without a running fleet. Three
// owners report their headroom, and each policy places the same 1,000 requests.
//
//     custom_policy
#include "placement.hpp"
#include "prefix_index.hpp"
#include "summary_table.hpp"

#include <iostream>
#include <map>

namespace {

using namespace verbenahold;
using std::chrono::milliseconds;

const service_name service("shade-llm");

owner_summary make_summary(int free_slots, duration wait) {
    headroom room;
    room.service = service;
    room.zone = zone_name("a");
    room.servers = 2;
    room.free_slots = static_cast<std::uint16_t>(free_slots);
    room.in_flight = static_cast<std::uint16_t>(32 - free_slots);
    room.free_short_tokens = std::int64_t{4'000} * free_slots;
    room.largest_free_kv_tokens = 100'000;
    room.short_wait = wait;
    room.long_wait = wait;
    return {1, {room}};
}

void place_requests(placement_policy policy) {
    summary_table summaries;
    const prefix_index prefixes;
    summaries.on_summary({host_name("idle"), 1}, make_summary(30, milliseconds(0)), time_point{});
    summaries.on_summary({host_name("busy"), 1}, make_summary(8, milliseconds(200)), time_point{});
    summaries.on_summary({host_name("full"), 1}, make_summary(0, milliseconds(2'000)), time_point{});
    placement chooser(1);
    placement_query query;
    query.service = service;
    query.uncached_tokens = 1'000;
    query.total_tokens = 1'200;
    query.own_zone = zone_name("a");
    query.time_left = std::chrono::seconds(10);
    std::map<std::string, int> placed;
    constexpr int requests = 1'000;
    for (int i = 0; i < requests; ++i) {
        const auto choice = chooser.choose(policy, query, summaries, prefixes);
        placed[choice ? choice->owner.host.value : "nobody"] += 1;
    }
    std::cout << to_string(policy) << ":";
    for (const auto& [owner, number] : placed) {
        std::cout << " " << owner << "=" << number;
    }
    std::cout << "\n";
}

}  // namespace

int main() {
    for (const auto policy : {placement_policy::headroom, placement_policy::least_outstanding,
                              placement_policy::round_robin, placement_policy::random}) {
        place_requests(policy);
    }
    return 0;
}
