// Guards requests against the death of the entry that owns the server: the
// caller side has to continue through the next owner.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

TEST_CASE("the caller gets the whole answer when the server's owner is killed") {
    // The only engine is in zone a and so is entry-1, its owner. With a cold
    // capacity of 2, the killed owner's stream would fill the next owner's
    // window of 1 until the sweep, up to 20 s.
    deployment_plan plan;
    plan.engines = 1;
    plan.cold_capacity = 6;
    plan.engine_arguments = QStringList{"--cold-capacity", "6"};
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, plan);
    const completion request{"an answer of several seconds", 100, true, 18'000};
    const auto exchange = deployment.send("entry-2", request);
    REQUIRE(wait_until([&] { return text_of(*exchange, request).size() > 20; }, std::chrono::seconds(5)));
    deployment.processes().kill("entry-1");
    REQUIRE(wait_until([&] { return exchange->is_over(); }, std::chrono::seconds(18)));
    INFO(exchange->body().right(300).toStdString());
    REQUIRE(is_expected_answer(*exchange, request));
    REQUIRE(deployment.sum_of("cold_overloads") == 0);
    std::cout << "killed owner, whole answer: passed\n";
}
