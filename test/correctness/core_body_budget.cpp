// Tests the bound on the memory of answers. Guards against answers without end that fill the
// host's memory or displace sound ones.
#include "body_budget.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace verbenahold::serving;

namespace {

constexpr std::size_t kib = 1'024;

struct counted_answers {
    body_budget::holding arriving(int number) {
        return budget.hold([this, number] { gave_way.push_back(number); });
    }

    std::vector<int> gave_way;
    body_budget budget{1'000 * kib, [](const std::function<void()>& work) { work(); }};
};

}  // namespace

TEST_CASE("the longest answer gives way when answers exceed the budget, and once only") {
    counted_answers answers;
    auto sound = answers.arriving(1);
    auto endless = answers.arriving(2);
    sound.resize(300 * kib);
    endless.resize(600 * kib);
    CHECK(answers.gave_way.empty());
    endless.resize(701 * kib);
    CHECK(answers.gave_way == std::vector<int>{2});
    endless.resize(900 * kib);
    sound.resize(301 * kib);
    CHECK(answers.gave_way == std::vector<int>{2});
    endless = {};
    CHECK(answers.budget.held_bytes() == 301 * kib);
}

TEST_CASE("answers that wait for their callers are kept, and arriving ones give way to them") {
    counted_answers answers;
    auto waiting = answers.budget.hold();
    waiting.resize(1'200 * kib);
    CHECK(answers.gave_way.empty());
    auto arriving = answers.arriving(1);
    arriving.resize(uncounted_body_bytes);
    CHECK(answers.gave_way.empty());
    arriving.resize(uncounted_body_bytes + 1);
    CHECK(answers.gave_way == std::vector<int>{1});
}

TEST_CASE("short answers are not counted, and memory returns when answers end") {
    counted_answers answers;
    std::vector<body_budget::holding> held;
    for (int number = 0; number < 100; ++number) {
        held.push_back(answers.arriving(number));
        held.back().resize(uncounted_body_bytes);
    }
    CHECK(answers.budget.held_bytes() == 0);
    auto longer = answers.arriving(100);
    longer.resize(900 * kib);
    auto moved = std::move(longer);
    CHECK(answers.budget.held_bytes() == 900 * kib);
    moved.resize(10);
    CHECK(answers.budget.held_bytes() == 0);
    CHECK(answers.budget.given_way() == 0);
}
