// Tests which requests are held responsible for servers that crash. Guards against
// harmful requests that go unrecognized because no two are alike or because each daemon
// sees few of them, and against blocking sound ones that share nearly everything with
// them.
#include "crash_attribution.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <random>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

constexpr request_trait shared = 1;
constexpr request_trait deadly = 2;
constexpr request_trait harmless = 3;

time_point at(duration since_start) {
    return time_point(1h + since_start);
}

// The trait of a request as a whole.
request_trait own(int number) {
    return 1'000U + static_cast<request_trait>(number);
}

using traits = std::vector<request_trait>;

// Servers crash one after the other on different requests with the deadly part.
void crash_servers(crash_attribution& daemon, int count, const traits& others = {shared}) {
    for (int number = 0; number < count; ++number) {
        traits lost{own(number), deadly};
        lost.insert(lost.end(), others.begin(), others.end());
        daemon.on_crash({static_cast<std::uint64_t>(100 + number), at(number * 1s), lost}, at(number * 1s));
    }
}

}  // namespace

TEST_CASE("a repeated request is blocked after several crashes, at every daemon that knows, until it is answered") {
    const auto print = trait_of_request("account", "/path", "body");
    CHECK(print != trait_of_request("account", "/path", "other"));
    CHECK(print != trait_of_request("other", "/path", "body"));
    crash_attribution first;
    const traits lost{print};
    for (int crash = 1; crash < crashes_to_block; ++crash) {
        first.on_crash({static_cast<std::uint64_t>(crash), at(crash * 1s), lost}, at(crash * 1s));
        CHECK_FALSE(first.is_blocked(lost, at(crash * 1s)));
    }
    first.on_crash({9, at(5s), lost}, at(5s));
    CHECK(first.is_blocked(lost, at(5s)));
    CHECK_FALSE(first.is_blocked(lost, at(5s) + block_time + 1s));

    crash_attribution other;
    for (const auto& block : first.list_blocks(at(6s))) {
        other.on_reported_block(block, at(6s));
    }
    CHECK(other.is_blocked(lost, at(6s)));
    CHECK_FALSE(other.on_sound_request(lost, at(7s), at(7s)).empty());
    CHECK_FALSE(other.is_blocked(lost, at(7s)));
    // The daemon that blocked it learns that too.
    for (const auto& block : other.list_blocks(at(8s))) {
        first.on_reported_block(block, at(8s));
    }
    CHECK_FALSE(first.is_blocked(lost, at(8s)));
}

TEST_CASE("different requests are blocked by the part that they share, sound ones that share the rest are not") {
    crash_attribution daemon;
    crash_servers(daemon, 2);
    daemon.on_sound_request(traits{own(50), shared, harmless}, at(1'500ms), at(1'500ms));
    CHECK_FALSE(daemon.is_blocked(traits{own(60), shared, deadly}, at(2s)));
    crash_servers(daemon, 4);
    CHECK(daemon.is_blocked(traits{own(61), shared, deadly}, at(4s)));
    CHECK(daemon.is_blocked(traits{own(61), deadly, 77}, at(4s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(62), shared, harmless}, at(4s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(62), shared}, at(4s)));
}

TEST_CASE("parts that only came together are blocked together, and apart once one of them is known to be sound") {
    crash_attribution daemon;
    crash_servers(daemon, 3);
    CHECK(daemon.is_blocked(traits{own(1), shared, deadly}, at(4s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(1), shared}, at(4s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(1), deadly}, at(4s)));
    daemon.on_sound_request(traits{own(2), shared}, at(5s), at(5s));
    CHECK(daemon.is_blocked(traits{own(1), deadly}, at(6s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(1), shared}, at(6s)));
}

