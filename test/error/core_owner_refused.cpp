// Tests attempts that a server refused. They did not run, so they must be
// dispatched again instead of failing. A server that refuses connections is
// dead and must get no further work.
#include "../correctness/owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("owner moves an attempt that a server refused to another server") {
    owner_bench bench;
    bench.add_server("s1");
    bench.add_server("s2");
    const submit message = bench.send(bench.make_submit());
    const std::string first = bench.server_of(message);
    bench.fail(message, backend_failure::refused);
    REQUIRE(bench.server_of(message) != first);
    REQUIRE(bench.answers<attempt_failed>(message).empty());
    // The dead server gets no work until it answers polls.
    for (int i = 0; i < 4; ++i)
        REQUIRE(bench.server_of(bench.send(bench.make_submit())) != first);
    std::cout << "owner moves refused attempts: passed\n";
}

TEST_CASE("owner queues an attempt while every server is overloaded") {
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    bench.fail(message, backend_failure::overloaded);
    REQUIRE(bench.owner.queued() == 1);
    REQUIRE(bench.all<open_stream>().size() == 1);
    bench.run_for(std::chrono::milliseconds(300));
    REQUIRE(bench.all<open_stream>().size() == 2);
    REQUIRE(bench.answers<attempt_failed>(message).empty());
    std::cout << "owner queues overloaded attempts: passed\n";
}
