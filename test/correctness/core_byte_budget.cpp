// Tests the budget of bytes in flight. Guards against a daemon that holds more than its
// host has memory for, one use or connection that takes all of it, and requests that
// wait for room without end.
#include "byte_budget.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;

namespace {

constexpr std::uint64_t memory = 256'000'000;
constexpr std::size_t body = 4'194'304;

}  // namespace

TEST_CASE("one use can't take the bytes that are kept for the others") {
    byte_budget budget(memory);
    for (const auto use : all_byte_uses) {
        byte_budget fresh(memory);
        CHECK(fresh.try_take(use, fresh.capacity(use)));
        CHECK_FALSE(fresh.try_take(use, 1));
        for (const auto other : all_byte_uses) {
            CHECK((other == use || fresh.available(other) >= fresh.total() / 16));
        }
    }
    for (const auto use : all_byte_uses) {
        CHECK(budget.try_take(use, budget.available(use) / 2));
    }
    CHECK(budget.held() <= budget.total());
}

TEST_CASE("all uses together never hold more than the budget") {
    byte_budget budget(memory);
    bool took = true;
    while (took) {
        took = false;
        for (const auto use : all_byte_uses) {
            took = budget.try_take(use, 1'000'000) || took;
        }
    }
    CHECK(budget.held() <= budget.total());
    CHECK(budget.held() > budget.total() - 4'000'000);
}

TEST_CASE("what connections may hold each shrinks so that together they stay within the budget") {
    byte_budget budget(memory);
    std::size_t held = 0;
    for (int i = 0; i < 2'000; ++i) {
        const auto share = budget.fair_share(byte_use::answers);
        budget.take(byte_use::answers, share);
        held += share;
    }
    CHECK(held <= budget.capacity(byte_use::answers));
}

TEST_CASE("a share gives its bytes back when it ends, moves or changes its use") {
    byte_budget budget(memory);
    {
        byte_share first(budget, byte_use::small_requests);
        CHECK(first.try_hold(1'000));
        CHECK(first.try_hold(byte_use::large_requests, 100'000));
        CHECK(budget.held(byte_use::small_requests) == 0);
        CHECK(budget.held(byte_use::large_requests) == 100'000);
        byte_share second(std::move(first));
        second.hold(50'000);
        CHECK(budget.held() == 50'000);
    }
    CHECK(budget.held() == 0);
    // Both uses are held while the share moves from one to the other.
    CHECK(budget.peak() == 101'000);
}

TEST_CASE("requests that wait for room get it in their order and none overtakes") {
    byte_budget budget(memory);
    int room_calls = 0;
    budget.set_room_callback([&] { ++room_calls; });
    byte_share all(budget, byte_use::large_requests);
    REQUIRE(all.try_hold(budget.capacity(byte_use::large_requests)));
    std::vector<int> granted;
    budget.wait_for(byte_use::large_requests, body, [&] { granted.push_back(1); });
    const auto left = budget.wait_for(byte_use::large_requests, body, [&] { granted.push_back(2); });
    budget.wait_for(byte_use::large_requests, 100'000, [&] { granted.push_back(3); });
    all.hold(all.bytes() - 200'000);
    CHECK(room_calls == 1);
    budget.grant_waiting();
    CHECK(granted.empty());
    CHECK_FALSE(budget.try_take(byte_use::large_requests, 1'000));
    CHECK(budget.try_take(byte_use::small_requests, 1'000));
    budget.stop_waiting(left);
    all.hold(all.bytes() - body);
    budget.grant_waiting();
    CHECK(granted == std::vector<int>{1, 3});
    CHECK(budget.waiting() == 0);
}

TEST_CASE("an announced length takes room but a request that could never fit is told so") {
    byte_budget budget(memory);
    byte_share share(budget, byte_use::small_requests);
    CHECK(std::holds_alternative<read_on>(decide_reading(budget, share, {600, 600, 600, false})));
    CHECK(share.use() == byte_use::small_requests);
    CHECK(std::holds_alternative<read_on>(decide_reading(budget, share, {1'000, 1'024, body, false})));
    CHECK(share.use() == byte_use::large_requests);
    CHECK(share.bytes() == body);
    const auto never = decide_reading(budget, share, {1'000, 1'024, 1'000'000'000'000'000'000U, false});
    CHECK(std::holds_alternative<never_fits>(never));
    CHECK(share.bytes() == body);
}

TEST_CASE("a body without a length asks for room as it grows and waits when there is none") {
    byte_budget budget(memory);
    byte_share share(budget, byte_use::small_requests);
    std::size_t received = 0;
    for (; received < 1'000'000; received += 16'384) {
        REQUIRE(std::holds_alternative<read_on>(decide_reading(budget, share, {received, received, {}, false})));
        CHECK(share.bytes() >= received);
        CHECK(share.bytes() <= 2 * received + 2 * 16'384);
    }
    byte_share rest(budget, byte_use::large_requests);
    REQUIRE(rest.try_hold(budget.available(byte_use::large_requests)));
    const auto wanting = decide_reading(budget, share, {2'000'000, 2'000'000, {}, false});
    REQUIRE(std::holds_alternative<await_room>(wanting));
    CHECK(std::get<await_room>(wanting).use == byte_use::large_requests);
    // A small request is received all the same.
    byte_share small(budget, byte_use::small_requests);
    CHECK(std::holds_alternative<read_on>(decide_reading(budget, small, {600, 600, 600, false})));
}

TEST_CASE("a lower budget after a reload holds as bytes are given back") {
    byte_budget budget(memory);
    byte_share share(budget, byte_use::large_requests);
    REQUIRE(share.try_hold(budget.capacity(byte_use::large_requests)));
    budget.set_memory(memory / 4);
    CHECK(budget.available(byte_use::large_requests) == 0);
    CHECK_FALSE(share.try_hold(share.bytes() + 1));
    share.release();
    CHECK(budget.available(byte_use::large_requests) == budget.capacity(byte_use::large_requests));
}
