// Tests that a server that restarted, refused work or stalled its answers is
// limited to the window of a cold server again at once.
#include "../correctness/owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

constexpr int cold_window = 4;

// Number of requests dispatched when many are submitted.
std::size_t count_started(owner_bench& bench) {
    bench.out.clear();
    for (int i = 0; i < 20; ++i)
        bench.send(bench.make_submit());
    return bench.all<open_stream>().size();
}

owner_bench make_warm() {
    owner_bench bench;
    bench.add_server("s1");
    std::vector<submit> running;
    for (int i = 0; i < 200; ++i) {
        running.push_back(bench.send(bench.make_submit()));
        if (running.size() >= 16) {
            bench.finish(running.front());
            running.erase(running.begin());
        }
    }
    for (const submit& message : running)
        bench.finish(message);
    return bench;
}

}  // namespace

TEST_CASE("a restarted server is cold at its first load report") {
    owner_bench bench = make_warm();
    bench.report("s1", 2);
    bench.list("s1", {}, 2);
    REQUIRE(count_started(bench) == cold_window);
    std::cout << "restart makes cold: passed\n";
}

TEST_CASE("a warm server runs its warm capacity") {
    owner_bench bench = make_warm();
    REQUIRE(count_started(bench) == 16);
    std::cout << "warm capacity: passed\n";
}

TEST_CASE("a refusal makes a server cold") {
    owner_bench bench = make_warm();
    bench.fail(bench.send(bench.make_submit()), backend_failure::overloaded);
    bench.run_for(std::chrono::milliseconds(300));
    REQUIRE(count_started(bench) + 1 == cold_window);
    std::cout << "refusal makes cold: passed\n";
}

TEST_CASE("stalled answers make a server cold at a load report") {
    owner_bench bench = make_warm();
    std::vector<submit> running;
    for (int i = 0; i < 10; ++i) {
        running.push_back(bench.send(bench.make_submit()));
        bench.feed(stream_tokens{server_name("s1"), bench.stream_of(running.back()), 0, {"x"}});
    }
    for (int i = 0; i < 6; ++i) {
        bench.now += std::chrono::milliseconds(250);
        for (const submit& message : running)
            bench.feed(stream_heartbeat{server_name("s1"), bench.stream_of(message)});
        bench.report("s1", 1);
    }
    REQUIRE(count_started(bench) == 0);
    std::cout << "stalled answers make cold: passed\n";
}
