// Tests the change of a server's owner. The new owner would overload the server
// if it dispatched while the previous owner still does, or did not count the
// requests that the previous owner has running there.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("a new owner waits for the handover unless the server was released") {
    owner_fixture fixture;
    fixture.add_server("s1", false);
    const submit message = fixture.send(fixture.make_submit());
    REQUIRE(fixture.answers<submit_accepted>(message).size() == 1);
    fixture.run_for(std::chrono::milliseconds(1'950));
    REQUIRE(fixture.all<open_stream>().empty());
    fixture.run_for(std::chrono::milliseconds(100));
    REQUIRE(fixture.all<open_stream>().size() == 1);

    owner_fixture released;
    released.add_server("s1", false);
    released.send(released.make_submit());
    const server_name name("s1");
    auto context = released.ctx();
    released.owner.on_release({host_name("entry-2"), 1}, std::span(&name, 1), context);
    REQUIRE(released.all<open_stream>().size() == 1);
    std::cout << "handover wait: passed\n";
}

TEST_CASE("foreign work counts against the window") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const listed_stream foreign{"entry-2.1.1.1.entry-2.1", 1'000, true, {}};
    fixture.list("s1", {foreign, foreign, foreign});
    for (int i = 0; i < 4; ++i)
        fixture.send(fixture.make_submit());
    // The window is half of the cold capacity of 8.
    REQUIRE(fixture.all<open_stream>().size() == 1);
    fixture.list("s1", {});
    REQUIRE(fixture.all<open_stream>().size() == 4);
    std::cout << "foreign work: passed\n";
}
