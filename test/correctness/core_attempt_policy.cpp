// Guards against running an at-most-once request twice, and against reporting
// "not run" for a request that may have run.
#include "attempt_policy.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace verbenahold::serving;

namespace {

route route_of(retry_rule retry, int attempts, bool resumable) {
    route made;
    made.retry = retry;
    made.max_attempts = attempts;
    made.resumable = resumable;
    return made;
}

const std::vector<attempt_outcome>& all_outcomes() {
    static const std::vector<attempt_outcome> outcomes{attempt_not_sent{}, attempt_not_executed{},
                                                       attempt_outcome_unknown{}, attempt_failed{},
                                                       attempt_refusal_unstated{}};
    return outcomes;
}

// Calls `check` for every history and outcome.
template <class Check>
void for_each_case(Check check) {
    for (int sent = 0; sent <= 4; ++sent) {
        for (int ran = 0; ran <= sent; ++ran) {
            for (int not_sent = 0; not_sent <= 4; ++not_sent) {
                for (const bool begun : {false, true}) {
                    for (const auto& outcome : all_outcomes()) {
                        check(attempt_history{sent, ran, not_sent, begun}, outcome);
                    }
                }
            }
        }
    }
}

}  // namespace

TEST_CASE("an at-most-once request that may have run is never sent again") {
    const auto matched = route_of(retry_rule::at_most_once, 3, false);
    for_each_case([&](const attempt_history& history, const attempt_outcome& outcome) {
        const auto decision = decide_next(matched, history, outcome);
        if (history.may_have_run > 0 || history.answer_begun) {
            CHECK_FALSE(std::holds_alternative<try_another_server>(decision));
        }
    });
}

TEST_CASE("a request is reported as not run only if it certainly did not run") {
    for (const auto retry : {retry_rule::at_most_once, retry_rule::idempotent}) {
        const auto matched = route_of(retry, 2, true);
        for_each_case([&](const attempt_history& history, const attempt_outcome& outcome) {
            const auto decision = decide_next(matched, history, outcome);
            if (const auto* end = std::get_if<give_up>(&decision)) {
                CHECK(end->not_run == (history.may_have_run == 0));
            }
        });
    }
}

TEST_CASE("a refusal without a statement is never passed on, and nothing is promised in its place") {
    for (const auto retry : {retry_rule::at_most_once, retry_rule::idempotent}) {
        for_each_case([&](const attempt_history& history, const attempt_outcome& outcome) {
            if (!std::holds_alternative<attempt_refusal_unstated>(outcome) || history.may_have_run == 0) {
                return;
            }
            const auto decision = decide_next(route_of(retry, 2, false), history, outcome);
            CHECK_FALSE(std::holds_alternative<deliver_failure>(decision));
            if (const auto* end = std::get_if<give_up>(&decision)) {
                CHECK_FALSE(end->not_run);
            }
        });
    }
}

TEST_CASE("no request runs on more servers than its route allows") {
    for (int attempts = 1; attempts <= 3; ++attempts) {
        const auto matched = route_of(retry_rule::idempotent, attempts, true);
        for_each_case([&](const attempt_history& history, const attempt_outcome& outcome) {
            if (std::holds_alternative<try_another_server>(decide_next(matched, history, outcome))) {
                CHECK(history.may_have_run < attempts);
            }
        });
    }
}

TEST_CASE("an answer that has begun is continued or cut off, never replaced") {
    for (const bool resumable : {false, true}) {
        const auto matched = route_of(retry_rule::idempotent, 2, resumable);
        for_each_case([&](const attempt_history& history, const attempt_outcome& outcome) {
            if (!history.answer_begun) {
                return;
            }
            const auto decision = decide_next(matched, history, outcome);
            const bool continued = std::holds_alternative<try_another_server>(decision);
            CHECK((continued || std::holds_alternative<cut_off>(decision)));
            CHECK((!continued || resumable));
        });
    }
}

TEST_CASE("a request that a server rejected without running it is always sent to another server") {
    const auto matched = route_of(retry_rule::at_most_once, 1, false);
    const auto decision = decide_next(matched, {1, 0, 0, false}, attempt_not_executed{});
    REQUIRE(std::holds_alternative<try_another_server>(decision));
    CHECK(std::get<try_another_server>(decision).is_retry);
}
