// Tests the choice of an owner. A wrong choice overloads a server, sends work
// to a zone that is out, or leaves capacity idle.
#include "placement.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>
#include <string>

using namespace verbenahold;
using namespace std::chrono_literals;

namespace {

const service_name chat("chat");
const zone_name zone_a("a");
const zone_name zone_b("b");
constexpr placement_policy all_policies[] = {placement_policy::headroom, placement_policy::least_outstanding,
                                             placement_policy::round_robin, placement_policy::random};

daemon_id owner(int number) {
    return {host_name("entry-" + std::to_string(number)), 1};
}

headroom room_in(const zone_name& zone, duration wait = 0ms) {
    headroom room;
    room.service = chat;
    room.zone = zone;
    room.servers = 2;
    room.free_slots = 20;
    room.free_short_tokens = 100'000;
    room.free_long_tokens = 50'000;
    room.largest_free_kv_tokens = 400'000;
    room.short_wait = wait;
    room.long_wait = wait;
    return room;
}

placement_query query_from(const zone_name& zone) {
    placement_query query;
    query.service = chat;
    query.uncached_tokens = 2'000;
    query.total_tokens = 2'500;
    query.own_zone = zone;
    query.time_left = 10s;
    return query;
}

struct placement_fixture {
    summary_table summaries;
    prefix_index prefixes;
    placement choices{7};
    std::uint64_t sequence = 0;

    void set(int number, const headroom& room) { summaries.on_summary(owner(number), {++sequence, {room}}, {}); }

    std::optional<placement_choice> choose(const placement_query& query,
                                           placement_policy policy = placement_policy::headroom) {
        return choices.choose(policy, query, summaries, prefixes);
    }

    // How often each owner is chosen.
    std::map<daemon_id, int> tally(const placement_query& query, int decisions,
                                   placement_policy policy = placement_policy::headroom) {
        std::map<daemon_id, int> counts;
        for (int decision = 0; decision < decisions; ++decision) {
            const auto choice = choose(query, policy);
            REQUIRE(choice);
            ++counts[choice->owner];
        }
        return counts;
    }
};

config_snapshot config_with_zone_out(const zone_name& zone) {
    record out;
    out.key = {record_kind::availability_zone, zone.value};
    out.record_version = 1;
    out.spec.insert("state", "out");
    return config_snapshot(1, {{out.key, out}});
}

}  // namespace

TEST_CASE("no policy chooses an owner in a zone that is out") {
    placement_fixture fixture;
    fixture.set(1, room_in(zone_a));
    fixture.set(2, room_in(zone_b, 5s));
    const config_snapshot config = config_with_zone_out(zone_a);
    placement_query query = query_from(zone_a);
    query.config = &config;
    for (const placement_policy policy : all_policies) {
        REQUIRE(fixture.tally(query, 100, policy) == std::map<daemon_id, int>{{owner(2), 100}});
    }
    fixture.summaries.forget(owner(2));
    for (const placement_policy policy : all_policies) {
        REQUIRE_FALSE(fixture.choose(query, policy));
    }
    std::cout << "no placement in a zone that is out: passed\n";
}

TEST_CASE("owners that bounced a request are not chosen again") {
    placement_fixture fixture;
    fixture.set(1, room_in(zone_a));
    fixture.set(2, room_in(zone_b, 5s));
    const daemon_id bounced[] = {owner(1)};
    placement_query query = query_from(zone_a);
    query.excluded = bounced;
    for (const placement_policy policy : all_policies) {
        REQUIRE(fixture.tally(query, 100, policy) == std::map<daemon_id, int>{{owner(2), 100}});
    }
    std::cout << "bounced owners are excluded: passed\n";
}

TEST_CASE("the own zone is preferred until its wait exceeds the latency to the other zone") {
    placement_fixture fixture;
    fixture.set(1, room_in(zone_a, 2ms));
    fixture.set(2, room_in(zone_b, 0ms));
    REQUIRE(fixture.choose(query_from(zone_a))->owner == owner(1));
    fixture.set(1, room_in(zone_a, 50ms));
    REQUIRE(fixture.choose(query_from(zone_a))->owner == owner(2));
    std::cout << "own zone first: passed\n";
}

