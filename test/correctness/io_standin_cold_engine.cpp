// Guards the cold phase of fake-engine: if it did not detect work above the
// cold capacity, no experiment could show that a cold server was overloaded.
#include "engine_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::standins;

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms));
}

stream_request request(const std::string& id, std::int64_t max_tokens = 10) {
    return {id, "prompt " + id, {}, max_tokens, 0, {}};
}

void run(engine_model& model, std::int64_t from_ms, std::int64_t to_ms) {
    for (std::int64_t ms = from_ms; ms <= to_ms; ms += 10) {
        model.advance(at_ms(ms));
    }
}

engine_settings cold_settings() {
    engine_settings settings;
    settings.cold_capacity = 2;
    settings.warm_after = 4;
    settings.decode_step = std::chrono::milliseconds(10);
    return settings;
}

}  // namespace

TEST_CASE("a cold engine collapses when it gets more than it carries") {
    engine_model model(cold_settings(), "");
    REQUIRE(model.start(request("a", 1000), at_ms(0)) == start_result::started);
    REQUIRE(model.start(request("b", 1000), at_ms(0)) == start_result::started);
    run(model, 0, 500);
    const std::int64_t before = model.find("a")->produced;
    REQUIRE(model.start(request("c"), at_ms(500)) == start_result::overloaded);
    REQUIRE(model.counters().cold_overloads == 1);
    run(model, 510, 1000);
    const std::int64_t slowed = model.find("a")->produced - before;
    REQUIRE(slowed * 9 < before);
    std::cout << "cold engine collapses: passed\n";
}

TEST_CASE("a cold engine becomes warm by completions") {
    engine_model model(cold_settings(), "");
    for (int i = 0; i < 4; ++i) {
        REQUIRE(model.is_cold());
        REQUIRE(model.start(request(std::to_string(i)), at_ms(i * 1000)) == start_result::started);
        run(model, i * 1000, i * 1000 + 500);
    }
    REQUIRE_FALSE(model.is_cold());
    for (int i = 10; i < 16; ++i) {
        REQUIRE(model.start(request(std::to_string(i)), at_ms(5000)) == start_result::started);
    }
    REQUIRE(model.counters().cold_overloads == 0);
    std::cout << "cold engine becomes warm: passed\n";
}
