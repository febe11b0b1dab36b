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

constexpr double most_bytes_for_second = 2'000;
// Limit for a configuration change to reach every daemon.
constexpr double most_convergence_seconds = 13;
constexpr double largest_ratio = 1.5;
constexpr double measured_seconds = 20;

struct growth {
    std::size_t daemons = 0;
    double bytes = 0;
    double messages = 0;
    double processor_percent = 0;
    double convergence_seconds = 0;
    std::size_t members_seen = 0;
};

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double converge(core_driver& driver) {
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
growth measure(std::size_t daemons, std::uint64_t seed) {
    core_driver driver({.daemons = daemons, .engines = 0, .services = 3 * daemons, .seed = seed});
    driver.run_for(40s);
    const double bytes = driver.control_bytes();
    const double messages = driver.control_messages();
    const double processor = processor_seconds();
    driver.run_for(std::chrono::duration_cast<duration>(std::chrono::duration<double>(measured_seconds)));
    const double all = measured_seconds * static_cast<double>(daemons);
    growth result;
    result.daemons = daemons;
    result.processor_percent = 100 * (processor_seconds() - processor) / all;
    result.bytes = (driver.control_bytes() - bytes) / all;
    result.messages = (driver.control_messages() - messages) / all;
    result.members_seen = daemons;
    for (std::size_t number = 0; number < daemons; ++number) {
        result.members_seen = std::min(result.members_seen, driver.figures(number).live_members + 1);
    }
    result.convergence_seconds = converge(driver);
    return result;
}

}  // namespace

TEST_CASE("control traffic of a daemon stays flat from 9 to 200 daemons") {
    const std::uint64_t seed = read_seed(61);
    std::vector<growth> results;
    std::printf("daemons  bytes/s  messages/s  processor %%  convergence s\n");
    for (const std::size_t daemons : {9, 27, 81, 200}) {
        const growth one = measure(daemons, seed);
        std::printf("%7zu  %7.0f  %10.2f  %11.3f  %13.1f\n", one.daemons, one.bytes, one.messages,
                    one.processor_percent, one.convergence_seconds);
        REQUIRE(one.members_seen == daemons);
        REQUIRE(one.bytes <= most_bytes_for_second);
        REQUIRE(one.convergence_seconds <= most_convergence_seconds);
        results.push_back(one);
    }
    const auto [least, most] = std::ranges::minmax(results, {}, &growth::bytes);
    std::printf("largest over smallest bytes/s: %.2f\n", most.bytes / least.bytes);
    REQUIRE(most.bytes <= largest_ratio * least.bytes);
}
