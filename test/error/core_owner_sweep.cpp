// Tests the sweep of leaked engine memory: streams of dead daemons must be
// freed, but never a stream that still has a reader.
#include "../correctness/owner_bench.hpp"

#include "memory_sweep.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

// Tells the membership of a live daemon and a dead one.
void introduce(owner_bench& bench) {
    const auto update = [](const char* host, member_state state) {
        return member_update{{host_name(host), 1}, zone_name("a"), endpoint{"127.0.0.1:2"}, {}, state, 0};
    };
    probe message;
    message.gossip.updates = {update("entry-2", member_state::alive), update("entry-3", member_state::alive),
                              update("entry-3", member_state::dead)};
    bench.members.on_probe({host_name("entry-2"), 1}, message, bench.now, bench.out);
}

listed_stream stream_by(const char* owner, bool reader) {
    return {std::string("entry-2.1.5.1.") + owner + ".1", 1'000, reader, {}};
}

}  // namespace

TEST_CASE("the sweep frees streams of dead owners that nobody reads") {
    owner_bench bench;
    introduce(bench);
    REQUIRE(bench.members.is_live({host_name("entry-2"), 1}));
    REQUIRE(bench.members.is_dead_for({host_name("entry-3"), 1}, duration::zero(), bench.now));
    bench.add_server("s1");
    const std::vector<listed_stream> streams{stream_by("entry-2", false), stream_by("entry-3", false)};
    bench.list("s1", streams);
    bench.now += std::chrono::seconds(5);
    bench.list("s1", streams);
    REQUIRE(bench.all<cancel_stream>().empty());
    bench.now += std::chrono::seconds(6);
    bench.list("s1", streams);
    REQUIRE(bench.all<cancel_stream>().size() == 1);
    REQUIRE(bench.all<cancel_stream>()[0].stream == streams[1].stream);
    std::cout << "sweep of dead owners: passed\n";
}

TEST_CASE("the sweep never cancels a stream with a reader or one of this daemon's attempts") {
    owner_bench bench;
    introduce(bench);
    bench.add_server("s1");
    const submit running = bench.send(bench.make_submit());
    const listed_stream own{bench.stream_of(running), 1'000, false, {}};
    for (int i = 0; i < 10; ++i) {
        bench.list("s1", {own, stream_by("entry-2", true), stream_by("entry-3", true), {"not ours", 1, false, {}}});
        bench.now += std::chrono::seconds(5);
    }
    REQUIRE(bench.all<cancel_stream>().empty());
    std::cout << "sweep spares live streams: passed\n";
}

TEST_CASE("the sweep cancels an own stream that this daemon does not know at the second listing") {
    owner_bench bench;
    bench.add_server("s1");
    const listed_stream forgotten{"entry-2.1.5.1.entry-1.42", 1'000, false, {}};
    bench.list("s1", {forgotten});
    REQUIRE(bench.all<cancel_stream>().empty());
    bench.list("s1", {forgotten});
    REQUIRE(bench.all<cancel_stream>().size() == 1);
    std::cout << "sweep of forgotten streams: passed\n";
}

TEST_CASE("attempts of a dead caller side are cancelled") {
    owner_bench bench;
    introduce(bench);
    bench.add_server("s1");
    submit message = bench.make_submit();
    message.attempt.request.origin = {host_name("entry-3"), 1};
    bench.send(message);
    REQUIRE(bench.owner.running() == 1);
    bench.run_for(std::chrono::milliseconds(200));
    REQUIRE(bench.owner.running() == 0);
    REQUIRE(bench.all<cancel_stream>().size() == 1);
    std::cout << "dead caller side: passed\n";
}
