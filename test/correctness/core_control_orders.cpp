// Tests rollouts: at most max_unavailable servers of a service load at the same
// time, a server gets an order only while no stream runs on it, and the rate
// limit of the weight store only delays the rollout.
#include "control_bench.hpp"
#include "control_records.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace verbenahold;
using namespace verbenahold::bench;
using namespace std::chrono_literals;

namespace {

void add_engines(control_bench& bench, int number) {
    for (int i = 0; i < number; ++i) {
        bench.engines["server-" + std::to_string(i)];
    }
    bench.announce_hosts("shade-llm");
}

std::ptrdiff_t engines_at(const control_bench& bench, const std::string& version) {
    return std::count_if(bench.engines.begin(), bench.engines.end(),
                         [&](const auto& item) { return item.second.version == version; });
}

}  // namespace

TEST_CASE("a rollout over many servers keeps to max_unavailable and the weight store's limit") {
    control_bench bench(3);
    bench.weights_per_second = 1;
    bench.store(service_record("v2", 4));
    add_engines(bench, 40);
    bench.run_for(300s);
    REQUIRE(engines_at(bench, "v2") == 40);
    REQUIRE(bench.most_loading <= 4);
    REQUIRE(bench.most_loading >= 2);
    REQUIRE(bench.weight_refusals > 0);
    REQUIRE(bench.loads_ordered <= bench.weights_granted);
    REQUIRE(bench.count_rows("order/") == 0);
    std::cout << "rollout of 40 servers, most loading at once " << bench.most_loading << ", refused weight loads "
              << bench.weight_refusals << ": passed\n";
}

TEST_CASE("a server is ordered only when its streams have ended") {
    control_bench bench(1);
    bench.store(service_record("v2", 1));
    add_engines(bench, 1);
    auto& server = bench.engines.at("server-0");
    server.streams = {"entry-0.1.1.0"};
    bench.run_for(60s);
    REQUIRE(server.fences.empty());
    REQUIRE(bench.count_rows("order/") == 1);
    server.streams.clear();
    bench.run_for(15s);
    REQUIRE(server.version == "v2");
    REQUIRE(server.orders_while_busy == 0);
    std::cout << "drained before ordered: passed\n";
}

TEST_CASE("a server that dies while it loads does not stop the rollout for good") {
    control_bench bench(1);
    bench.store(service_record("v2", 1));
    add_engines(bench, 3);
    bench.on_order = [&](std::size_t) { bench.engines.at("server-0").dead = true; };
    bench.run_for(300s);
    // The server may still be loading, so no other one is ordered.
    REQUIRE(engines_at(bench, "v2") == 0);
    bench.run_for(600s);
    REQUIRE(engines_at(bench, "v2") == 2);
    bench.on_order = nullptr;
    bench.engines.at("server-0").dead = false;
    bench.run_for(60s);
    REQUIRE(engines_at(bench, "v2") == 3);
    REQUIRE(bench.most_loading == 1);
    std::cout << "server dead while loading: passed\n";
}

TEST_CASE("adapters and role are ordered once for each engine") {
    control_bench bench(2);
    record value = service_record("v1", 1);
    value.spec["adapters"] = QJsonArray{"legal", "medical"};
    value.spec["role"] = "prefill";
    bench.store(value);
    add_engines(bench, 3);
    bench.run_for(90s);
    for (const auto& [name, engine] : bench.engines) {
        REQUIRE(engine.fences.size() == 3);
    }
    REQUIRE(bench.count_rows("loaded/shade-llm/") == 3);
    std::cout << "adapters and role: passed\n";
}

TEST_CASE("a server that leaves the host list lets another one load") {
    control_bench bench(1);
    bench.store(service_record("v2", 1));
    add_engines(bench, 2);
    bench.engines.at("server-0").streams = {"entry-0.1.1.0"};
    bench.run_for(20s);
    REQUIRE(engines_at(bench, "v2") == 0);
    const auto gone = bench.engines.extract("server-0");
    bench.announce_hosts("shade-llm");
    bench.engines["server-0"] = gone.mapped();
    bench.run_for(30s);
    REQUIRE(bench.engines.at("server-1").version == "v2");
    REQUIRE(bench.count_rows("order/") == 0);
    std::cout << "server that left the host list: passed\n";
}
