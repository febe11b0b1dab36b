// Tests the cold-start window. If it grew too early or survived a restart, a
// cold server would get more requests than it can run.
#include "cold_start_window.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("cold window stays at half of the cold capacity until enough requests complete") {
    cold_start_window window;
    window.configure(4, 16);
    window.reset();
    REQUIRE(window.window() == 2);
    for (int i = 0; i < 7; ++i)
        window.on_completed(window.epoch(), 2);
    REQUIRE(window.window() == 2);
    window.on_completed(window.epoch(), 2);
    REQUIRE(window.window() == 3);
    // A completion below the full window does not count.
    window.on_completed(window.epoch(), 2);
    REQUIRE(window.window() == 3);
    for (int i = 0; i < 100; ++i)
        window.on_completed(window.epoch(), window.window());
    REQUIRE(window.window() == 16);
    std::cout << "cold window growth: passed\n";
}

TEST_CASE("completions from before a reset do not widen the window") {
    cold_start_window window;
    window.configure(2, 16);
    window.reset();
    const std::uint64_t before = window.epoch();
    window.reset();
    for (int i = 0; i < 100; ++i)
        window.on_completed(before, 16);
    REQUIRE(window.window() == 1);
    std::cout << "cold window reset: passed\n";
}