TEST_CASE("a harmful request that was tried several times does not hide what others share with it") {
    crash_attribution daemon;
    const traits first{own(1), shared, deadly};
    for (std::uint64_t run = 1; run <= 3; ++run) {
        daemon.on_crash({run, at(run * 1s), first}, at(run * 1s));
    }
    CHECK(daemon.is_blocked(first, at(4s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(2), shared, deadly}, at(4s)));
    daemon.on_sound_request(traits{own(9), shared, harmless}, at(5s), at(5s));
    daemon.on_crash({4, at(6s), traits{own(2), shared, deadly}}, at(6s));
    CHECK(daemon.is_blocked(traits{own(3), deadly}, at(7s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(3), shared}, at(7s)));
}

TEST_CASE("two harmful parts at once are both blocked") {
    crash_attribution daemon;
    constexpr request_trait second_deadly = 4;
    for (std::uint64_t run = 1; run <= 8; ++run) {
        const auto part = run % 2 == 0 ? deadly : second_deadly;
        daemon.on_crash({run, at(run * 1s), traits{own(static_cast<int>(run)), shared, part}}, at(run * 1s));
        daemon.on_sound_request(traits{own(90), shared, harmless}, at(run * 1s + 500ms), at(run * 1s + 500ms));
    }
    CHECK(daemon.is_blocked(traits{own(61), shared, deadly}, at(9s)));
    CHECK(daemon.is_blocked(traits{own(61), shared, second_deadly}, at(9s)));
    CHECK_FALSE(daemon.is_blocked(traits{own(61), shared, harmless}, at(9s)));
}

TEST_CASE("requests that were lost beside the harmful one are not held responsible") {
    crash_attribution daemon;
    // The bystanders are always there, and no server answered one since.
    crash_servers(daemon, 3);
    daemon.on_sound_request(traits{own(50), shared}, at(2'500ms), at(2'500ms));
    daemon.on_crash({200, at(3s), traits{own(51), shared, deadly}}, at(3s));
    REQUIRE(daemon.is_blocked(traits{own(60), deadly}, at(4s)));
    for (std::uint64_t run = 300; run < 306; ++run) {
        const auto when = at(static_cast<int>(run - 300) * 1s + 5s);
        daemon.on_crash({run, when, traits{own(70), deadly}}, when);
        daemon.on_crash({run, when, traits{own(71), harmless}}, when);
    }
    CHECK_FALSE(daemon.is_blocked(traits{own(72), harmless}, at(20s)));
}

