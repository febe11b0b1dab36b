// Measures what crash attribution takes of the event loop for prompts of as many parts as a
// request's header has room for. Guards against requests that delay the events of streams.
#include "crash_attribution.hpp"
#include "trait_assembly.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <numeric>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

// A header of 16,384 bytes has room for 1,260 parts with ids of eight digits.
constexpr std::size_t parts_of_prompt = 1'260;
// An engine's batch.
constexpr std::uint64_t requests_lost_together = 16;
// An event may be passed on 120 ms late. A host has a quarter of a core, so the loop may be
// held for 30 ms of processor time.
constexpr std::chrono::milliseconds longest_hold{30};

std::vector<request_trait> parts(std::uint64_t first) {
    std::vector<request_trait> traits(parts_of_prompt);
    std::iota(traits.begin(), traits.end(), first);
    return traits;
}

template <class Work>
std::chrono::nanoseconds time_of(Work&& work) {
    const auto begun = std::chrono::steady_clock::now();
    work();
    return std::chrono::steady_clock::now() - begun;
}

double in_ms(std::chrono::nanoseconds time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

TEST_CASE("no call about prompts of a thousand parts holds the event loop for long") {
    crash_attribution daemon;
    std::uint64_t next = 1'000'000;
    std::chrono::nanoseconds longest_crash{};
    const auto when = [](std::uint64_t run) { return time_point(1h + run * 1s); };
    // Harmful requests that share all parts but one, lost beside others that share nothing.
    for (std::uint64_t run = 1; run <= 12; ++run) {
        for (std::uint64_t request = 0; request < requests_lost_together; ++request) {
            auto lost = request == 0 ? parts(1) : parts(next);
            next += parts_of_prompt;
            longest_crash = std::max(longest_crash, time_of([&] {
                                         daemon.on_crash({run, when(run), lost}, when(run));
                                     }));
        }
    }
    std::chrono::nanoseconds longest_check{};
    std::chrono::nanoseconds longest_sound{};
    for (std::uint64_t request = 0; request < 200; ++request) {
        const auto sound = parts(next);
        next += parts_of_prompt;
        longest_check = std::max(longest_check, time_of([&] { CHECK_FALSE(daemon.is_blocked(sound, when(20))); }));
        longest_sound = std::max(longest_sound, time_of([&] { daemon.on_sound_request(sound, when(20), when(20)); }));
    }
    const auto heartbeat = time_of([&] { CHECK_FALSE(daemon.list_recent_crashes(when(12)).empty()); });
    std::cout << "suspects " << daemon.count_suspects() << "; longest: crash " << in_ms(longest_crash) << " ms, check "
              << in_ms(longest_check) << " ms, sound " << in_ms(longest_sound) << " ms, list for a heartbeat "
              << in_ms(heartbeat) << " ms\n";
    CHECK(daemon.is_blocked(parts(1), when(13)));
    CHECK(longest_crash < longest_hold);
    CHECK(longest_check < longest_hold);
    CHECK(longest_sound < longest_hold);
    CHECK(heartbeat < longest_hold);
}
