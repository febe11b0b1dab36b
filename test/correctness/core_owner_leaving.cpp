// Tests that a backend server that is leaving gets no new work from its owner,
// while the attempts running on it continue.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("a leaving server gets no new work and keeps what runs") {
    owner_fixture fixture;
    fixture.add_server("s1");
    // A warm server has room for more than the one request that runs.
    constexpr int completions_to_warm = 40;
    fixture.warm_up(completions_to_warm);
    const submit running = fixture.send(fixture.make_submit(100));
    REQUIRE(fixture.server_of(running) == "s1");
    auto context = fixture.ctx();
    fixture.owner.refresh({server_name("s1"), zone_name("a"), service_name("model"), endpoint{"127.0.0.1:9"}, true},
                          context);
    const submit next = fixture.send(fixture.make_submit(100));
    REQUIRE(fixture.server_of(next).empty());
    REQUIRE(fixture.all<cancel_stream>().empty());
    fixture.finish(running);
    REQUIRE(fixture.answers<attempt_finished>(running).size() == 1);
    std::cout << "leaving server: passed\n";
}
