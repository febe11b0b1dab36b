// Tests deadlines: every request must have an answer or error by its deadline,
// and a request that ran must not be reported as not run.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("an attempt still queued at its deadline fails as not run") {
    owner_fixture fixture(1);
    fixture.add_server("s1");
    fixture.list("s1", {{"entry-2.1.1.1.entry-2.1", 1'000, true, {}}});
    submit message = fixture.make_submit();
    message.time_left = std::chrono::seconds(3);
    fixture.send(message);
    REQUIRE(fixture.owner.queued() == 1);
    REQUIRE(fixture.owner.next_wakeup() <= fixture.now + message.time_left);
    fixture.run_for(std::chrono::seconds(3));
    const auto failed = fixture.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].reason == attempt_failure::deadline_passed);
    REQUIRE(failed[0].ran == ran_state::no);
    REQUIRE(fixture.owner.queued() == 0);
    REQUIRE(fixture.all<open_stream>().empty());
    std::cout << "queue deadline: passed\n";
}

TEST_CASE("the deadline of a running attempt cancels its stream") {
    owner_fixture fixture;
    fixture.add_server("s1");
    submit message = fixture.make_submit();
    message.time_left = std::chrono::seconds(1);
    message.predicted_output_tokens = 1;
    fixture.send(message);
    fixture.feed(stream_tokens{server_name("s1"), fixture.stream_of(message), 0, {"x"}});
    fixture.run_for(std::chrono::seconds(1));
    const auto failed = fixture.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::yes);
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    REQUIRE(fixture.all<cancel_stream>()[0].stream == fixture.stream_of(message));
    std::cout << "running deadline: passed\n";
}

TEST_CASE("draining bounces queued attempts and lets running ones end") {
    owner_fixture fixture(2);
    fixture.add_server("s1");
    const submit running = fixture.send(fixture.make_submit());
    const submit queued = fixture.send(fixture.make_submit());
    auto context = fixture.ctx();
    fixture.owner.begin_drain(context);
    REQUIRE(fixture.answers<submit_bounced>(queued).size() == 1);
    fixture.finish(running);
    REQUIRE(fixture.answers<attempt_finished>(running).size() == 1);
    REQUIRE(fixture.answers<submit_bounced>(fixture.send(fixture.make_submit())).empty() == false);
    REQUIRE(fixture.all<open_stream>().size() == 1);
    std::cout << "drain: passed\n";
}

TEST_CASE("losing the last server bounces queued attempts") {
    owner_fixture fixture(2);
    fixture.add_server("s1");
    const submit running = fixture.send(fixture.make_submit());
    const submit queued = fixture.send(fixture.make_submit());
    auto context = fixture.ctx();
    fixture.owner.lose(server_name("s1"), context);
    REQUIRE(fixture.answers<submit_bounced>(queued).size() == 1);
    REQUIRE(fixture.owner.running() == 1);
    fixture.finish(running);
    REQUIRE(fixture.answers<attempt_finished>(running).size() == 1);
    std::cout << "lost server: passed\n";
}
