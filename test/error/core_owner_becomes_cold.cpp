// Tests that a server that restarted, refused work or stalled its answers is
// limited to the window of a cold server again at once.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

constexpr int cold_window = 4;

// Number of requests dispatched when many are submitted.
std::size_t count_started(owner_fixture& fixture) {
    fixture.out.clear();
    for (int i = 0; i < 20; ++i)
        fixture.send(fixture.make_submit());
    return fixture.all<open_stream>().size();
}

owner_fixture make_warm() {
    owner_fixture fixture;
    fixture.add_server("s1");
    std::vector<submit> running;
    for (int i = 0; i < 200; ++i) {
        running.push_back(fixture.send(fixture.make_submit()));
        if (running.size() >= 16) {
            fixture.finish(running.front());
            running.erase(running.begin());
        }
    }
    for (const submit& message : running)
        fixture.finish(message);
    return fixture;
}

}  // namespace

TEST_CASE("a restarted server is cold at its first load report") {
    owner_fixture fixture = make_warm();
    fixture.report("s1", 2);
    fixture.list("s1", {}, 2);
    REQUIRE(count_started(fixture) == cold_window);
    std::cout << "restart makes cold: passed\n";
}

TEST_CASE("a warm server runs its warm capacity") {
    owner_fixture fixture = make_warm();
    REQUIRE(count_started(fixture) == 16);
    std::cout << "warm capacity: passed\n";
}

TEST_CASE("a refusal makes a server cold") {
    owner_fixture fixture = make_warm();
    fixture.fail(fixture.send(fixture.make_submit()), backend_failure::overloaded);
    fixture.run_for(std::chrono::milliseconds(300));
    REQUIRE(count_started(fixture) + 1 == cold_window);
    std::cout << "refusal makes cold: passed\n";
}

TEST_CASE("stalled answers make a server cold at a load report") {
    owner_fixture fixture = make_warm();
    std::vector<submit> running;
    for (int i = 0; i < 10; ++i) {
        running.push_back(fixture.send(fixture.make_submit()));
        fixture.feed(stream_tokens{server_name("s1"), fixture.stream_of(running.back()), 0, {"x"}});
    }
    for (int i = 0; i < 6; ++i) {
        fixture.now += std::chrono::milliseconds(250);
        for (const submit& message : running)
            fixture.feed(stream_heartbeat{server_name("s1"), fixture.stream_of(message)});
        fixture.report("s1", 1);
    }
    REQUIRE(count_started(fixture) == 0);
    std::cout << "stalled answers make cold: passed\n";
}
