// Guards against requests that are sent to a server although they harm others there more than
// they gain, and against a queue in which the oldest requests make all others late.
#include "admission.hpp"
#include "admission_queue.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

// A short prompt that just arrived.
admission_request short_prompt() {
    return {0ms, 300ms, 1s, 1, false};
}

placement_offer idle_server() {
    return {110ms, 0ms, 0.05, 8};
}

waiting_request waits(time_point arrived, duration timely_for, int priority = 0, bool yields = false) {
    return {admission_lane::interactive, arrived, arrived + timely_for, priority, yields};
}

constexpr time_point start(10s);

}  // namespace

TEST_CASE("a request takes an idle server at once") {
    CHECK_FALSE(reason_to_wait(short_prompt(), idle_server()));
}

TEST_CASE("a request does not join a server's own queue") {
    auto full = idle_server();
    full.free_slots = 0;
    CHECK(reason_to_wait(short_prompt(), full));
}

TEST_CASE("the last batch slots are kept for requests that can be in time") {
    auto nearly_full = idle_server();
    nearly_full.free_slots = slots_reserved_for_timely;
    CHECK_FALSE(reason_to_wait(short_prompt(), nearly_full));
    auto late = short_prompt();
    late.waited = 250ms;
    CHECK(reason_to_wait(late, nearly_full));
    CHECK_FALSE(reason_to_wait(late, idle_server()));
}

TEST_CASE("an account over its share leaves the last batch slots to others, and uses those that are free") {
    auto yields = short_prompt();
    yields.yields = true;
    auto nearly_full = idle_server();
    nearly_full.free_slots = slots_reserved_for_timely;
    CHECK(reason_to_wait(yields, nearly_full));
    CHECK_FALSE(reason_to_wait(yields, idle_server()));
}

TEST_CASE("a long prompt waits while it would stall more streams than it is worth") {
    // In units of a mean prompt.
    const admission_request long_prompt{0ms, 4s, 6s, 20, false};
    placement_offer beside_streams{1s, 0ms, 24, 3};
    CHECK(reason_to_wait(long_prompt, beside_streams));
    beside_streams.harm = 1;
    CHECK_FALSE(reason_to_wait(long_prompt, beside_streams));
}

TEST_CASE("a long prompt about to be refused may make others late, so that its kind is served at all") {
    const placement_offer beside_streams{3s, 0ms, 8, 3};
    CHECK(reason_to_wait({2s, 4s, 6s, 20, false}, beside_streams));
    CHECK_FALSE(reason_to_wait({5'900ms, 4s, 6s, 20, false}, beside_streams));
}

TEST_CASE("a late request does not queue for prefill before requests that can be in time") {
    const admission_request late{5s, 4s, 6s, 20, false};
    CHECK(reason_to_wait(late, {3s, 2s, 0, 8}));
    CHECK_FALSE(reason_to_wait(late, {1s, 100ms, 0, 8}));
}

TEST_CASE("a long prompt does not take servers that make it late while others may still prefill it in time") {
    const placement_offer two_servers{9s, 0ms, 0, 8};
    const admission_request arrived{0ms, 4s, 6s, 60, false, false, 2s};
    CHECK(reason_to_wait(arrived, two_servers));
    auto no_longer_possible = arrived;
    no_longer_possible.waited = 2'100ms;
    CHECK_FALSE(reason_to_wait(no_longer_possible, two_servers));
    const placement_offer enough_servers{3s, 0ms, 0, 8};
    CHECK_FALSE(reason_to_wait(arrived, enough_servers));
}

TEST_CASE("a route without a target never waits") {
    CHECK_FALSE(reason_to_wait({0ms, 0ms, 0ms, 1, true}, {1s, 1s, 50, 0}));
}

TEST_CASE("requests that can be in time are tried first, then the late ones by arrival") {
    admission_queue queue;
    queue.add(1, waits(start - 400ms, 200ms), start);
    queue.add(2, waits(start - 300ms, 200ms), start);
    queue.add(3, waits(start - 20ms, 200ms), start);
    queue.add(4, waits(start - 10ms, 200ms), start);
    CHECK(queue.next(admission_lane::interactive, 10, start) == std::vector<std::uint64_t>{3, 4, 1, 2});
}

TEST_CASE("a standing queue serves the newest first, which can still be in time") {
    admission_queue queue;
    queue.add(1, waits(start, 400ms), start);
    queue.add(2, waits(start + 150ms, 400ms), start + 150ms);
    CHECK(queue.next(admission_lane::interactive, 1, start + 50ms) == std::vector<std::uint64_t>{1});
    CHECK(queue.next(admission_lane::interactive, 1, start + 160ms) == std::vector<std::uint64_t>{2});
    CHECK(queue.goes_first(waits(start + 160ms, 400ms), start + 160ms));
}

TEST_CASE("a newcomer does not overtake requests that can be in time and have begun to wait") {
    admission_queue queue;
    queue.add(1, waits(start, 400ms), start);
    CHECK_FALSE(queue.goes_first(waits(start + 10ms, 400ms), start + 10ms));
    CHECK(queue.goes_first({admission_lane::bulk, start, start + 2s, 0, false}, start + 10ms));
}

TEST_CASE("priority and shares order the requests that can be in time") {
    admission_queue queue;
    queue.add(1, waits(start, 400ms, 0, true), start);
    queue.add(2, waits(start, 400ms, 2), start);
    queue.add(3, waits(start, 400ms, 1), start);
    CHECK(queue.next(admission_lane::interactive, 10, start) == std::vector<std::uint64_t>{3, 2, 1});
}

TEST_CASE("a lane is bounded, and the predicted wait follows from the rate of placements") {
    admission_queue queue;
    CHECK_FALSE(queue.predicted_wait(admission_lane::interactive, start));
    for (std::uint64_t id = 0; id < max_waiting_in_lane; ++id) {
        REQUIRE(queue.add(id, waits(start, 400ms), start));
    }
    CHECK_FALSE(queue.add(max_waiting_in_lane, waits(start, 400ms), start));
    CHECK(queue.add(max_waiting_in_lane + 1, {admission_lane::bulk, start, start, 0, false}, start));
    for (std::uint64_t id = 0; id < 10; ++id) {
        queue.remove(id, true, start + id * 10ms);
    }
    // 10 in 100 ms, and 1,014 wait.
    const auto predicted = queue.predicted_wait(admission_lane::interactive, start + 100ms);
    REQUIRE(predicted);
    CHECK(*predicted > 9s);
    CHECK(*predicted < 12s);
    CHECK_FALSE(queue.predicted_wait(admission_lane::interactive, start + 10s));
}
