// Tests operators' writes: an accepted write is committed exactly once, and of
// conflicting writes exactly one is accepted.
#include "control_records.hpp"
#include "control_simulation.hpp"
#include "record_rows.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

TEST_CASE("an accepted write leaves a record, a change, a head and an operation") {
    control_simulation simulation(1);
    const auto ticket = simulation.write(0, zone_record("out"), "op-1");
    simulation.run_for(1s);
    REQUIRE(simulation.status_of(ticket) == 200);
    REQUIRE(simulation.head_version() == 1);
    REQUIRE(simulation.rows.contains("config/record/availability_zone/zone-a"));
    REQUIRE(simulation.rows.contains("config/operation/op-1"));
    const auto change = parse_change_row(simulation.rows.at(change_row_key(1)).value);
    REQUIRE(change);
    REQUIRE(change->value->record_version == 1);
    REQUIRE(change->value->spec["state"].toString() == "out");
    std::cout << "rows of an accepted write: passed\n";
}

TEST_CASE("a repeated operation is accepted again and applied once") {
    control_simulation simulation(2);
    const auto first = simulation.write(0, zone_record("out"), "op-1");
    simulation.run_for(1s);
    const auto again = simulation.write(1, zone_record("out"), "op-1");
    const auto other = simulation.write(0, zone_record("in"), "op-1");
    simulation.run_for(1s);
    REQUIRE(simulation.status_of(first) == 200);
    REQUIRE(simulation.status_of(again) == 200);
    REQUIRE(simulation.body_of(again)["version"].toInt() == 1);
    REQUIRE(simulation.status_of(other) == 422);
    REQUIRE(simulation.head_version() == 1);
    std::cout << "repeated operation: passed\n";
}

TEST_CASE("exactly one of several concurrent writes to one record is accepted") {
    constexpr std::size_t operators = 5;
    control_simulation simulation(operators);
    std::vector<std::uint64_t> tickets;
    for (std::size_t i = 0; i < operators; ++i) {
        tickets.push_back(simulation.write(i, zone_record("out"), "op-" + std::to_string(i)));
    }
    simulation.run_for(5s);
    int accepted = 0;
    for (const auto ticket : tickets) {
        accepted += simulation.status_of(ticket) == 200 ? 1 : 0;
        const bool decided = simulation.status_of(ticket) == 200 || simulation.status_of(ticket) == 409;
        REQUIRE(decided);
    }
    REQUIRE(accepted == 1);
    REQUIRE(simulation.count_rows("config/change/") == 1);
    std::cout << "concurrent writes to one record: passed\n";
}

TEST_CASE("concurrent writes to different records are all accepted") {
    control_simulation simulation(4);
    std::vector<std::uint64_t> tickets;
    for (std::size_t i = 0; i < 4; ++i) {
        record value = zone_record("in");
        value.key.name = "zone-" + std::to_string(i);
        tickets.push_back(simulation.write(i, value, "op-" + std::to_string(i)));
    }
    simulation.run_for(5s);
    for (const auto ticket : tickets) {
        REQUIRE(simulation.status_of(ticket) == 200);
    }
    REQUIRE(simulation.head_version() == 4);
    std::cout << "concurrent writes to different records: passed\n";
}

TEST_CASE("a write at an old record version is refused and gets the stored record") {
    control_simulation simulation(1);
    simulation.store(zone_record("out"));
    const auto ticket = simulation.write(0, zone_record("in"), "op-1");
    simulation.run_for(1s);
    REQUIRE(simulation.status_of(ticket) == 409);
    REQUIRE(simulation.body_of(ticket)["record"]["spec"]["state"].toString() == "out");
    std::cout << "conflict returns the stored record: passed\n";
}

TEST_CASE("a watcher behind the kept changes gets all records") {
    control_simulation simulation(1);
    for (int i = 0; i < 5; ++i) {
        simulation.store(zone_record(i % 2 == 0 ? "out" : "in"));
    }
    simulation.send(0, changes_request{901, 2});
    simulation.run_for(1s);
    REQUIRE(simulation.body_of(901)["changes"].toArray().size() == 3);
    simulation.rows.erase(change_row_key(3));
    simulation.send(0, changes_request{902, 2});
    simulation.run_for(1s);
    REQUIRE(simulation.body_of(902)["whole"].toBool());
    REQUIRE(simulation.body_of(902)["changes"].toArray().size() == 1);
    std::cout << "watcher far behind: passed\n";
}

TEST_CASE("a planned stop completes open writes and refuses new ones as not accepted") {
    control_simulation simulation(1);
    const auto running = simulation.write(0, zone_record("out"), "op-1");
    simulation.send(0, drain_requested{});
    const auto late = simulation.write(0, zone_record("in", 1), "op-2");
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(running) == 200);
    REQUIRE(simulation.status_of(late) == 503);
    REQUIRE(simulation.body_of(late)["error"]["code"].toString() == "draining");
    REQUIRE(simulation.body_of(late)["error"]["accepted"].toString() == "no");
    REQUIRE(simulation.head_version() == 1);
    std::cout << "planned stop of control: passed\n";
}
