// Tests deadlines: every request must have an answer or error by its deadline,
// and a request that ran must not be reported as not run.
#include "../correctness/owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("an attempt still queued at its deadline fails as not run") {
    owner_bench bench(1);
    bench.add_server("s1");
    bench.list("s1", {{"entry-2.1.1.1.entry-2.1", 1'000, true, {}}});
    submit message = bench.make_submit();
    message.time_left = std::chrono::seconds(3);
    bench.send(message);
    REQUIRE(bench.owner.queued() == 1);
    REQUIRE(bench.owner.next_wakeup() <= bench.now + message.time_left);
    bench.run_for(std::chrono::seconds(3));
    const auto failed = bench.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].reason == attempt_failure::deadline_passed);
    REQUIRE(failed[0].ran == ran_state::no);
    REQUIRE(bench.owner.queued() == 0);
    REQUIRE(bench.all<open_stream>().empty());
    std::cout << "queue deadline: passed\n";
}

TEST_CASE("the deadline of a running attempt cancels its stream") {
    owner_bench bench;
    bench.add_server("s1");
    submit message = bench.make_submit();
    message.time_left = std::chrono::seconds(1);
    message.predicted_output_tokens = 1;
    bench.send(message);
    bench.feed(stream_tokens{server_name("s1"), bench.stream_of(message), 0, {"x"}});
    bench.run_for(std::chrono::seconds(1));
    const auto failed = bench.answers<attempt_failed>(message);
    REQUIRE(failed.size() == 1);
    REQUIRE(failed[0].ran == ran_state::yes);
    REQUIRE(bench.all<cancel_stream>().size() == 1);
    REQUIRE(bench.all<cancel_stream>()[0].stream == bench.stream_of(message));
    std::cout << "running deadline: passed\n";
}

TEST_CASE("draining bounces queued attempts and lets running ones end") {
    owner_bench bench(2);
    bench.add_server("s1");
    const submit running = bench.send(bench.make_submit());
    const submit queued = bench.send(bench.make_submit());
    auto context = bench.ctx();
    bench.owner.begin_drain(context);
    REQUIRE(bench.answers<submit_bounced>(queued).size() == 1);
    bench.finish(running);
    REQUIRE(bench.answers<attempt_finished>(running).size() == 1);
    REQUIRE(bench.answers<submit_bounced>(bench.send(bench.make_submit())).empty() == false);
    REQUIRE(bench.all<open_stream>().size() == 1);
    std::cout << "drain: passed\n";
}

TEST_CASE("losing the last server bounces queued attempts") {
    owner_bench bench(2);
    bench.add_server("s1");
    const submit running = bench.send(bench.make_submit());
    const submit queued = bench.send(bench.make_submit());
    auto context = bench.ctx();
    bench.owner.lose(server_name("s1"), context);
    REQUIRE(bench.answers<submit_bounced>(queued).size() == 1);
    REQUIRE(bench.owner.running() == 1);
    bench.finish(running);
    REQUIRE(bench.answers<attempt_finished>(running).size() == 1);
    std::cout << "lost server: passed\n";
}
