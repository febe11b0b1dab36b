// Guards the invariants of section 1.1 over seeded schedules of faults: lost,
// late and duplicated messages, cut links, pauses, restarts, table outages.
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

void require_no_breach(core_driver& driver, bool at_rest) {
    for (const std::string& breach : driver.violations(at_rest)) {
        FAIL_CHECK(breach);
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
    CHECK(driver.answered() == 120);
    for (const auto& [code, times] : driver.refused()) {
        UNSCOPED_INFO(to_string(code) << ' ' << times);
        CHECK(times == 0);
    }
    require_no_breach(driver, true);
    std::cout << "120 requests without faults: passed\n";
}
