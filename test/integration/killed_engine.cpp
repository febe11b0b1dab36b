// Guards running requests against the death of an engine: the answer must
// continue on another engine after the last token, without missing or repeated
// tokens.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

TEST_CASE("the caller gets the whole answer when the engine is killed in mid-stream") {
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    const completion request{"an answer of several seconds", 100, true, 15'000};
    const auto exchange = deployment.send("entry-1", request);
    REQUIRE(wait_until([&] { return text_of(*exchange, request).size() > 20; }, std::chrono::seconds(5)));
    std::string host;
    for (const char* engine : {"engine-1", "engine-2", "engine-3"}) {
        if (deployment.processes().stats(engine)["started"].toInt() > 0) {
            host = engine;
        }
    }
    REQUIRE_FALSE(host.empty());
    deployment.processes().kill(host);
    REQUIRE(wait_until([&] { return exchange->is_over(); }, std::chrono::seconds(15)));
    INFO(exchange->body().right(300).toStdString());
    REQUIRE(is_expected_answer(*exchange, request));
    // The other engine received the tokens produced so far.
    REQUIRE(deployment.sum_of("wrong_generated") == 0);
    std::cout << "killed engine, whole answer: passed\n";
}
