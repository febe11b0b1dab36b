// Configuration during an outage of the table service: daemons that restart one after
// the other get the current version from their peers, keep serving, and never use an
// older version.
#include "core_driver.hpp"
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

// Every daemon uses a change within this time.
constexpr auto max_convergence_time = 13s;

void require_no_violations(core_driver& driver) {
    for (const std::string& violation : driver.violations(false)) {
        FAIL_CHECK(violation);
    }
}

}  // namespace

TEST_CASE("every daemon restarts during a table outage and work goes on") {
    core_driver driver({.seed = read_seed(51)});
    driver.run_for(10s);
    driver.set_zone("zone-2", "out");
    driver.set_zone("zone-2", "in");
    driver.run_for(max_convergence_time);
    const std::uint64_t version = driver.platform().head();
    driver.platform().table_is_down = true;
    int number = 0;
    for (std::size_t restarted = 0; restarted < 9; ++restarted) {
        driver.restart(restarted);
        driver.run_for(10s);
        for (std::size_t daemon = 0; daemon < 9; ++daemon) {
            REQUIRE(driver.figures(daemon).config_version == version);
            driver.send_completion(daemon, "prompt " + std::to_string(number++), 5, 10s);
        }
        driver.run_for(10s);
    }
    REQUIRE(driver.answered() == 81);
    REQUIRE(driver.refused().empty());
    require_no_violations(driver);
    std::cout << "restart of every daemon during a table outage: passed\n";
}

TEST_CASE("a change made after an outage is in force within 13 s") {
    const std::uint64_t seed = read_seed(52);
    core_driver driver({.seed = seed});
    std::mt19937_64 random(seed);
    driver.run_for(10s);
    for (int round = 0; round < 20; ++round) {
        driver.set_faults({.loss = 0.1, .duplication = 0.1, .jitter = 50ms});
        driver.platform().table_is_down = true;
        driver.run_for(std::chrono::milliseconds(random() % 20'000));
        driver.platform().table_is_down = false;
        driver.set_zone("zone-" + std::to_string(round % 3), round % 2 == 0 ? "out" : "in");
        driver.run_for(max_convergence_time);
        for (std::size_t daemon = 0; daemon < 9; ++daemon) {
            REQUIRE(driver.figures(daemon).config_version == driver.platform().head());
        }
    }
    require_no_violations(driver);
    std::cout << "20 changes after outages with 10 % loss: passed\n";
}
