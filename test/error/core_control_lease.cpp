// Tests that a lease holder that was paused sends no orders once another process
// may have taken the lease, also to engines that ignore fencing numbers.
#include "control_bench.hpp"
#include "control_records.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <optional>

using namespace verbenahold;
using namespace verbenahold::bench;
using namespace std::chrono_literals;

namespace {

void add_engines(control_bench& bench, int number, bool check_fences) {
    for (int i = 0; i < number; ++i) {
        bench.engines["server-" + std::to_string(i)].checks_fence = check_fences;
    }
    bench.announce_hosts("shade-llm");
}

std::uint64_t fence_of(const control_bench& bench) {
    const auto row = bench.rows.find("lease/shade-llm");
    return row == bench.rows.end() ? 0 : static_cast<std::uint64_t>(row->second.value["fence"].toInteger());
}

std::size_t holder_of(const control_bench& bench) {
    return bench.rows.at("lease/shade-llm").value["holder"].toString() == "entry-0.1000" ? 0 : 1;
}

}  // namespace

TEST_CASE("a paused holder that resumes sends no order after the takeover") {
    int takeovers = 0;
    for (int pause_at_ms = 250; pause_at_ms <= 20'000; pause_at_ms += 250) {
        control_bench bench(2);
        bench.store(service_record("v2", 1));
        add_engines(bench, 4, false);
        bench.run_for(1s);
        const std::size_t holder = holder_of(bench);
        bench.run_for(std::chrono::milliseconds(pause_at_ms));
        const std::uint64_t fence = fence_of(bench);
        bench.pause(holder, true);
        bench.run_for(30s);
        REQUIRE(fence_of(bench) > fence);
        ++takeovers;
        bench.pause(holder, false);
        bench.run_for(60s);
        INFO("paused after " << pause_at_ms << " ms");
        REQUIRE(fence_of(bench) == fence + 1);
        REQUIRE(bench.most_loading <= 1);
        for (const auto& [name, engine] : bench.engines) {
            REQUIRE(std::is_sorted(engine.fences.begin(), engine.fences.end()));
            REQUIRE(engine.version == "v2");
        }
    }
    std::cout << "paused holder in " << takeovers << " takeovers: passed\n";
}

TEST_CASE("a holder paused between the orders to one server sends no further one") {
    constexpr int orders_in_all = 9;
    for (int paused_at = 1; paused_at <= orders_in_all; ++paused_at) {
        control_bench bench(2);
        record value = service_record("v2", 1);
        value.spec["adapters"] = QJsonArray{"legal", "medical"};
        bench.store(value);
        add_engines(bench, 3, false);
        std::optional<std::size_t> paused;
        int orders = 0;
        bench.on_order = [&](std::size_t process) {
            if (++orders == paused_at) {
                paused = process;
                bench.pause(process, true);
            }
        };
        bench.run_for(60s);
        REQUIRE(paused);
        bench.pause(*paused, false);
        bench.run_for(60s);
        INFO("paused at order " << paused_at);
        for (const auto& [name, engine] : bench.engines) {
            REQUIRE(std::is_sorted(engine.fences.begin(), engine.fences.end()));
            REQUIRE(engine.version == "v2");
        }
    }
    std::cout << "pause between orders: passed\n";
}

TEST_CASE("a lease is taken again when its candidates die one after another") {
    constexpr std::size_t processes = 9;
    control_bench bench(processes);
    for (std::size_t i = 0; i < processes; ++i) {
        bench.daemons["entry-" + std::to_string(i)] = 2;
    }
    bench.store(service_record("v1", 1));
    add_engines(bench, 1, true);
    bench.run_for(60s);
    // Stops more processes than the five candidates. The host list still shows
    // all of them.
    for (std::size_t dead = 0; dead + 1 < processes; ++dead) {
        const std::uint64_t fence = fence_of(bench);
        REQUIRE(fence > 0);
        const QString holder = bench.rows.at("lease/shade-llm").value["holder"].toString();
        bench.pause(static_cast<std::size_t>(holder.section('.', 0, 0).section('-', 1).toInt()), true);
        bench.run_for(70s);
        REQUIRE(fence_of(bench) == fence + 1);
    }
    std::cout << "candidates die one after another: passed\n";
}

TEST_CASE("a long outage of the table stops orders, and the rollout continues after it") {
    control_bench bench(3);
    bench.store(service_record("v2", 1));
    add_engines(bench, 3, true);
    bench.run_for(3s);
    bench.table_down = true;
    bench.run_for(5s);
    const auto orders = [&] {
        std::size_t number = 0;
        for (const auto& [name, engine] : bench.engines) {
            number += engine.fences.size();
        }
        return number;
    };
    const std::size_t before = orders();
    bench.run_for(3600s);
    REQUIRE(orders() == before);
    bench.table_down = false;
    bench.run_for(90s);
    for (const auto& [name, engine] : bench.engines) {
        REQUIRE(engine.version == "v2");
    }
    REQUIRE(bench.most_loading == 1);
    std::cout << "outage of an hour: passed\n";
}

TEST_CASE("lost answers to renewals neither end a lease nor give it two holders") {
    control_bench bench(2);
    int number = 0;
    bench.fault = [&](std::size_t, const row_transaction& transaction) {
        const bool is_lease = transaction.puts.size() == 1 && transaction.puts[0].key.starts_with("lease/");
        return is_lease && ++number % 3 == 0 ? table_fault::answer_lost : table_fault::none;
    };
    bench.store(service_record("v2", 1));
    add_engines(bench, 3, true);
    bench.run_for(120s);
    for (const auto& [name, engine] : bench.engines) {
        REQUIRE(engine.version == "v2");
        REQUIRE(std::is_sorted(engine.fences.begin(), engine.fences.end()));
    }
    REQUIRE(bench.most_loading == 1);
    std::cout << "lost answers to renewals: passed\n";
}

TEST_CASE("a planned stop hands the lease over at once") {
    control_bench bench(2);
    bench.store(service_record("v1", 1));
    add_engines(bench, 1, true);
    bench.run_for(4s);
    const std::size_t holder = holder_of(bench);
    const std::uint64_t fence = fence_of(bench);
    bench.send(holder, drain_requested{});
    bench.run_for(5s);
    REQUIRE(holder_of(bench) != holder);
    REQUIRE(fence_of(bench) == fence + 1);
    std::cout << "planned stop: passed\n";
}
