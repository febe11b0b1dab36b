// Guards the KV memory of engines against callers that disconnect: a stream
// that is not cancelled would hold its memory for good.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

TEST_CASE("a caller that goes away frees the engine's memory") {
    const test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    // Runs for a minute if it is not cancelled.
    const auto exchange = deployment.send("entry-2", {"a long answer", 2000, true, 60'000});
    REQUIRE(wait_until([&] { return exchange->body().contains("data: {"); }, std::chrono::seconds(5)));
    REQUIRE(deployment.kv_used() > 0);
    exchange->abandon();
    REQUIRE(wait_until([&] { return deployment.kv_used() == 0; }, std::chrono::seconds(5)));
    REQUIRE(deployment.sum_of("cancelled") == 1);
    std::cout << "caller disconnect frees memory: passed\n";
}
