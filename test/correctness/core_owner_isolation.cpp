// Tests that long prompts don't delay short ones, and that long prompts are not
// starved by short and medium ones.
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

constexpr std::int64_t long_tokens = 90'000;

int count_running(const owner_fixture& fixture, const std::vector<submit>& messages) {
    return static_cast<int>(
        std::ranges::count_if(messages, [&](const submit& message) { return !fixture.server_of(message).empty(); }));
}

}  // namespace

TEST_CASE("only one long prefill runs while short work is present") {
    owner_fixture fixture(16);
    fixture.add_server("s1");
    const submit first = fixture.send(fixture.make_submit());
    std::vector<submit> longs;
    for (int i = 0; i < 6; ++i)
        longs.push_back(fixture.send(fixture.make_submit(long_tokens)));
    // One long prefill at a time.
    REQUIRE(count_running(fixture, longs) == 1);
    // A short request starts at once, with a higher engine priority.
    const submit second = fixture.send(fixture.make_submit());
    REQUIRE(fixture.server_of(second) == "s1");
    const auto opened = fixture.all<open_stream>();
    REQUIRE(opened[1].priority == priority_long);
    REQUIRE(opened[2].priority == priority_short);
    std::cout << "one long prefill beside short work: passed\n";
}

TEST_CASE("long work takes the whole server when no short work is present") {
    owner_fixture fixture(16);
    fixture.add_server("s1");
    std::vector<submit> longs;
    for (int i = 0; i < 6; ++i)
        longs.push_back(fixture.send(fixture.make_submit(long_tokens)));
    // 400,000 tokens of KV memory hold four of them.
    REQUIRE(count_running(fixture, longs) == 4);
    std::cout << "long work alone: passed\n";
}

TEST_CASE("long work is not starved by continuous short work") {
    owner_fixture fixture(8);
    fixture.add_server("s1");
    std::vector<submit> shorts;
    for (int i = 0; i < 10; ++i)
        shorts.push_back(fixture.send(fixture.make_submit()));
    // Above the long share of 200,000 tokens.
    const submit long_one = fixture.send(fixture.make_submit(250'000));
    for (int i = 0; i < 60 && fixture.server_of(long_one).empty(); ++i) {
        // Each short request that finishes is replaced by another.
        for (submit& message : shorts)
            if (!fixture.server_of(message).empty()) {
                fixture.finish(message);
                message = fixture.send(fixture.make_submit());
                break;
            }
        for (const submit& message : shorts)
            fixture.feed(stream_heartbeat{server_name("s1"), fixture.stream_of(message)});
        fixture.run_for(std::chrono::milliseconds(100));
        fixture.report("s1", 1);
    }
    REQUIRE(fixture.server_of(long_one) == "s1");
    REQUIRE(fixture.now < time_point{std::chrono::seconds(1'007)});
    std::cout << "long work ages: passed\n";
}

TEST_CASE("aged long work gets memory that medium work would otherwise keep refilling") {
    owner_fixture fixture(16);
    fixture.add_server("s1");
    const auto keep_running = [&](std::vector<submit>& mediums) {
        for (submit& message : mediums) {
            fixture.feed(stream_tokens{server_name("s1"), fixture.stream_of(message), 0, {"x"}});
            fixture.feed(stream_heartbeat{server_name("s1"), fixture.stream_of(message)});
        }
    };
    std::vector<submit> mediums;
    for (int i = 0; i < 16; ++i) {
        mediums.push_back(fixture.send(fixture.make_submit(32'000)));
        keep_running(mediums);
    }
    const submit long_one = fixture.send(fixture.make_submit(300'000));
    for (int i = 0; i < 150 && fixture.server_of(long_one).empty(); ++i) {
        const auto ended =
            std::ranges::find_if(mediums, [&](const submit& message) { return !fixture.server_of(message).empty(); });
        if (ended != mediums.end()) {
            const submit message = *ended;
            mediums.erase(ended);
            fixture.feed(stream_finished{server_name("s1"), fixture.stream_of(message), 1, 0, "stop"});
            mediums.push_back(fixture.send(fixture.make_submit(32'000)));
        }
        keep_running(mediums);
        fixture.run_for(std::chrono::milliseconds(100));
    }
    REQUIRE(fixture.server_of(long_one) == "s1");
    std::cout << "memory for aged long work: passed\n";
}
