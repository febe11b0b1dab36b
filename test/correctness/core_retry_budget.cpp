// Checks the limits that keep retries from amplifying an overload.
#include "retry_budget.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

int take_all(retry_budget& budget) {
    int taken = 0;
    while (budget.try_take()) {
        ++taken;
    }
    return taken;
}

}  // namespace

TEST_CASE("retries are a tenth of completed work after the initial credit") {
    retry_budget budget;
    REQUIRE(take_all(budget) == 10);
    for (int completed = 0; completed < 200; ++completed) {
        budget.on_completed();
    }
    REQUIRE(take_all(budget) == 20);
    std::cout << "retry budget is a tenth of completions: passed\n";
}

TEST_CASE("retry credit is bounded after a long quiet time") {
    retry_budget budget;
    for (int completed = 0; completed < 100'000; ++completed) {
        budget.on_completed();
    }
    REQUIRE(take_all(budget) == 100);
    std::cout << "retry credit bound: passed\n";
}
