// Tests streams whose connection goes silent: the answer must continue over a
// new connection, and a server that stays silent must be treated as dead.
#include "../correctness/owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("a silent stream is reopened from its last token") {
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    const std::string stream = bench.stream_of(message);
    bench.feed(stream_tokens{server_name("s1"), stream, 0, {"a", "b"}});
    bench.run_for(std::chrono::milliseconds(2'100));
    REQUIRE(bench.all<reopen_stream>().size() == 1);
    REQUIRE(bench.all<reopen_stream>()[0].from_index == 2);
    // A heartbeat resets the count of consecutive silences.
    bench.feed(stream_heartbeat{server_name("s1"), stream});
    bench.run_for(std::chrono::milliseconds(2'100));
    REQUIRE(bench.all<reopen_stream>().size() == 2);
    REQUIRE(bench.answers<attempt_failed>(message).empty());
    std::cout << "silent stream reopened: passed\n";
}

TEST_CASE("a server is treated as dead after two silences in a row") {
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    bench.run_for(std::chrono::milliseconds(4'300));
    const auto failed = bench.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].reason == attempt_failure::server_died);
    REQUIRE(failed[0].strikes == 1);
    // The stream may still be running there.
    REQUIRE(bench.all<cancel_stream>().size() == 1);
    // No other server is left.
    REQUIRE(bench.answers<submit_bounced>(bench.send(bench.make_submit())).size() == 1);
    REQUIRE(bench.all<open_stream>().size() == 1);
    std::cout << "two silences: passed\n";
}

TEST_CASE("a lost stream of a restarted server gets a strike, of a live one none") {
    const bool restarted = GENERATE(true, false);
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    bench.feed(stream_tokens{server_name("s1"), bench.stream_of(message), 0, {"a"}});
    bench.now += std::chrono::seconds(1);
    bench.fail(message, backend_failure::reset);
    REQUIRE(bench.all<reopen_stream>().size() == 1);
    bench.fail(message, backend_failure::unknown_stream);
    bench.list("s1", {}, restarted ? 2 : 1);
    const auto failed = bench.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::yes);
    REQUIRE(failed[0].strikes == (restarted ? 1 : 0));
    std::cout << "lost stream, restarted " << restarted << ": passed\n";
}

TEST_CASE("a non-idempotent call whose connection fails ends with an unknown outcome") {
    owner_bench bench;
    bench.add_server("p1", true, "shop");
    bench.add_server("p2", true, "shop");
    const submit order = bench.send(bench.make_call(false));
    REQUIRE(bench.all<call_service>().size() == 1);
    const server_name server = bench.all<call_service>()[0].server;
    bench.feed(service_failed{server, order.attempt, backend_failure::reset});
    const auto failed = bench.answers<attempt_failed>(order);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::unknown);
    bench.send(order);
    bench.run_for(std::chrono::seconds(1));
    REQUIRE(bench.all<call_service>().size() == 1);

    // A refused connection proves that the call was not sent.
    const submit second = bench.send(bench.make_call(false));
    bench.feed(service_failed{bench.all<call_service>()[1].server, second.attempt, backend_failure::refused});
    REQUIRE(bench.all<call_service>().size() == 3);
    std::cout << "non-idempotent calls: passed\n";
}
