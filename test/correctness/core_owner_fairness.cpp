// Tests fair queueing between client accounts: a small account must not wait
// for the whole queue of a large one.
#include "work_queue.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>

using namespace verbenahold;

namespace {

queued_work make_work(const std::string& account, std::uint64_t number, std::int64_t cost, double weight = 1) {
    const time_point start{std::chrono::seconds(100)};
    return {{{{host_name("e"), 1}, number}, 1}, account_name(account), weight, cost, start, start};
}

}  // namespace

TEST_CASE("a small account takes turns with a large one") {
    work_queue queue;
    for (std::uint64_t i = 0; i < 1'000; ++i)
        queue.push(make_work("large", i, 30'000), queue_order::fair);
    for (std::uint64_t i = 0; i < 10; ++i)
        queue.push(make_work("small", 5'000 + i, 1'000), queue_order::fair);
    std::map<std::string, int> taken;
    std::map<std::string, std::int64_t> tokens;
    while (taken["small"] < 10) {
        const queued_work next = *queue.next();
        ++taken[next.account.value];
        tokens[next.account.value] += next.cost_tokens;
        queue.take();
    }
    // While the small account's 10,000 tokens are served, the large account may
    // get as many tokens plus one more request.
    REQUIRE(tokens["large"] <= 10'000 + 30'000);
    std::cout << "fairness between accounts: passed\n";
}

TEST_CASE("tokens are shared by weight") {
    work_queue queue;
    for (std::uint64_t i = 0; i < 600; ++i) {
        queue.push(make_work("light", i, 2'000, 1), queue_order::fair);
        queue.push(make_work("heavy", 1'000 + i, 2'000, 3), queue_order::fair);
    }
    std::map<std::string, int> taken;
    for (int i = 0; i < 400; ++i) {
        ++taken[queue.next()->account.value];
        queue.take();
    }
    REQUIRE(taken["heavy"] >= 290);
    REQUIRE(taken["heavy"] <= 310);
    std::cout << "weights: passed\n";
}

TEST_CASE("within an account the earliest deadline goes first") {
    work_queue queue;
    for (std::uint64_t i = 0; i < 5; ++i) {
        queued_work work = make_work("one", i, 1'000);
        work.deadline -= std::chrono::seconds(i);
        queue.push(work, queue_order::fair);
    }
    REQUIRE(queue.next()->attempt.request.sequence == 4);
    // Shedding drops the work that can wait longest.
    REQUIRE(queue.shed_candidate()->attempt.request.sequence == 0);
    REQUIRE(queue.remove(queue.next()->attempt));
    REQUIRE(queue.next()->attempt.request.sequence == 3);
    REQUIRE(queue.size() == 4);
    std::cout << "earliest deadline first: passed\n";
}
