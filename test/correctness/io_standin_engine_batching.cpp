// Guards the cost model of fake-engine: if long and short prompts did not
// compete for prefill, isolation experiments could not fail.
#include "engine_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::standins;

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point(std::chrono::milliseconds(ms));
}

// Time until the stream has its first new token.
std::int64_t first_token_ms(engine_model& model, const std::string& id, std::int64_t from_ms) {
    const std::int64_t had = model.find(id)->produced;
    std::int64_t ms = from_ms;
    while (model.find(id)->produced == had && ms < from_ms + 100'000) {
        ms += 10;
        model.advance(at_ms(ms));
    }
    return ms - from_ms;
}

engine_settings warm_settings() {
    engine_settings settings;
    settings.starts_cold = false;
    settings.prefill_tokens_per_second = 10'000;
    return settings;
}

const std::string prompt_of_2000_tokens(8000, 's');
const std::string prompt_of_50000_tokens(200'000, 'l');

}  // namespace

TEST_CASE("prefill goes to the highest priority first") {
    engine_model low(warm_settings(), "");
    REQUIRE(low.start({"long", prompt_of_50000_tokens, {}, 10, 0, {}}, at_ms(0)) == start_result::started);
    REQUIRE(low.start({"short", prompt_of_2000_tokens, {}, 10, 0, {}}, at_ms(0)) == start_result::started);
    REQUIRE(first_token_ms(low, "short", 0) >= 5000);

    engine_model high(warm_settings(), "");
    REQUIRE(high.start({"long", prompt_of_50000_tokens, {}, 10, 0, {}}, at_ms(0)) == start_result::started);
    REQUIRE(high.start({"short", prompt_of_2000_tokens, {}, 10, 10, {}}, at_ms(0)) == start_result::started);
    REQUIRE(first_token_ms(high, "short", 0) <= 220);
    std::cout << "prefill by priority: passed\n";
}

TEST_CASE("a cached prefix is not prefilled again") {
    engine_model model(warm_settings(), "");
    REQUIRE(model.start({"a", prompt_of_50000_tokens, {}, 1, 0, {}}, at_ms(0)) == start_result::started);
    REQUIRE(first_token_ms(model, "a", 0) >= 4900);
    REQUIRE(model.start({"b", prompt_of_50000_tokens, {}, 1, 0, {}}, at_ms(10'000)) == start_result::started);
    REQUIRE(model.find("b")->cached_tokens == 48 * 1024);
    REQUIRE(first_token_ms(model, "b", 10'000) <= 200);
    REQUIRE(model.cache().changes(0, at_ms(10'000)).size() == 48);
    std::cout << "cached prefix: passed\n";
}

TEST_CASE("a resumed stream goes on after the tokens of earlier attempts") {
    engine_model model(warm_settings(), "");
    REQUIRE(model.start({"a", "hello", {"x", "y"}, 3, 0, {}}, at_ms(0)) == start_result::started);
    model.advance(at_ms(1000));
    REQUIRE(model.find("a")->produced == 3);
    REQUIRE(model.find("a")->phase == stream_phase::finished);
    REQUIRE(model.counters().wrong_generated == 2);
    std::cout << "resumed stream: passed\n";
}

TEST_CASE("a group stalls when a part is lost and prefills only that part again") {
    engine_model model(warm_settings(), "");
    const std::vector<group_part> parts{{"p1", "r1", 20'000, false}, {"p2", "r2", 20'000, false}};
    REQUIRE(model.start({"g", prompt_of_50000_tokens, {}, 1000, 0, parts}, at_ms(0)) == start_result::started);
    REQUIRE(model.kv_used() == 11'000);
    first_token_ms(model, "g", 0);
    model.lose_part("g", "p1");
    const std::int64_t stalled_at = model.find("g")->produced;
    model.advance(at_ms(20'000));
    REQUIRE(model.find("g")->produced == stalled_at);
    REQUIRE(model.replace_part("g", "p1", {"p3", "r3", 20'000, false}, 0));
    REQUIRE(model.find("g")->prefill_left == 20'000);
    REQUIRE(first_token_ms(model, "g", 20'000) <= 2010);
    std::cout << "group with a lost part: passed\n";
}
