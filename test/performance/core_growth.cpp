// Cost of control traffic: the bytes that each daemon sends per second stay about
// constant as the deployment grows, and a configuration change reaches every daemon in
// time.
#include "core_driver.hpp"
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <vector>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr double max_bytes_per_second = 2'000;
// Limit for a configuration change to reach every daemon.
constexpr double max_convergence_seconds = 13;
constexpr double max_bytes_ratio = 1.5;
constexpr double measured_seconds = 20;

struct control_cost {
    std::size_t daemons = 0;
    double bytes_per_second = 0;
    double messages_per_second = 0;
    double processor_percent = 0;
    double convergence_seconds = 0;
    std::size_t members_seen = 0;
};

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double measure_convergence_seconds(core_driver& driver) {
    const time_point changed = driver.now();
    driver.set_zone("zone-9", "out");
    const std::uint64_t version = driver.platform().head();
    const auto is_everywhere = [&](std::size_t daemons) {
        for (std::size_t number = 0; number < daemons; ++number) {
            if (driver.figures(number).config_version < version) {
                return false;
            }
        }
        return true;
    };
    while (!is_everywhere(driver.daemons()) && driver.now() - changed < 30s) {
        driver.run_for(100ms);
    }
    return std::chrono::duration<double>(driver.now() - changed).count();
}

// Without engines, so the figures are those of membership, owner summaries,
// configuration and account limits.
control_cost measure(std::size_t daemons, std::uint64_t seed) {
    core_driver driver({.daemons = daemons, .engines = 0, .services = 3 * daemons, .seed = seed});
    driver.run_for(40s);
    const double bytes_before = driver.control_bytes();
    const double messages_before = driver.control_messages();
    const double processor_before = processor_seconds();
    driver.run_for(std::chrono::duration_cast<duration>(std::chrono::duration<double>(measured_seconds)));
    const double daemon_seconds = measured_seconds * static_cast<double>(daemons);
    control_cost result;
    result.daemons = daemons;
    result.processor_percent = 100 * (processor_seconds() - processor_before) / daemon_seconds;
    result.bytes_per_second = (driver.control_bytes() - bytes_before) / daemon_seconds;
    result.messages_per_second = (driver.control_messages() - messages_before) / daemon_seconds;
    result.members_seen = daemons;
    for (std::size_t number = 0; number < daemons; ++number) {
        result.members_seen = std::min(result.members_seen, driver.figures(number).live_members + 1);
    }
    result.convergence_seconds = measure_convergence_seconds(driver);
    return result;
}

}  // namespace

TEST_CASE("control traffic of a daemon stays flat from 9 to 200 daemons") {
    const std::uint64_t seed = read_seed(61);
    std::vector<control_cost> results;
    std::printf("daemons  bytes/s  messages/s  processor %%  convergence s\n");
    for (const std::size_t daemons : {9, 27, 81, 200}) {
        const control_cost measured = measure(daemons, seed);
        std::printf("%7zu  %7.0f  %10.2f  %11.3f  %13.1f\n", measured.daemons, measured.bytes_per_second,
                    measured.messages_per_second, measured.processor_percent, measured.convergence_seconds);
        REQUIRE(measured.members_seen == daemons);
        REQUIRE(measured.bytes_per_second <= max_bytes_per_second);
        REQUIRE(measured.convergence_seconds <= max_convergence_seconds);
        results.push_back(measured);
    }
    const auto [least, most] = std::ranges::minmax(results, {}, &control_cost::bytes_per_second);
    std::printf("largest over smallest bytes/s: %.2f\n", most.bytes_per_second / least.bytes_per_second);
    REQUIRE(most.bytes_per_second <= max_bytes_ratio * least.bytes_per_second);
}
