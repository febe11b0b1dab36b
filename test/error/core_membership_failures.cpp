// Membership under failures: death, message loss, pauses, partitions and restarts of
// daemons.
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemon_count = 9;

// Probe interval of 500 ms, suspicion timeout of 2 s, and the time until the dead
// daemon is next in the probe round of some daemon.
constexpr auto max_detection_time = 6s;

}  // namespace

TEST_CASE("a dead daemon is declared dead by all others") {
    member_group group(daemon_count, read_seed(11));
    group.run_for(5s);
    const daemon_id ended = group.at(4).self();
    REQUIRE(group.live_count(0) == daemon_count - 1);
    group.stop(4);
    group.run_for(max_detection_time);
    for (std::size_t number = 0; number < daemon_count; ++number) {
        if (number != 4) {
            REQUIRE(group.live_count(number) == daemon_count - 2);
            REQUIRE(group.at(number).is_dead_for(ended, 0s, group.now()));
            REQUIRE_FALSE(group.at(number).is_live(ended));
        }
    }
    std::cout << "death detected by all within 6 s: passed\n";
}

TEST_CASE("no live daemon is declared dead when a tenth of the messages is lost") {
    member_group group(daemon_count, read_seed(12));
    group.run_for(5s);
    group.set_loss(0.1);
    for (int second = 0; second < 120; ++second) {
        group.run_for(1s);
        for (std::size_t number = 0; number < daemon_count; ++number) {
            REQUIRE(group.live_count(number) == daemon_count - 1);
        }
    }
    std::cout << "no false death in 120 s with 10 % loss: passed\n";
}

TEST_CASE("a daemon that was paused does not declare the others dead") {
    member_group group(daemon_count, read_seed(13));
    group.run_for(5s);
    group.pause(2, true);
    group.run_for(20s);
    REQUIRE(group.live_count(0) == daemon_count - 2);
    group.pause(2, false);
    for (int step = 0; step < 50; ++step) {
        group.run_for(100ms);
        REQUIRE(group.live_count(2) == daemon_count - 1);
    }
    group.run_for(10s);
    for (std::size_t number = 0; number < daemon_count; ++number) {
        REQUIRE(group.live_count(number) == daemon_count - 1);
    }
    std::cout << "pause of 20 s: passed\n";
}

TEST_CASE("both sides of a partition rejoin after it heals") {
    member_group group(daemon_count, read_seed(14));
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
    for (std::size_t number = 0; number < daemon_count; ++number) {
        REQUIRE(group.live_count(number) == daemon_count - 1);
    }
    std::cout << "partition of 30 s healed within 15 s: passed\n";
}

TEST_CASE("a restarted daemon replaces its earlier incarnation") {
    member_group group(daemon_count, read_seed(15));
    group.run_for(5s);
    const daemon_id before = group.at(5).self();
    group.stop(5);
    group.start(5);
    group.run_for(2s);
    const daemon_id after = group.at(5).self();
    for (std::size_t number = 0; number < daemon_count; ++number) {
        REQUIRE_FALSE(group.at(number).is_live(before));
        REQUIRE(group.at(number).is_dead_for(before, 0s, group.now()));
        REQUIRE(group.at(number).is_live(after));
        REQUIRE(group.live_count(number) == daemon_count - 1);
    }
    std::cout << "restart replaces the incarnation: passed\n";
}
