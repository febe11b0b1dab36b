// Cost of an ownership update at the planned size of 620 daemons and 11,000 servers:
// one member change must take less than 1 ms of processor time.
#include "member_group.hpp"
#include "ownership.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

#include <time.h>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemon_count = 620;
constexpr std::size_t server_count = 11'000;
constexpr std::size_t zone_count = 9;
constexpr double max_update_ms = 1;

// Processor time of this thread. Wall-clock time would include waiting for a core
// while other processes use the machine.
double thread_cpu_ms() {
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e3 + static_cast<double>(spent.tv_nsec) / 1e6;
}

zone_name zone_of(std::size_t number) {
    return zone_name("zone-" + std::to_string(number % zone_count));
}

}  // namespace

TEST_CASE("one member change at 620 daemons and 11,000 servers takes under 1 ms") {
    constexpr time_point now{1s};
    entry_settings own = settings_for(0, 1, 1);
    own.zone = zone_of(0);
    membership members(own, 1);
    std::vector<host_entry> hosts;
    for (std::size_t number = 1; number < daemon_count; ++number) {
        hosts.push_back(host_entry_for(settings_for(number, 0, 1)));
        hosts.back().zone = zone_of(number);
    }
    for (std::size_t number = 0; number < server_count; ++number) {
        hosts.push_back(server_entry("worker-" + std::to_string(number), zone_of(number).value));
    }
    std::vector<entry_command> out;
    members.on_host_list(hosts, now, out);
    for (std::size_t number = 1; number < daemon_count; ++number) {
        members.on_probe(settings_for(number, 1, 1).self, {}, now, out);
    }
    members.on_tick(now, out);
    ownership owners(own.self, own.zone);
    owners.set_servers(hosts);
    owners.update(members, {});
    std::vector<double> times;
    for (std::size_t number = 1; number <= 100; ++number) {
        if (number % 2 == 1) {
            members.on_leave(settings_for(number, 1, 1).self, now, out);
        } else {
            // Restarts the daemon that has just left.
            members.on_probe(settings_for(number - 1, 2, 1).self, {}, now, out);
        }
        const double begin = thread_cpu_ms();
        owners.update(members, {});
        times.push_back(thread_cpu_ms() - begin);
    }
    std::ranges::sort(times);
    std::cout << "ownership update: median " << times[50] << " ms, p90 " << times[90] << " ms, largest " << times.back()
              << " ms\n";
    // The slowest tenth is left out: other processes may have evicted the caches.
    REQUIRE(times[90] < max_update_ms);
}
