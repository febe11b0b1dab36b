// Tests the change of a server's owner. The new owner would overload the server
// if it dispatched while the previous owner still does, or did not count the
// requests that the previous owner has running there.
#include "owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("a new owner waits for the handover unless the server was released") {
    owner_bench bench;
    bench.add_server("s1", false);
    const submit message = bench.send(bench.make_submit());
    REQUIRE(bench.answers<submit_accepted>(message).size() == 1);
    bench.run_for(std::chrono::milliseconds(1'950));
    REQUIRE(bench.all<open_stream>().empty());
    bench.run_for(std::chrono::milliseconds(100));
    REQUIRE(bench.all<open_stream>().size() == 1);

    owner_bench released;
    released.add_server("s1", false);
    released.send(released.make_submit());
    const server_name name("s1");
    auto context = released.ctx();
    released.owner.on_release({host_name("entry-2"), 1}, std::span(&name, 1), context);
    REQUIRE(released.all<open_stream>().size() == 1);
    std::cout << "handover wait: passed\n";
}

TEST_CASE("foreign work counts against the window") {
    owner_bench bench;
    bench.add_server("s1");
    const listed_stream foreign{"entry-2.1.1.1.entry-2.1", 1'000, true, {}};
    bench.list("s1", {foreign, foreign, foreign});
    for (int i = 0; i < 4; ++i)
        bench.send(bench.make_submit());
    // The window is half of the cold capacity of 8.
    REQUIRE(bench.all<open_stream>().size() == 1);
    bench.list("s1", {});
    REQUIRE(bench.all<open_stream>().size() == 4);
    std::cout << "foreign work: passed\n";
}