TEST_CASE("owners without headroom for the length class get no work while others have it") {
    placement_fixture fixture;
    headroom full = room_in(zone_a);
    full.free_long_tokens = 1'000;
    fixture.set(1, full);
    fixture.set(2, room_in(zone_a, 1s));
    placement_query query = query_from(zone_a);
    query.length = length_class::long_prompt;
    query.uncached_tokens = 40'000;
    query.total_tokens = 41'000;
    REQUIRE(fixture.tally(query, 100) == std::map<daemon_id, int>{{owner(2), 100}});
    // The same owner still takes short work.
    REQUIRE(fixture.choose(query_from(zone_a))->owner == owner(1));
    std::cout << "headroom by length class: passed\n";
}

TEST_CASE("work sent since the last summary is subtracted from its headroom") {
    placement_fixture fixture;
    fixture.set(1, room_in(zone_a));
    fixture.set(2, room_in(zone_b, 2s));
    for (int sent = 0; sent < 20; ++sent) {
        fixture.summaries.record_sent(owner(1), chat, zone_a, 10, length_class::short_prompt);
    }
    REQUIRE(fixture.choose(query_from(zone_a))->owner == owner(2));
    std::cout << "sent work counts against headroom: passed\n";
}

TEST_CASE("without headroom anywhere the shortest predicted wait is chosen") {
    placement_fixture fixture;
    for (int number = 1; number <= 5; ++number) {
        headroom full = room_in(zone_a, 1s * (6 - number));
        full.free_slots = 0;
        fixture.set(number, full);
    }
    REQUIRE(fixture.choose(query_from(zone_a))->owner == owner(5));
    std::cout << "shortest wait without headroom: passed\n";
}

TEST_CASE("an owner with a cached prefix is preferred until its wait exceeds what the prefix saves") {
    placement_fixture fixture;
    for (int number = 1; number <= 50; ++number) {
        fixture.set(number, room_in(zone_a));
    }
    const std::vector<std::uint64_t> hashes{11, 22, 33};
    fixture.prefixes.on_completed(server_name("server-9"), owner(9), hashes, 0);
    placement_query query = query_from(zone_a);
    query.prefix_hashes = hashes;
    const auto choice = fixture.choose(query);
    REQUIRE(choice->owner == owner(9));
    REQUIRE(choice->preferred_server);
    REQUIRE(choice->preferred_server->value == "server-9");
    REQUIRE(choice->cached_tokens == 3 * prefix_block_tokens);
    // Three blocks save 300 ms at the default speed.
    fixture.set(9, room_in(zone_a, 400ms));
    REQUIRE(fixture.choose(query)->owner != owner(9));
    std::cout << "prefix affinity: passed\n";
}

TEST_CASE("work is spread over owners in proportion to their free slots") {
    placement_fixture fixture;
    for (int number = 1; number <= 4; ++number) {
        headroom room = room_in(zone_a);
        room.free_slots = number == 1 ? 30 : 10;
        fixture.set(number, room);
    }
    const auto counts = fixture.tally(query_from(zone_a), 6'000);
    REQUIRE(counts.size() == 4);
    // All waits are equal, so the first draw decides: owner 1 has 30 of 60 slots.
    REQUIRE(counts.at(owner(1)) == Approx(3'000).margin(200));
    std::cout << "spread by free slots: passed\n";
}

TEST_CASE("round robin and random give each server the same share") {
    placement_fixture fixture;
    headroom large = room_in(zone_a);
    large.servers = 6;
    fixture.set(1, large);
    fixture.set(2, room_in(zone_b));
    REQUIRE(fixture.tally(query_from(zone_a), 800, placement_policy::round_robin).at(owner(1)) == 600);
    REQUIRE(fixture.tally(query_from(zone_a), 8'000, placement_policy::random).at(owner(1)) ==
            Approx(6'000).margin(200));
    std::cout << "baseline shares: passed\n";
}

TEST_CASE("least outstanding counts requests per server and those sent since") {
    placement_fixture fixture;
    headroom room = room_in(zone_a);
    room.in_flight = 6;
    fixture.set(1, room);
    room.servers = 6;
    room.in_flight = 12;
    fixture.set(2, room);
    REQUIRE(fixture.choose(query_from(zone_a), placement_policy::least_outstanding)->owner == owner(2));
    for (int sent = 0; sent < 7; ++sent) {
        fixture.summaries.record_sent(owner(2), chat, zone_a, 10, length_class::short_prompt);
    }
    REQUIRE(fixture.choose(query_from(zone_a), placement_policy::least_outstanding)->owner == owner(1));
    std::cout << "least outstanding: passed\n";
}
