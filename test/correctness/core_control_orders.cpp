// Tests rollouts: at most max_unavailable servers of a service load at the same
// time, a server gets an order only while no stream runs on it, and the rate
// limit of the weight store only delays the rollout.
#include "control_records.hpp"
#include "control_simulation.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

void add_engines(control_simulation& simulation, int number) {
    for (int i = 0; i < number; ++i) {
        simulation.engines["server-" + std::to_string(i)];
    }
    simulation.announce_hosts("shade-llm");
}

std::ptrdiff_t engines_at(const control_simulation& simulation, const std::string& version) {
    return std::count_if(simulation.engines.begin(), simulation.engines.end(),
                         [&](const auto& item) { return item.second.version == version; });
}

}  // namespace

TEST_CASE("a rollout over many servers keeps to max_unavailable and the weight store's limit") {
    control_simulation simulation(3);
    simulation.weights_per_second = 1;
    simulation.store(service_record("v2", 4));
    add_engines(simulation, 40);
    simulation.run_for(300s);
    REQUIRE(engines_at(simulation, "v2") == 40);
    REQUIRE(simulation.max_loading <= 4);
    REQUIRE(simulation.max_loading >= 2);
    REQUIRE(simulation.weight_refusals > 0);
    REQUIRE(simulation.loads_ordered <= simulation.weights_granted);
    REQUIRE(simulation.count_rows("order/") == 0);
    std::cout << "rollout of 40 servers, most loading at once " << simulation.max_loading << ", refused weight loads "
              << simulation.weight_refusals << ": passed\n";
}

TEST_CASE("a server is ordered only when its streams have ended") {
    control_simulation simulation(1);
    simulation.store(service_record("v2", 1));
    add_engines(simulation, 1);
    auto& server = simulation.engines.at("server-0");
    server.streams = {"entry-0.1.1.0"};
    simulation.run_for(60s);
    REQUIRE(server.accepted_fences.empty());
    REQUIRE(simulation.count_rows("order/") == 1);
    server.streams.clear();
    simulation.run_for(15s);
    REQUIRE(server.version == "v2");
    REQUIRE(server.orders_during_streams == 0);
    std::cout << "drained before ordered: passed\n";
}

TEST_CASE("a server that dies while it loads does not stop the rollout for good") {
    control_simulation simulation(1);
    simulation.store(service_record("v2", 1));
    add_engines(simulation, 3);
    simulation.on_order = [&](std::size_t) { simulation.engines.at("server-0").dead = true; };
    simulation.run_for(300s);
    // The server may still be loading, so no other one is ordered.
    REQUIRE(engines_at(simulation, "v2") == 0);
    simulation.run_for(600s);
    REQUIRE(engines_at(simulation, "v2") == 2);
    simulation.on_order = nullptr;
    simulation.engines.at("server-0").dead = false;
    simulation.run_for(60s);
    REQUIRE(engines_at(simulation, "v2") == 3);
    REQUIRE(simulation.max_loading == 1);
    std::cout << "server dead while loading: passed\n";
}

TEST_CASE("adapters and role are ordered once for each engine") {
    control_simulation simulation(2);
    record value = service_record("v1", 1);
    value.spec["adapters"] = QJsonArray{"legal", "medical"};
    value.spec["role"] = "prefill";
    simulation.store(value);
    add_engines(simulation, 3);
    simulation.run_for(90s);
    for (const auto& [name, engine] : simulation.engines) {
        REQUIRE(engine.accepted_fences.size() == 3);
    }
    REQUIRE(simulation.count_rows("loaded/shade-llm/") == 3);
    std::cout << "adapters and role: passed\n";
}

TEST_CASE("a server that leaves the host list lets another one load") {
    control_simulation simulation(1);
    simulation.store(service_record("v2", 1));
    add_engines(simulation, 2);
    simulation.engines.at("server-0").streams = {"entry-0.1.1.0"};
    simulation.run_for(20s);
    REQUIRE(engines_at(simulation, "v2") == 0);
    const auto gone = simulation.engines.extract("server-0");
    simulation.announce_hosts("shade-llm");
    simulation.engines["server-0"] = gone.mapped();
    simulation.run_for(30s);
    REQUIRE(simulation.engines.at("server-1").version == "v2");
    REQUIRE(simulation.count_rows("order/") == 0);
    std::cout << "server that left the host list: passed\n";
}
