// Guards the memory rules of fake-engine: memory that was freed without a
// cancel would hide streams that a daemon forgot to cancel.
#include "engine_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::standins;

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms));
}

engine_settings warm_settings() {
    engine_settings settings;
    settings.starts_cold = false;
    settings.kv_tokens = 1000;
    return settings;
}

const std::string prompt_of_500_tokens(2000, 'x');

}  // namespace

TEST_CASE("a stream holds its memory until it is read or cancelled") {
    engine_model model(warm_settings(), "");
    REQUIRE(model.start({"a", prompt_of_500_tokens, {}, 100, 0, {}}, at_ms(0)) == start_result::started);
    REQUIRE(model.kv_used() == 600);
    REQUIRE(model.start({"b", prompt_of_500_tokens, {}, 100, 0, {}}, at_ms(0)) == start_result::out_of_memory);
    for (int ms = 0; ms <= 60'000; ms += 10) {
        model.advance(at_ms(ms));
    }
    REQUIRE(model.find("a")->phase == stream_phase::finished);
    REQUIRE(model.kv_used() == 600);
    model.mark_read("a");
    REQUIRE(model.kv_used() == 0);
    REQUIRE(model.start({"c", prompt_of_500_tokens, {}, 100, 0, {}}, at_ms(60'000)) == start_result::started);
    model.cancel("c");
    REQUIRE(model.kv_used() == 0);
    std::cout << "stream memory: passed\n";
}

TEST_CASE("a reservation holds memory until it expires or is released") {
    engine_model model(warm_settings(), "");
    REQUIRE(model.reserve("r", 700, std::chrono::seconds(5), at_ms(0)));
    REQUIRE_FALSE(model.reserve("s", 400, std::chrono::seconds(5), at_ms(0)));
    model.advance(at_ms(5000));
    REQUIRE(model.kv_used() == 0);
    REQUIRE(model.reserve("r", 700, std::chrono::seconds(5), at_ms(6000)));
    REQUIRE(model.reserve("r", 700, duration::zero(), at_ms(7000)));
    model.advance(at_ms(60'000));
    REQUIRE(model.kv_used() == 700);
    model.release("r");
    REQUIRE(model.kv_used() == 0);
    std::cout << "reservations: passed\n";
}
