// Tests that a lease holder that was paused sends no orders once another process
// may have taken the lease, also to engines that ignore fencing numbers.
#include "control_records.hpp"
#include "control_simulation.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <optional>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

void add_engines(control_simulation& simulation, int number, bool check_fences) {
    for (int i = 0; i < number; ++i) {
        simulation.engines["server-" + std::to_string(i)].checks_fence = check_fences;
    }
    simulation.announce_hosts("shade-llm");
}

std::uint64_t fence_of(const control_simulation& simulation) {
    const auto row = simulation.rows.find("lease/shade-llm");
    return row == simulation.rows.end() ? 0 : static_cast<std::uint64_t>(row->second.value["fence"].toInteger());
}

std::size_t holder_of(const control_simulation& simulation) {
    return simulation.rows.at("lease/shade-llm").value["holder"].toString() == "entry-0.1000" ? 0 : 1;
}

}  // namespace

TEST_CASE("a paused holder that resumes sends no order after the takeover") {
    int takeovers = 0;
    for (int pause_at_ms = 250; pause_at_ms <= 20'000; pause_at_ms += 250) {
        control_simulation simulation(2);
        simulation.store(service_record("v2", 1));
        add_engines(simulation, 4, false);
        simulation.run_for(1s);
        const std::size_t holder = holder_of(simulation);
        simulation.run_for(std::chrono::milliseconds(pause_at_ms));
        const std::uint64_t fence = fence_of(simulation);
        simulation.set_paused(holder, true);
        simulation.run_for(30s);
        REQUIRE(fence_of(simulation) > fence);
        ++takeovers;
        simulation.set_paused(holder, false);
        simulation.run_for(60s);
        INFO("paused after " << pause_at_ms << " ms");
        REQUIRE(fence_of(simulation) == fence + 1);
        REQUIRE(simulation.max_loading <= 1);
        for (const auto& [name, engine] : simulation.engines) {
            REQUIRE(std::is_sorted(engine.accepted_fences.begin(), engine.accepted_fences.end()));
            REQUIRE(engine.version == "v2");
        }
    }
    std::cout << "paused holder in " << takeovers << " takeovers: passed\n";
}

TEST_CASE("a holder paused between the orders to one server sends no further one") {
    constexpr int total_orders = 9;
    for (int paused_at = 1; paused_at <= total_orders; ++paused_at) {
        control_simulation simulation(2);
        record value = service_record("v2", 1);
        value.spec["adapters"] = QJsonArray{"legal", "medical"};
        simulation.store(value);
        add_engines(simulation, 3, false);
        std::optional<std::size_t> paused;
        int orders = 0;
        simulation.on_order = [&](std::size_t process) {
            if (++orders == paused_at) {
                paused = process;
                simulation.set_paused(process, true);
            }
        };
        simulation.run_for(60s);
        REQUIRE(paused);
        simulation.set_paused(*paused, false);
        simulation.run_for(60s);
        INFO("paused at order " << paused_at);
        for (const auto& [name, engine] : simulation.engines) {
            REQUIRE(std::is_sorted(engine.accepted_fences.begin(), engine.accepted_fences.end()));
            REQUIRE(engine.version == "v2");
        }
    }
    std::cout << "pause between orders: passed\n";
}

TEST_CASE("a lease is taken again when its candidates die one after another") {
    constexpr std::size_t processes = 9;
    control_simulation simulation(processes);
    for (std::size_t i = 0; i < processes; ++i) {
        simulation.newest_schema_by_daemon["entry-" + std::to_string(i)] = 2;
    }
    simulation.store(service_record("v1", 1));
    add_engines(simulation, 1, true);
    simulation.run_for(60s);
    // Stops more processes than the five candidates. The host list still shows
    // all of them.
    for (std::size_t dead = 0; dead + 1 < processes; ++dead) {
        const std::uint64_t fence = fence_of(simulation);
        REQUIRE(fence > 0);
        const QString holder = simulation.rows.at("lease/shade-llm").value["holder"].toString();
        simulation.set_paused(static_cast<std::size_t>(holder.section('.', 0, 0).section('-', 1).toInt()), true);
        simulation.run_for(70s);
        REQUIRE(fence_of(simulation) == fence + 1);
    }
    std::cout << "candidates die one after another: passed\n";
}

TEST_CASE("a long outage of the table stops orders, and the rollout continues after it") {
    control_simulation simulation(3);
    simulation.store(service_record("v2", 1));
    add_engines(simulation, 3, true);
    simulation.run_for(3s);
    simulation.table_down = true;
    simulation.run_for(5s);
    const auto orders = [&] {
        std::size_t number = 0;
        for (const auto& [name, engine] : simulation.engines) {
            number += engine.accepted_fences.size();
        }
        return number;
    };
    const std::size_t before = orders();
    simulation.run_for(3600s);
    REQUIRE(orders() == before);
    simulation.table_down = false;
    simulation.run_for(90s);
    for (const auto& [name, engine] : simulation.engines) {
        REQUIRE(engine.version == "v2");
    }
    REQUIRE(simulation.max_loading == 1);
    std::cout << "outage of an hour: passed\n";
}

TEST_CASE("lost answers to renewals neither end a lease nor give it two holders") {
    control_simulation simulation(2);
    int number = 0;
    simulation.choose_fault = [&](std::size_t, const row_transaction& transaction) {
        const bool is_lease = transaction.puts.size() == 1 && transaction.puts[0].key.starts_with("lease/");
        return is_lease && ++number % 3 == 0 ? table_fault::answer_lost : table_fault::none;
    };
    simulation.store(service_record("v2", 1));
    add_engines(simulation, 3, true);
    simulation.run_for(120s);
    for (const auto& [name, engine] : simulation.engines) {
        REQUIRE(engine.version == "v2");
        REQUIRE(std::is_sorted(engine.accepted_fences.begin(), engine.accepted_fences.end()));
    }
    REQUIRE(simulation.max_loading == 1);
    std::cout << "lost answers to renewals: passed\n";
}

TEST_CASE("a planned stop hands the lease over at once") {
    control_simulation simulation(2);
    simulation.store(service_record("v1", 1));
    add_engines(simulation, 1, true);
    simulation.run_for(4s);
    const std::size_t holder = holder_of(simulation);
    const std::uint64_t fence = fence_of(simulation);
    simulation.send(holder, drain_requested{});
    simulation.run_for(5s);
    REQUIRE(holder_of(simulation) != holder);
    REQUIRE(fence_of(simulation) == fence + 1);
    std::cout << "planned stop: passed\n";
}
