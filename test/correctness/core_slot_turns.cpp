// Guards against a free batch slot that several daemons take at the same moment, and against
// one that stays free while requests wait. Plays daemons that know what each other has waiting.
#include "placer.hpp"
#include "slot_turns.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <numeric>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

constexpr time_point start(10s);
constexpr int servers = 200;

server_name server(int number) {
    return server_name("server-" + std::to_string(number));
}

// Daemons 1 to n whose requests wait with these weights, as each of them sees the others.
class waiting_daemons {
public:
    explicit waiting_daemons(const std::vector<int>& weights) : m_weights(weights) {
        for (std::size_t own = 0; own < weights.size(); ++own) {
            auto& turns = m_turns.emplace_back(own + 1);
            for (std::size_t other = 0; other < weights.size(); ++other) {
                if (other != own) {
                    turns.on_waiting(other + 1, weights[other], start);
                }
            }
        }
    }

    // The daemons that have the turn at the server.
    [[nodiscard]] std::vector<std::size_t> in_turn(const server_name& at, duration unchanged) const {
        std::vector<std::size_t> found;
        for (std::size_t own = 0; own < m_turns.size(); ++own) {
            const auto contenders = m_turns[own].contenders(m_weights[own], {}, start);
            if (m_turns[own].is_own_turn(contenders, at, unchanged)) {
                found.push_back(own);
            }
        }
        return found;
    }

private:
    std::vector<int> m_weights;
    std::vector<slot_turns> m_turns;
};

}  // namespace

TEST_CASE("waiting requests are told as a power of two, at most eight") {
    CHECK(turn_weight(0) == 0);
    CHECK(turn_weight(1) == 1);
    CHECK(turn_weight(3) == 4);
    CHECK(turn_weight(1'000) == max_turn_weight);
}

TEST_CASE("one daemon at a time may take a free slot, and each of them within one round") {
    const waiting_daemons daemons({1, 2, 8, 4, 1});
    for (int number = 0; number < servers; ++number) {
        std::map<std::size_t, int> turns;
        for (int turn = 0; turn < 5; ++turn) {
            const auto found = daemons.in_turn(server(number), turn * slot_turn);
            REQUIRE(found.size() == 1);
            ++turns[found.front()];
        }
        CHECK(turns.size() == 5);
    }
}

TEST_CASE("a daemon with more waiting requests is first at more servers") {
    const waiting_daemons daemons({1, 8});
    int first = 0;
    for (int number = 0; number < servers; ++number) {
        first += daemons.in_turn(server(number), 0ms).front() == 1 ? 1 : 0;
    }
    // 8 of 9 are expected.
    CHECK(first > servers * 8 / 10);
    CHECK(first < servers);
}

TEST_CASE("a daemon alone with waiting requests always has the turn") {
    slot_turns turns(1);
    turns.on_waiting(2, 4, start);
    turns.on_waiting(3, 4, start);
    turns.on_waiting(2, 0, start);
    turns.remove_daemon(3);
    const std::vector<std::uint64_t> sharing{2, 3};
    const auto contenders = turns.contenders(1, sharing, start);
    REQUIRE(contenders.size() == 1);
    for (int number = 0; number < servers; ++number) {
        CHECK(turns.is_own_turn(contenders, server(number), number * 1ms));
    }
}

TEST_CASE("what a daemon said that has fallen silent gives it no turns") {
    slot_turns turns(1);
    turns.on_waiting(2, 4, start);
    CHECK(turns.contenders(1, {}, start + waiting_report_lifetime - 1ms).size() == 2);
    CHECK(turns.contenders(1, {}, start + waiting_report_lifetime).size() == 1);
}

TEST_CASE("while nothing waits, daemons take turns with requests that arrive at the same moment") {
    const std::vector<std::uint64_t> boots{1, 2, 3, 4};
    for (int number = 0; number < servers; ++number) {
        int found = 0;
        for (const auto own : boots) {
            std::vector<std::uint64_t> others = boots;
            std::erase(others, own);
            const slot_turns turns(own);
            found += turns.is_own_turn(turns.contenders(0, others, start), server(number), 5s) ? 1 : 0;
        }
        CHECK(found == 1);
    }
}

TEST_CASE("a weight that no daemon can have is bounded") {
    slot_turns turns(1);
    turns.on_waiting(2, 1'000'000, start);
    turns.on_waiting(3, -5, start);
    const auto contenders = turns.contenders(1, {}, start);
    REQUIRE(contenders.size() == 2);
    CHECK(contenders.back().weight == max_turn_weight);
}

TEST_CASE("a short prompt takes a last batch slot only in its daemon's turn") {
    server_registry registry;
    engine_load load;
    const server_name only("s");
    registry.update({only, service_name("llm"), "10.0.0.1:80", zone_name("a"), 3, server_phase::ready, 0}, {});
    service wanted_service;
    wanted_service.name = service_name("llm");
    auto& engine = wanted_service.engine.emplace();
    engine.batch_slots = 3;
    engine.memory_tokens = 100'000;
    engine.steps_per_iteration = 10;
    engine.step_ms = 1;
    engine.prefill_tokens_per_ms = 100;
    engine.mean_prompt_tokens = 1'000;
    load.add({1, 1}, {only, 0, 1'000, true, 200ms, 300ms, 1}, start, start + 60s);
    load.on_prefill_done({1, 1}, start);
    route matched;
    matched.form = answer_form::event_stream;
    matched.latency_target = 300ms;
    matched.event_gap_target = 200ms;
    placement_request wanted;
    wanted.wanted = &wanted_service;
    wanted.matched = &matched;
    wanted.prompt_tokens = 1'000;
    wanted.max_output_tokens = 100;
    wanted.time_left = 5s;
    const auto placed_by = [&](std::uint64_t own, time_point now) {
        slot_turns turns(own);
        turns.on_waiting(own == 1 ? 2 : 1, 1, now);
        const auto contenders = turns.contenders(1, {}, now);
        wanted.turns = &turns;
        wanted.contenders = contenders;
        placer placing(lateness_policy{}, 1);
        const auto result = placing.place(
            wanted, registry, load, [](const server_entry&) { return true; }, now);
        return std::holds_alternative<placement>(result) ? 1 : 0;
    };
    for (auto now = start; now < start + 10 * slot_turn; now += slot_turn) {
        CHECK(placed_by(1, now) + placed_by(2, now) == 1);
        CHECK(placed_by(1, now) + placed_by(1, now + slot_turn) == 1);
    }
}
