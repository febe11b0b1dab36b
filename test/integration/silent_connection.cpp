// Guards streams against connections that deliver nothing more while new
// connections work: waiting for the silent one would miss the deadline.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

TEST_CASE("the caller gets the whole answer when open engine connections go silent") {
    deployment_plan plan;
    plan.engines_behind_proxy = true;
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, plan);
    const completion request{"an answer of several seconds", 100, true, 15'000};
    const auto exchange = deployment.send("entry-1", request);
    REQUIRE(wait_until([&] { return text_of(*exchange, request).size() > 20; }, std::chrono::seconds(5)));
    for (const char* engine : {"engine-1", "engine-2", "engine-3"}) {
        deployment.processes().set_proxy_faults(engine, {{"silence", true}});
    }
    REQUIRE(wait_until([&] { return exchange->is_over(); }, std::chrono::seconds(15)));
    INFO(exchange->body().right(300).toStdString());
    REQUIRE(is_expected_answer(*exchange, request));
    std::cout << "silent connections, whole answer: passed\n";
}
