// Tests attempts that a server refused. They did not run, so they must be
// dispatched again instead of failing. A server that refuses connections is
// dead and must get no further work.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("owner moves an attempt that a server refused to another server") {
    owner_fixture fixture;
    fixture.add_server("s1");
    fixture.add_server("s2");
    const submit message = fixture.send(fixture.make_submit());
    const std::string first = fixture.server_of(message);
    fixture.fail(message, backend_failure::refused);
    REQUIRE(fixture.server_of(message) != first);
    REQUIRE(fixture.answers<attempt_failed>(message).empty());
    // The dead server gets no work until it answers polls.
    for (int i = 0; i < 4; ++i)
        REQUIRE(fixture.server_of(fixture.send(fixture.make_submit())) != first);
    std::cout << "owner moves refused attempts: passed\n";
}

TEST_CASE("owner queues an attempt while every server is overloaded") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    fixture.fail(message, backend_failure::overloaded);
    REQUIRE(fixture.owner.queued() == 1);
    REQUIRE(fixture.all<open_stream>().size() == 1);
    fixture.run_for(std::chrono::milliseconds(300));
    REQUIRE(fixture.all<open_stream>().size() == 2);
    REQUIRE(fixture.answers<attempt_failed>(message).empty());
    std::cout << "owner queues overloaded attempts: passed\n";
}
