// Guards the whole path of a request: tokens that are lost, repeated or mixed up
// between engine, owner, caller side and caller would change the text.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>
#include <vector>

using namespace verbenahold::standins;

TEST_CASE("streamed and whole answers through three entries are those of the engine") {
    const test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    std::vector<std::pair<completion, std::unique_ptr<http_exchange>>> calls;
    for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
        for (const bool stream : {true, false}) {
            const completion request{std::string("say something to ") + entry, 20, stream, 15'000};
            calls.emplace_back(request, deployment.send(entry, request));
        }
    }
    for (const auto& [request, exchange] : calls) {
        REQUIRE(wait_until([&] { return exchange->is_over(); }, std::chrono::seconds(15)));
        INFO(exchange->status() << " " << exchange->body().toStdString());
        REQUIRE(is_expected_answer(*exchange, request));
    }
    std::cout << "whole answers through three entries: passed\n";
}
