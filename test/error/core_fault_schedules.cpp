// Checks the invariants of core_driver::violations() under seeded schedules of faults:
// lost, late and duplicated messages, cut links, pauses, restarts and engine crashes.
#include "core_driver.hpp"
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

std::string prompt_of(int number) {
    return "prompt " + std::to_string(number) + ' ' + std::string(static_cast<std::size_t>(number % 7) * 900, 'x');
}

void require_no_violations(core_driver& driver, bool at_rest) {
    for (const std::string& violation : driver.violations(at_rest)) {
        FAIL_CHECK(violation);
    }
}

}  // namespace

TEST_CASE("requests without faults are answered whole") {
    core_driver driver({.seed = read_seed(41)});
    driver.run_for(10s);
    for (int number = 0; number < 60; ++number) {
        driver.send_completion(static_cast<std::size_t>(number) % 9, prompt_of(number), 20, 30s);
        driver.send_order(static_cast<std::size_t>(number) % 9, "order-" + std::to_string(number), 10s);
        driver.run_for(200ms);
    }
    driver.run_for(35s);
    REQUIRE(driver.answered() == 120);
    for (const auto& [code, times] : driver.refused()) {
        UNSCOPED_INFO(to_string(code) << ' ' << times);
        REQUIRE(times == 0);
    }
    require_no_violations(driver, true);
    std::cout << "120 requests without faults: passed\n";
}

TEST_CASE("seeded faults of links and daemons break no invariant") {
    const std::uint64_t seed = read_seed(42);
    core_driver driver({.seed = seed});
    std::mt19937_64 random(seed);
    driver.run_for(10s);
    driver.set_faults({.loss = 0.02, .duplication = 0.05, .jitter = 20ms});
    int number = 0;
    for (int second = 0; second < 60; ++second) {
        const std::size_t chosen = random() % 9;
        const std::uint64_t fault = random() % 8;
        if (fault == 0) {
            driver.restart(chosen);
        } else if (fault == 1) {
            driver.pause(chosen, true);
        } else if (fault == 2) {
            driver.put_on_side(chosen, 1);
        } else if (fault == 3) {
            driver.engine(chosen % 6).crash(driver.now());
        }
        for (int request = 0; request < 6; ++request, ++number) {
            driver.send_completion(random() % 9, prompt_of(number), 20, 20s);
            driver.send_order(random() % 9, "order-" + std::to_string(number), 5s);
            driver.run_for(200ms);
        }
        driver.pause(chosen, false);
        driver.put_on_side(chosen, 0);
    }
    driver.set_faults({});
    // Time for all deadlines to pass, then 30 s for the memory sweep to free streams
    // that faults left behind.
    driver.run_for(60s);
    REQUIRE(driver.answered() > 300);
    require_no_violations(driver, true);
    std::cout << "60 s of seeded faults, " << driver.answered() << " of 720 requests answered: passed\n";
}

TEST_CASE("owners with different membership views never overload a cold server") {
    const std::uint64_t seed = read_seed(43);
    core_driver driver({.engines = 3, .seed = seed});
    std::mt19937_64 random(seed);
    driver.run_for(10s);
    int number = 0;
    for (int round = 0; round < 6; ++round) {
        const std::size_t cut = random() % 9;
        for (std::size_t daemon = 0; daemon < 9; ++daemon) {
            driver.put_on_side(daemon, daemon <= cut ? 1 : 0);
        }
        driver.engine(random() % 3).crash(driver.now());
        for (int request = 0; request < 150; ++request, ++number) {
            driver.send_completion(random() % 9, prompt_of(number), 10, 15s);
            driver.run_for(100ms);
        }
        for (std::size_t daemon = 0; daemon < 9; ++daemon) {
            driver.put_on_side(daemon, 0);
        }
        driver.run_for(5s);
    }
    REQUIRE(driver.answered() > 100);
    require_no_violations(driver, false);
    std::cout << "6 partitions with crashed servers, " << driver.answered() << " of 900 answered: passed\n";
}

TEST_CASE("a zone that is out receives no new work after 3 s and returns") {
    core_driver driver({.seed = read_seed(44)});
    driver.run_for(10s);
    int number = 0;
    for (const char* state : {"out", "in"}) {
        driver.set_zone("zone-1", state);
        for (int request = 0; request < 100; ++request, ++number) {
            driver.send_completion(static_cast<std::size_t>(number) % 9, prompt_of(number), 10, 30s);
            driver.run_for(100ms);
        }
    }
    driver.run_for(35s);
    REQUIRE(driver.answered() == 200);
    REQUIRE(driver.refused().empty());
    require_no_violations(driver, true);
    std::cout << "zone out and in without a failed request: passed\n";
}
