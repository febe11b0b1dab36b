// Tests the sweep of leaked engine memory: streams of dead daemons must be
// freed, but never a stream that still has a reader.
#include "../correctness/owner_fixture.hpp"

#include "memory_sweep.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

// Tells the membership of a live daemon and a dead one.
void add_members(owner_fixture& fixture) {
    const auto update = [](const char* host, member_state state) {
        return member_update{{host_name(host), 1}, zone_name("a"), endpoint{"127.0.0.1:2"}, {}, state, 0};
    };
    probe message;
    message.gossip.updates = {update("entry-2", member_state::alive), update("entry-3", member_state::alive),
                              update("entry-3", member_state::dead)};
    fixture.members.on_probe({host_name("entry-2"), 1}, message, fixture.now, fixture.out);
}

listed_stream stream_by(const char* owner, bool reader) {
    return {std::string("entry-2.1.5.1.") + owner + ".1", 1'000, reader, {}};
}

}  // namespace

TEST_CASE("the sweep frees streams of dead owners that nobody reads") {
    owner_fixture fixture;
    add_members(fixture);
    REQUIRE(fixture.members.is_live({host_name("entry-2"), 1}));
    REQUIRE(fixture.members.is_dead_for({host_name("entry-3"), 1}, duration::zero(), fixture.now));
    fixture.add_server("s1");
    const std::vector<listed_stream> streams{stream_by("entry-2", false), stream_by("entry-3", false)};
    fixture.list("s1", streams);
    fixture.now += std::chrono::seconds(5);
    fixture.list("s1", streams);
    REQUIRE(fixture.all<cancel_stream>().empty());
    fixture.now += std::chrono::seconds(6);
    fixture.list("s1", streams);
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    REQUIRE(fixture.all<cancel_stream>()[0].stream == streams[1].stream);
    std::cout << "sweep of dead owners: passed\n";
}

TEST_CASE("the sweep never cancels a stream with a reader or one of this daemon's attempts") {
    owner_fixture fixture;
    add_members(fixture);
    fixture.add_server("s1");
    const submit running = fixture.send(fixture.make_submit());
    const listed_stream own{fixture.stream_of(running), 1'000, false, {}};
    for (int i = 0; i < 10; ++i) {
        fixture.list("s1", {own, stream_by("entry-2", true), stream_by("entry-3", true), {"not ours", 1, false, {}}});
        fixture.now += std::chrono::seconds(5);
    }
    REQUIRE(fixture.all<cancel_stream>().empty());
    std::cout << "sweep spares live streams: passed\n";
}

TEST_CASE("the sweep cancels an own stream that this daemon does not know at the second listing") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const listed_stream forgotten{"entry-2.1.5.1.entry-1.42", 1'000, false, {}};
    fixture.list("s1", {forgotten});
    REQUIRE(fixture.all<cancel_stream>().empty());
    fixture.list("s1", {forgotten});
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    std::cout << "sweep of forgotten streams: passed\n";
}

TEST_CASE("attempts of a dead caller side are cancelled") {
    owner_fixture fixture;
    add_members(fixture);
    fixture.add_server("s1");
    submit message = fixture.make_submit();
    message.attempt.request.origin = {host_name("entry-3"), 1};
    fixture.send(message);
    REQUIRE(fixture.owner.running() == 1);
    fixture.run_for(std::chrono::milliseconds(200));
    REQUIRE(fixture.owner.running() == 0);
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    std::cout << "dead caller side: passed\n";
}
