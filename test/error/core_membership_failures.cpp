// Membership under failures: death, message loss, pauses, partitions and restarts of
// daemons.
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemons = 9;

// Probe interval of 500 ms, suspicion timeout of 2 s, and the time until the dead
// daemon is next in the probe round of some daemon.
constexpr auto detection_limit = 6s;

}  // namespace

TEST_CASE("a dead daemon is found dead by all others") {
    member_group group(daemons, read_seed(11));
    group.run_for(5s);
    const daemon_id ended = group.at(4).self();
    REQUIRE(group.live_count(0) == daemons - 1);
    group.stop(4);
    group.run_for(detection_limit);
    for (std::size_t number = 0; number < daemons; ++number) {
        if (number != 4) {
            REQUIRE(group.live_count(number) == daemons - 2);
            REQUIRE(group.at(number).is_dead_for(ended, 0s, group.now()));
            REQUIRE_FALSE(group.at(number).is_live(ended));
        }
    }
    std::cout << "death found by all within 6 s: passed\n";
}

TEST_CASE("a tenth of the messages lost makes no live daemon dead") {
    member_group group(daemons, read_seed(12));
    group.run_for(5s);
    group.set_loss(0.1);
    for (int second = 0; second < 120; ++second) {
        group.run_for(1s);
        for (std::size_t number = 0; number < daemons; ++number) {
            REQUIRE(group.live_count(number) == daemons - 1);
        }
    }
    std::cout << "no false death in 120 s with 10 % loss: passed\n";
}

TEST_CASE("a daemon that was paused does not declare the others dead") {
    member_group group(daemons, read_seed(13));
    group.run_for(5s);
    group.pause(2, true);
    group.run_for(20s);
    REQUIRE(group.live_count(0) == daemons - 2);
    group.pause(2, false);
    for (int step = 0; step < 50; ++step) {
        group.run_for(100ms);
        REQUIRE(group.live_count(2) == daemons - 1);
    }
    group.run_for(10s);
    for (std::size_t number = 0; number < daemons; ++number) {
        REQUIRE(group.live_count(number) == daemons - 1);
    }
    std::cout << "pause of 20 s: passed\n";
}

TEST_CASE("both sides of a partition find each other again") {
    member_group group(daemons, read_seed(14));
    group.run_for(5s);
    for (std::size_t number = 0; number < 3; ++number) {
        group.put_on_side(number, 1);
    }
    group.run_for(30s);
    REQUIRE(group.live_count(0) == 2);
    REQUIRE(group.live_count(8) == 5);
    for (std::size_t number = 0; number < 3; ++number) {
        group.put_on_side(number, 0);
    }
    group.run_for(15s);
    for (std::size_t number = 0; number < daemons; ++number) {
        REQUIRE(group.live_count(number) == daemons - 1);
    }
    std::cout << "partition of 30 s healed within 15 s: passed\n";
}

TEST_CASE("a restarted daemon replaces its earlier incarnation") {
    member_group group(daemons, read_seed(15));
    group.run_for(5s);
    const daemon_id before = group.at(5).self();
    group.stop(5);
    group.start(5);
    group.run_for(2s);
    const daemon_id after = group.at(5).self();
    for (std::size_t number = 0; number < daemons; ++number) {
        REQUIRE_FALSE(group.at(number).is_live(before));
        REQUIRE(group.at(number).is_dead_for(before, 0s, group.now()));
        REQUIRE(group.at(number).is_live(after));
        REQUIRE(group.live_count(number) == daemons - 1);
    }
    std::cout << "restart replaces the incarnation: passed\n";
}
