// Tests streams whose connection goes silent: the answer must continue over a
// new connection, and a server that stays silent must be treated as dead.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("a silent stream is reopened from its last token") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    const std::string stream = fixture.stream_of(message);
    fixture.feed(stream_tokens{server_name("s1"), stream, 0, {"a", "b"}});
    fixture.run_for(std::chrono::milliseconds(2'100));
    REQUIRE(fixture.all<reopen_stream>().size() == 1);
    REQUIRE(fixture.all<reopen_stream>()[0].from_index == 2);
    // A heartbeat resets the count of consecutive silences.
    fixture.feed(stream_heartbeat{server_name("s1"), stream});
    fixture.run_for(std::chrono::milliseconds(2'100));
    REQUIRE(fixture.all<reopen_stream>().size() == 2);
    REQUIRE(fixture.answers<attempt_failed>(message).empty());
    std::cout << "silent stream reopened: passed\n";
}

TEST_CASE("a server is treated as dead after two silences in a row") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    fixture.run_for(std::chrono::milliseconds(4'300));
    const auto failed = fixture.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].reason == attempt_failure::server_died);
    REQUIRE(failed[0].strikes == 1);
    // The stream may still be running there.
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    // No other server is left.
    REQUIRE(fixture.answers<submit_bounced>(fixture.send(fixture.make_submit())).size() == 1);
    REQUIRE(fixture.all<open_stream>().size() == 1);
    std::cout << "two silences: passed\n";
}

TEST_CASE("a lost stream of a restarted server gets a strike, of a live one none") {
    const bool restarted = GENERATE(true, false);
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    fixture.feed(stream_tokens{server_name("s1"), fixture.stream_of(message), 0, {"a"}});
    fixture.now += std::chrono::seconds(1);
    fixture.fail(message, backend_failure::reset);
    REQUIRE(fixture.all<reopen_stream>().size() == 1);
    fixture.fail(message, backend_failure::unknown_stream);
    fixture.list("s1", {}, restarted ? 2 : 1);
    const auto failed = fixture.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::yes);
    REQUIRE(failed[0].strikes == (restarted ? 1 : 0));
    std::cout << "lost stream, restarted " << restarted << ": passed\n";
}

TEST_CASE("a non-idempotent call whose connection fails ends with an unknown outcome") {
    owner_fixture fixture;
    fixture.add_server("p1", true, "shop");
    fixture.add_server("p2", true, "shop");
    const submit order = fixture.send(fixture.make_call(false));
    REQUIRE(fixture.all<call_service>().size() == 1);
    const server_name server = fixture.all<call_service>()[0].server;
    fixture.feed(service_failed{server, order.attempt, backend_failure::reset});
    const auto failed = fixture.answers<attempt_failed>(order);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::unknown);
    fixture.send(order);
    fixture.run_for(std::chrono::seconds(1));
    REQUIRE(fixture.all<call_service>().size() == 1);

    // A refused connection proves that the call was not sent.
    const submit second = fixture.send(fixture.make_call(false));
    fixture.feed(service_failed{fixture.all<call_service>()[1].server, second.attempt, backend_failure::refused});
    REQUIRE(fixture.all<call_service>().size() == 3);
    std::cout << "non-idempotent calls: passed\n";
}
