// Tests that a request that crashes servers is found and then refused, and that
// requests that only ran on the same server are cleared.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

void crash(owner_fixture& fixture, const std::string& server, std::uint64_t new_incarnation) {
    fixture.feed(load_failed{server_name(server), backend_failure::refused});
    fixture.run_for(std::chrono::milliseconds(1'500));
    fixture.report(server, new_incarnation);
    fixture.list(server, {}, new_incarnation);
}

submit retry(const submit& message) {
    submit next = message;
    ++next.attempt.number;
    next.run_alone = true;
    return next;
}

}  // namespace

TEST_CASE("requests of a crashed server run alone, and those that complete are cleared") {
    owner_fixture fixture;
    fixture.add_server("s1");
    fixture.add_server("s2");
    const submit culprit = fixture.send(fixture.make_submit());
    fixture.send(fixture.make_submit());
    const submit innocent = fixture.send(fixture.make_submit());
    const std::string server = fixture.server_of(culprit);
    REQUIRE(fixture.server_of(innocent) == server);
    crash(fixture, server, 2);
    REQUIRE(fixture.answers<attempt_failed>(culprit).size() == 1);
    REQUIRE(fixture.answers<attempt_failed>(culprit)[0].strikes == 1);
    REQUIRE(fixture.answers<attempt_failed>(innocent)[0].strikes == 1);

    const submit first = fixture.send(retry(culprit));
    const submit second = fixture.send(retry(innocent));
    // One suspect at a time runs, on a server without other work.
    const std::string alone = fixture.server_of(first);
    REQUIRE(!alone.empty());
    REQUIRE(fixture.server_of(second).empty());
    for (int i = 0; i < 3; ++i)
        REQUIRE(fixture.server_of(fixture.send(fixture.make_submit())) != alone);
    crash(fixture, alone, 3);
    REQUIRE(fixture.answers<attempt_failed>(first)[0].strikes == 2);
    REQUIRE(fixture.server_of(second) != "");
    fixture.finish(second);
    REQUIRE(fixture.owner.evidence().strikes(innocent.fingerprint, fixture.now) == 0);

    submit again = retry(first);
    again.attempt.number = 9;
    fixture.send(again);
    REQUIRE(fixture.answers<submit_bounced>(again).size() == 1);
    REQUIRE(fixture.answers<submit_bounced>(again)[0].reason == bounce_reason::suspected_of_crashing);
    std::cout << "suspects run alone: passed\n";
}

TEST_CASE("different prompts that begin with a text that crashes servers are held, those that share less are not") {
    constexpr std::uint64_t common = 100;
    constexpr std::uint64_t deadly = 101;
    owner_fixture fixture;
    for (int number = 0; number < 8; ++number)
        fixture.add_server("s" + std::to_string(number));
    const auto prompt = [&](std::uint64_t second, std::uint64_t own) {
        submit message = fixture.make_submit();
        message.prefix_hashes = {common, second, own};
        return message;
    };
    int crashes = 0;
    std::uint64_t incarnation = 2;
    for (std::uint64_t own = 1'000; own < 1'010; ++own) {
        const submit harmful = fixture.send(prompt(deadly, own));
        if (const std::string server = fixture.server_of(harmful); !server.empty()) {
            ++crashes;
            crash(fixture, server, incarnation++);
        }
        const submit sound = fixture.send(prompt(200 + own, 2'000 + own));
        REQUIRE(!fixture.server_of(sound).empty());
        fixture.finish(sound);
    }
    REQUIRE(crashes == serving::crashes_to_block);
    const submit harmful = fixture.send(prompt(deadly, 3'000));
    REQUIRE(fixture.answers<submit_bounced>(harmful).size() == 1);
    REQUIRE(fixture.answers<submit_bounced>(harmful)[0].reason == bounce_reason::suspected_of_crashing);

    // Other daemons learn it by gossip.
    crash_evidence there;
    there.on_gossip(fixture.owner.evidence().export_strikes(fixture.now), fixture.now);
    REQUIRE(there.is_blocked(std::vector<std::uint64_t>{common, deadly, 4'000}, fixture.now));
    REQUIRE_FALSE(there.is_blocked(std::vector<std::uint64_t>{common, 300, 4'000}, fixture.now));
    std::cout << "prompts that begin alike are held: passed\n";
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
