// Guards servers against a request that crashes them, and the requests that
// ran beside it against being held for its crash.
#include "../correctness/owner_bench.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

void crash(owner_bench& bench, const std::string& server, std::uint64_t new_incarnation) {
    bench.feed(load_failed{server_name(server), backend_failure::refused});
    bench.run_for(std::chrono::milliseconds(1'500));
    bench.report(server, new_incarnation);
    bench.list(server, {}, new_incarnation);
}

submit retry(const submit& message) {
    submit next = message;
    ++next.attempt.number;
    next.run_alone = true;
    return next;
}

}  // namespace

TEST_CASE("requests of a crashed server run alone, and those that complete are cleared") {
    owner_bench bench;
    bench.add_server("s1");
    bench.add_server("s2");
    const submit culprit = bench.send(bench.make_submit());
    bench.send(bench.make_submit());
    const submit innocent = bench.send(bench.make_submit());
    const std::string server = bench.server_of(culprit);
    REQUIRE(bench.server_of(innocent) == server);
    crash(bench, server, 2);
    REQUIRE(bench.answers<attempt_failed>(culprit).size() == 1);
    REQUIRE(bench.answers<attempt_failed>(culprit)[0].strikes == 1);
    REQUIRE(bench.answers<attempt_failed>(innocent)[0].strikes == 1);

    const submit first = bench.send(retry(culprit));
    const submit second = bench.send(retry(innocent));
    // One suspect at a time, on a server with nothing else.
    const std::string alone = bench.server_of(first);
    REQUIRE(!alone.empty());
    REQUIRE(bench.server_of(second).empty());
    for (int i = 0; i < 3; ++i)
        REQUIRE(bench.server_of(bench.send(bench.make_submit())) != alone);
    crash(bench, alone, 3);
    REQUIRE(bench.answers<attempt_failed>(first)[0].strikes == 2);
    REQUIRE(bench.server_of(second) != "");
    bench.finish(second);
    REQUIRE(bench.owner.evidence().strikes(innocent.fingerprint, bench.now) == 0);

    submit again = retry(first);
    again.attempt.number = 9;
    bench.send(again);
    REQUIRE(bench.answers<submit_bounced>(again).size() == 1);
    REQUIRE(bench.answers<submit_bounced>(again)[0].reason == bounce_reason::suspected_of_crashing);
    std::cout << "suspects run alone: passed\n";
}

TEST_CASE("a clearance overrides the strike that other daemons still gossip") {
    crash_evidence here;
    crash_evidence there;
    const time_point now{std::chrono::seconds(100)};
    const std::uint64_t fingerprint = 7;
    here.on_server_death(std::span(&fingerprint, 1), false, now);
    there.on_gossip(here.export_strikes(now), now);
    const time_point later = now + std::chrono::seconds(5);
    here.on_gossip(there.export_strikes(later), later);
    here.on_completed(fingerprint);
    here.on_gossip(there.export_strikes(later), later);
    REQUIRE(here.strikes(fingerprint, later) == 0);
    there.on_gossip(here.export_strikes(later), later);
    REQUIRE(there.strikes(fingerprint, later) == 0);
    // Strikes expire.
    there.on_server_death(std::span(&fingerprint, 1), false, later);
    REQUIRE(there.strikes(fingerprint, later + std::chrono::minutes(9)) == 1);
    REQUIRE(there.strikes(fingerprint, later + std::chrono::minutes(11)) == 0);
    std::cout << "clearance by gossip: passed\n";
}