TEST_CASE("servers that are lost at the same moment block no request, however popular its part") {
    crash_attribution daemon;
    for (std::uint64_t run = 0; run < 60; ++run) {
        const auto when = at(std::chrono::microseconds(run * 1'000));
        daemon.on_crash({run, when, traits{own(static_cast<int>(run)), shared, harmless}}, when);
    }
    CHECK_FALSE(daemon.is_blocked(traits{own(99), shared, harmless}, at(1s)));
}

TEST_CASE("a part that was deadly once more after its block expired is blocked at once") {
    crash_attribution daemon;
    crash_servers(daemon, 3, {});
    const auto later = at(2s) + block_time + 1min;
    CHECK_FALSE(daemon.is_blocked(traits{own(1), deadly}, later));
    daemon.on_crash({500, later, traits{own(1), deadly}}, later);
    CHECK(daemon.is_blocked(traits{own(2), deadly}, later));
}

TEST_CASE("daemons agree on what is blocked in whatever order and however often they hear of crashes") {
    const auto seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<crash_observation> seen;
    for (std::uint64_t run = 1; run <= 6; ++run) {
        seen.push_back({run, at(run * 1s), traits{own(static_cast<int>(run)), shared, deadly}});
        seen.push_back({run, at(run * 1s), traits{own(static_cast<int>(run) + 50), shared, 20U + run % 2}});
    }
    std::vector<crash_attribution> daemons(5);
    for (auto& daemon : daemons) {
        auto heard = seen;
        heard.insert(heard.end(), seen.begin(), seen.begin() + 4);
        std::shuffle(heard.begin(), heard.end(), random);
        for (const auto& crash : heard) {
            daemon.on_crash(crash, at(7s));
        }
        daemon.on_sound_request(traits{own(90), shared, 20, 21}, at(8s), at(8s));
    }
    // One starts later and hears only what the others say.
    crash_attribution late;
    for (const auto& block : daemons.front().list_blocks(at(9s))) {
        late.on_reported_block(block, at(9s));
    }
    daemons.push_back(late);
    for (const auto& daemon : daemons) {
        CHECK(daemon.is_blocked(traits{own(91), shared, deadly}, at(9s)));
        CHECK_FALSE(daemon.is_blocked(traits{own(91), shared, 20}, at(9s)));
        CHECK_FALSE(daemon.is_blocked(traits{own(91), shared}, at(9s)));
    }
}

TEST_CASE("what is kept of crashes and sound requests is bounded") {
    crash_attribution daemon;
    for (int number = 0; number < 100'000; ++number) {
        const auto when = at(number * 1ms);
        daemon.on_sound_request(traits{own(number), shared}, when, when);
        if (number % 50 == 0) {
            daemon.on_crash({static_cast<std::uint64_t>(number), when, traits{own(-number)}}, when);
        }
    }
    CHECK(daemon.list_recent_crashes(at(100s)).size() <= max_crashes);
    CHECK(daemon.list_blocks(at(100s)).empty());
}

// The parts of prompts that consist of very many.
traits many_parts(std::uint64_t first, std::size_t count) {
    traits parts(count);
    std::iota(parts.begin(), parts.end(), first);
    return parts;
}

TEST_CASE("a harmful part is recognized wherever it stands among thousands") {
    // As many as the longest header has room for, and hashes at both ends of their range.
    const request_trait harmful = GENERATE(request_trait{1}, request_trait{1'000'500}, ~request_trait{0});
    CAPTURE(harmful);
    auto common = many_parts(1'000'000, 5'000);
    std::erase(common, harmful);
    crash_attribution daemon;
    for (std::uint64_t run = 1; run <= 3; ++run) {
        auto lost = common;
        lost.push_back(harmful);
        lost.push_back(own(static_cast<int>(run)));
        daemon.on_crash({run, at(run * 1s), lost}, at(run * 1s));
        auto sound = common;
        sound.push_back(own(static_cast<int>(run) + 50));
        daemon.on_sound_request(sound, at(run * 1s + 500ms), at(run * 1s + 500ms));
        CHECK_FALSE(daemon.is_blocked(sound, at(run * 1s + 600ms)));
    }
    auto harmful_request = common;
    harmful_request.push_back(harmful);
    harmful_request.push_back(own(9));
    CHECK(daemon.is_blocked(harmful_request, at(4s)));
    CHECK(daemon.is_blocked(traits{own(10), harmful}, at(4s)));
}

TEST_CASE("no suspect of a crash is left out when many requests with many parts are lost together") {
    // The culprit has the highest hash, and is lost among the last.
    constexpr request_trait harmful = ~request_trait{0};
    constexpr std::uint64_t requests = 16;
    constexpr std::size_t parts = 1'200;
    crash_attribution daemon;
    std::uint64_t next_part = 1'000'000;
    for (std::uint64_t run = 1; run <= 3; ++run) {
        for (std::uint64_t request = 0; request < requests; ++request) {
            auto lost = many_parts(next_part, parts);
            next_part += parts;
            if (request + 1 == requests) {
                lost.push_back(harmful);
            }
            daemon.on_crash({run, at(run * 1s), lost}, at(run * 1s));
        }
    }
    CHECK(daemon.is_blocked(traits{own(1), harmful}, at(4s)));
    CHECK_FALSE(daemon.is_blocked(many_parts(1'000'000, parts), at(4s)));
    // Others are told of all of them.
    crash_attribution other;
    for (const auto& crash : daemon.list_recent_crashes(at(4s))) {
        CHECK(crash.traits.size() == requests * parts + 1);
        other.on_crash(crash, at(4s));
    }
    CHECK(other.is_blocked(traits{own(1), harmful}, at(4s)));
}

TEST_CASE("the memory for suspects is bounded by forgetting whole crashes, the oldest first") {
    crash_attribution daemon;
    constexpr std::size_t parts = 20'000;
    std::uint64_t next_part = 1'000'000;
    std::size_t most = 0;
    for (std::uint64_t run = 1; run <= 40; ++run) {
        auto lost = many_parts(next_part, parts);
        next_part += parts;
        lost.push_back(deadly);
        daemon.on_crash({run, at(run * 1s), lost}, at(run * 1s));
        most = std::max(most, daemon.count_suspects());
    }
    std::cout << "suspects at most " << most << " of " << 40 * parts << '\n';
    CHECK(most <= max_suspects);
    CHECK(daemon.is_blocked(traits{deadly}, at(41s)));
    const auto kept = daemon.list_recent_crashes(at(41s));
    CHECK(kept.size() >= 5);
    CHECK(std::all_of(kept.begin(), kept.end(), [&](const auto& crash) { return crash.traits.size() == parts + 1; }));
}

TEST_CASE("a restored block refuses nothing until a crash confirms it, and a sound request lifts it") {
    crash_attribution earlier;
    crash_servers(earlier, 3, {});
    const auto left = earlier.list_blocks_to_keep(at(4s));
    REQUIRE(left.size() == 1);
    crash_attribution daemon;
    daemon.restore_block(left.front(), at(5s));
    CHECK_FALSE(daemon.is_blocked(traits{own(1), deadly}, at(5s)));
    SECTION("a crash confirms it") {
        daemon.on_crash({900, at(6s), traits{own(1), deadly, shared}}, at(6s));
        CHECK(daemon.is_blocked(traits{own(2), deadly}, at(6s)));
        // The next daemons refuse such requests at once, for as long as it lasts.
        crash_attribution next;
        for (const auto& block : daemon.list_blocks_to_keep(at(7s))) {
            next.restore_block(block, at(8s));
        }
        CHECK(next.is_blocked(traits{own(3), deadly}, at(8s)));
        CHECK_FALSE(next.is_blocked(traits{own(3), shared}, at(8s)));
        CHECK_FALSE(next.is_blocked(traits{own(3), deadly}, at(7s) + block_time));
    }
    SECTION("a sound request lifts it, also for daemons after this one") {
        CHECK_FALSE(daemon.on_sound_request(traits{own(1), deadly, shared}, at(6s), at(6s)).empty());
        daemon.on_crash({900, at(7s), traits{own(1), deadly}}, at(7s));
        CHECK_FALSE(daemon.is_blocked(traits{own(2), deadly}, at(7s)));
        crash_attribution next;
        for (const auto& block : daemon.list_blocks_to_keep(at(7s))) {
            CHECK(block.cleared);
            next.restore_block(block, at(8s));
        }
        next.on_crash({901, at(9s), traits{own(1), deadly}}, at(9s));
        CHECK_FALSE(next.is_blocked(traits{own(2), deadly}, at(9s)));
    }
    SECTION("word of a daemon that has known it all the time holds") {
        daemon.on_reported_block(left.front(), at(6s));
        CHECK(daemon.is_blocked(traits{own(2), deadly}, at(6s)));
    }
    SECTION("an older word doesn't undo what the daemon knows") {
        daemon.on_reported_block({left.front().traits, 3, true, at(4s) + block_time}, at(6s));
        daemon.restore_block(left.front(), at(7s));
        daemon.on_crash({900, at(8s), traits{own(1), deadly}}, at(8s));
        CHECK_FALSE(daemon.is_blocked(traits{own(2), deadly}, at(8s)));
    }
}
