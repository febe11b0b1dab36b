// Guards against refusing a request that a server could soon take, and against
// waiting so long that no time is left for a retry.
#include "wait_policy.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

route long_route() {
    route made;
    made.latency_target = 3s;
    return made;
}

bool refuses(const unplaced_request& request, const no_placement& reason) {
    return std::holds_alternative<refuse_request>(decide_wait(request, reason));
}

}  // namespace

TEST_CASE("a request waits for a placement within its target and is then refused with a retry-after time") {
    const auto matched = long_route();
    const no_placement full{"no place", 700ms, false};
    CHECK_FALSE(refuses({&matched, 1s, 10s, false, true}, full));
    const auto decision = decide_wait({&matched, 1'500ms, 10s, false, true}, full);
    REQUIRE(std::holds_alternative<refuse_request>(decision));
    CHECK(std::get<refuse_request>(decision).retry_after == 700ms);
}

TEST_CASE("waiting for the prefill of other prompts leaves time for the request's own prefill") {
    const auto matched = long_route();
    const no_placement backlog{"reading", 700ms, true};
    CHECK_FALSE(refuses({&matched, 300ms, 10s, false, true}, backlog));
    CHECK(refuses({&matched, 400ms, 10s, false, true}, backlog));
}

TEST_CASE("a request is refused at once without usable servers, unless its answer has begun") {
    const auto matched = long_route();
    const no_placement none{"no server", 700ms, false};
    CHECK(refuses({&matched, 0s, 10s, false, false}, none));
    CHECK_FALSE(refuses({&matched, 5s, 10s, true, false}, none));
}

TEST_CASE("a request without time left does not wait") {
    const auto matched = long_route();
    CHECK(refuses({&matched, 20ms, 10ms, false, true}, {"no place", 700ms, false}));
}

TEST_CASE("a request is not placed again before a retry can succeed") {
    const auto matched = long_route();
    const no_placement no_memory{"no memory", 700ms, false, 200ms};
    for (const bool answer_begun : {false, true}) {
        const auto decision = decide_wait({&matched, 100ms, 10s, answer_begun, true}, no_memory);
        REQUIRE(std::holds_alternative<retry_placement>(decision));
        CHECK(std::get<retry_placement>(decision).after == 200ms);
    }
}

TEST_CASE("a request that no server takes while it may wait is refused at once") {
    const auto matched = long_route();
    const no_placement paused{"every server pauses", 300ms, false, 2s};
    const auto decision = decide_wait({&matched, 0ms, 10s, false, true}, paused);
    REQUIRE(std::holds_alternative<refuse_request>(decision));
    CHECK(std::get<refuse_request>(decision).retry_after == 2s);
    CHECK_FALSE(refuses({&matched, 0ms, 10s, true, true}, paused));
}
