// Tests that an attempt runs at most once: a submit must not run if it is a
// duplicate, or arrives after its cancellation or after a query that was
// answered "unknown".
#include "owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

void query(owner_bench& bench, const submit& message, std::uint64_t have) {
    auto context = bench.ctx();
    bench.owner.on_query(message.attempt.request.origin, {message.attempt, have}, context);
}

void cancel(owner_bench& bench, const submit& message) {
    auto context = bench.ctx();
    bench.owner.on_cancel(message.attempt.request.origin, {message.attempt}, context);
}

}  // namespace

TEST_CASE("a duplicate submit is answered and not run again") {
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    bench.send(message);
    REQUIRE(bench.answers<submit_accepted>(message).size() == 2);
    bench.finish(message);
    bench.send(message);
    REQUIRE(bench.answers<attempt_finished>(message).size() == 2);
    // After the resend buffer is gone the end is still known.
    bench.run_for(std::chrono::seconds(20));
    bench.send(message);
    REQUIRE(bench.answers<attempt_finished>(message).size() == 3);
    REQUIRE(bench.answers<submit_bounced>(message).empty());
    REQUIRE(bench.all<open_stream>().size() == 1);
    std::cout << "duplicate submits: passed\n";
}

TEST_CASE("a submit after a query answered unknown is bounced") {
    owner_bench bench;
    bench.add_server("s1");
    const submit late = bench.make_submit();
    query(bench, late, 0);
    REQUIRE(bench.answers<attempt_status>(late).size() == 1);
    REQUIRE(bench.answers<attempt_status>(late)[0].state == attempt_state::unknown);
    bench.run_for(std::chrono::seconds(60));
    bench.send(late);
    REQUIRE(bench.answers<submit_bounced>(late).size() == 1);
    REQUIRE(bench.answers<submit_bounced>(late)[0].reason == bounce_reason::tombstoned);
    REQUIRE(bench.all<open_stream>().empty());
    std::cout << "tombstones: passed\n";
}

TEST_CASE("a cancel that overtakes its submit keeps it from running") {
    owner_bench bench;
    bench.add_server("s1");
    const submit late = bench.make_submit();
    cancel(bench, late);
    bench.send(late);
    REQUIRE(bench.answers<submit_bounced>(late).size() == 1);
    REQUIRE(bench.all<open_stream>().empty());
    std::cout << "cancel before submit: passed\n";
}

TEST_CASE("a query resends what is missing and the end") {
    owner_bench bench;
    bench.add_server("s1");
    const submit message = bench.send(bench.make_submit());
    bench.finish(message, {"a", "b", "c"});
    bench.out.clear();
    query(bench, message, 1);
    const auto resent = bench.answers<attempt_tokens>(message);
    REQUIRE(resent.size() == 1);
    REQUIRE(resent[0].first_index == 1);
    REQUIRE(resent[0].tokens == std::vector<std::string>{"b", "c"});
    REQUIRE(bench.answers<attempt_finished>(message).size() == 1);
    std::cout << "resend by query: passed\n";
}
