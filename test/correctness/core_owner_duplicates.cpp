// Tests that an attempt runs at most once: a submit must not run if it is a
// duplicate, or arrives after its cancellation or after a query that was
// answered "unknown".
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

void query(owner_fixture& fixture, const submit& message, std::uint64_t have) {
    auto context = fixture.ctx();
    fixture.owner.on_query(message.attempt.request.origin, {message.attempt, have}, context);
}

void cancel(owner_fixture& fixture, const submit& message) {
    auto context = fixture.ctx();
    fixture.owner.on_cancel(message.attempt.request.origin, {message.attempt}, context);
}

}  // namespace

TEST_CASE("a duplicate submit is answered and not run again") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    fixture.send(message);
    REQUIRE(fixture.answers<submit_accepted>(message).size() == 2);
    fixture.finish(message);
    fixture.send(message);
    REQUIRE(fixture.answers<attempt_finished>(message).size() == 2);
    // After the resend buffer is gone the end is still known.
    fixture.run_for(std::chrono::seconds(20));
    fixture.send(message);
    REQUIRE(fixture.answers<attempt_finished>(message).size() == 3);
    REQUIRE(fixture.answers<submit_bounced>(message).empty());
    REQUIRE(fixture.all<open_stream>().size() == 1);
    std::cout << "duplicate submits: passed\n";
}

TEST_CASE("a submit after a query answered unknown is bounced") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit late = fixture.make_submit();
    query(fixture, late, 0);
    REQUIRE(fixture.answers<attempt_status>(late).size() == 1);
    REQUIRE(fixture.answers<attempt_status>(late)[0].state == attempt_state::unknown);
    fixture.run_for(std::chrono::seconds(60));
    fixture.send(late);
    REQUIRE(fixture.answers<submit_bounced>(late).size() == 1);
    REQUIRE(fixture.answers<submit_bounced>(late)[0].reason == bounce_reason::tombstoned);
    REQUIRE(fixture.all<open_stream>().empty());
    std::cout << "tombstones: passed\n";
}

TEST_CASE("a cancel that overtakes its submit keeps it from running") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit late = fixture.make_submit();
    cancel(fixture, late);
    fixture.send(late);
    REQUIRE(fixture.answers<submit_bounced>(late).size() == 1);
    REQUIRE(fixture.all<open_stream>().empty());
    std::cout << "cancel before submit: passed\n";
}

TEST_CASE("a query resends what is missing and the end") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.send(fixture.make_submit());
    fixture.finish(message, {"a", "b", "c"});
    fixture.out.clear();
    query(fixture, message, 1);
    const auto resent = fixture.answers<attempt_tokens>(message);
    REQUIRE(resent.size() == 1);
    REQUIRE(resent[0].first_index == 1);
    REQUIRE(resent[0].tokens == std::vector<std::string>{"b", "c"});
    REQUIRE(fixture.answers<attempt_finished>(message).size() == 1);
    std::cout << "resend by query: passed\n";
}
