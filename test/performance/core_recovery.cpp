// Time until the survivors agree on the live daemons after many daemons are lost at
// once. Owners change and engine memory is freed only after that; all of it together
// must take at most 30 s.
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <cstdio>
#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration max_recovery_time = 30s;

// Stops every `stride`th daemon at once and returns the seconds until each survivor
// counts exactly the other survivors as live.
double seconds_to_agreement(std::size_t daemons, std::size_t stride, std::uint64_t seed) {
    member_group group(daemons, seed);
    group.run_for(60s);
    std::size_t lost = 0;
    for (std::size_t number = 0; number < daemons; number += stride) {
        group.stop(number);
        ++lost;
    }
    const time_point began = group.now();
    const auto agreed = [&] {
        for (std::size_t number = 0; number < daemons; ++number) {
            if (number % stride != 0 && group.live_count(number) != daemons - lost - 1) {
                return false;
            }
        }
        return true;
    };
    while (!agreed() && group.now() - began < 2 * max_recovery_time) {
        group.run_for(100ms);
    }
    return std::chrono::duration<double>(group.now() - began).count();
}

}  // namespace

TEST_CASE("survivors agree in time after the loss of a ninth and of a third") {
    const std::uint64_t seed = read_seed(83);
    std::printf("daemons  a ninth lost s  a third lost s\n");
    for (const std::size_t daemons : {9, 27, 81, 200}) {
        const double ninth = seconds_to_agreement(daemons, 9, seed);
        const double third = seconds_to_agreement(daemons, 3, seed);
        std::printf("%7zu  %14.1f  %14.1f\n", daemons, ninth, third);
        REQUIRE(ninth <= std::chrono::duration<double>(max_recovery_time).count());
        REQUIRE(third <= std::chrono::duration<double>(max_recovery_time).count());
    }
    std::cout << "recovery of membership: passed\n";
}
