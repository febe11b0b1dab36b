// Checks the predictions by which admission reserves KV memory and time.
#include "cost_model.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace std::chrono_literals;

namespace {

const service_name chat("chat");
const account_name heavy("heavy");
const account_name terse("terse");

}  // namespace

TEST_CASE("the first guess reserves the whole output") {
    const cost_model costs;
    REQUIRE(costs.predict_output(chat, heavy, 700) == 700);
    REQUIRE(costs.predict_prefill(chat, 1000) == 100ms);
    REQUIRE(costs.predict_token_gap(chat) == 56ms);
    std::cout << "cost model first guess: passed\n";
}

TEST_CASE("output is predicted by account and never above the request's limit") {
    cost_model costs;
    for (int sample = 0; sample < 200; ++sample) {
        costs.on_output(chat, heavy, 400);
        costs.on_output(chat, terse, 20);
    }
    REQUIRE(costs.predict_output(chat, terse, 1000) == Approx(20).margin(2));
    REQUIRE(costs.predict_output(chat, heavy, 1000) == Approx(400).margin(5));
    REQUIRE(costs.predict_output(chat, heavy, 100) == 100);
    // An account without samples gets the service's average.
    REQUIRE(costs.predict_output(chat, account_name("new"), 1000) > 20);
    std::cout << "cost model output by account: passed\n";
}

TEST_CASE("prefill speed follows the engine and is kept for each length class") {
    cost_model costs;
    for (int sample = 0; sample < 100; ++sample) {
        costs.on_prefill(chat, 2'000, 40ms);
        costs.on_prefill(chat, 100'000, 10s);
    }
    REQUIRE(costs.predict_prefill(chat, 1'000) == 20ms);
    REQUIRE(costs.predict_prefill(chat, 200'000) == 20s);
    // The medium class has no samples and uses the fit of the short class.
    REQUIRE(costs.predict_prefill(chat, 10'000) == 200ms);
    std::cout << "cost model prefill by class: passed\n";
}

TEST_CASE("the fixed cost of tiny prompts does not pass for a low speed") {
    // A fit through a few prompts of 3 tokens at 30 ms each once predicted two hours
    // for 700,000 tokens, and every long prompt was refused.
    cost_model costs;
    for (int sample = 0; sample < 20; ++sample) {
        costs.on_prefill(chat, 3, 30ms);
    }
    REQUIRE(costs.predict_prefill(chat, 700'000) <= 71s);
    REQUIRE(costs.predict_prefill(chat, 3) >= 30ms);
    std::cout << "cost model with tiny prompts: passed\n";
}

TEST_CASE("prompts are classified by uncached tokens and by whether they fit one engine") {
    REQUIRE(classify_length(4'096, 300'000, 400'000) == length_class::short_prompt);
    REQUIRE(classify_length(32'768, 40'000, 400'000) == length_class::medium_prompt);
    REQUIRE(classify_length(32'769, 40'000, 400'000) == length_class::long_prompt);
    REQUIRE(classify_length(10, 400'001, 400'000) == length_class::very_long_prompt);
    std::cout << "length classes: passed\n";
}
