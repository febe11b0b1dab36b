// Guards invariants I6 and I7: an order whose home entry dies while it runs is
// not run again by another entry, and no answer says that it did not run.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

namespace {

bool wait_until_over(const http_exchange& exchange) {
    return wait_until([&] { return exchange.is_over(); }, std::chrono::seconds(15));
}

// Whether the answer says that the order ran or may have run.
bool says_may_have_run(const http_exchange& exchange) {
    const std::string ran = ran_of(exchange);
    return exchange.status() == 200 || ran == "unknown" || ran == "yes";
}

}  // namespace

TEST_CASE("an order with a key from locate runs once although its home entry is killed") {
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    const std::string key = deployment.locate("entry-1", 1).json["keys"][0].toString().toStdString();
    REQUIRE(key.starts_with("vh1.entry-1."));
    deployment.processes().set_faults("shop-1", {{"latency_ms", 1500}});
    const auto first = deployment.order("entry-2", key, "{\"item\":1}");
    const auto work_began = [&] { return deployment.processes().stats("shop-1")["last_new_work_ms"].toInteger() > 0; };
    const bool began = wait_until(work_began, std::chrono::seconds(5));
    INFO(first->status() << " " << first->body().toStdString());
    REQUIRE(began);
    deployment.processes().kill("entry-1");
    const auto again = deployment.order("entry-3", key, "{\"item\":1}");
    REQUIRE(wait_until_over(*first));
    REQUIRE(wait_until_over(*again));
    INFO(first->body().toStdString() << " / " << again->body().toStdString());
    REQUIRE(says_may_have_run(*first));
    REQUIRE(says_may_have_run(*again));
    const QJsonObject stats = deployment.processes().stats("shop-1");
    REQUIRE(stats["executions"].toObject().size() == 1);
    REQUIRE(stats["most_executions_of_a_key"].toInt() == 1);
    REQUIRE(stats["executions_without_key"].toInt() == 0);
    std::cout << "order at most once: passed\n";
}
