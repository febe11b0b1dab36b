// Tests rollouts of a new schema version: records are written in a version that
// every live daemon reads, and no field is lost when a record is converted to an
// older version and back.
#include "control_records.hpp"
#include "control_simulation.hpp"

#include <QJsonArray>

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

QJsonObject stored(const control_simulation& simulation, const char* key) {
    return simulation.rows.at(key).value.toObject();
}

}  // namespace

TEST_CASE("writes use the highest schema version that all live daemons read") {
    control_simulation simulation(1);
    simulation.newest_schema_by_daemon = {{"entry-0", 2}, {"entry-1", 1}};
    simulation.announce_hosts("shade-llm");
    record value = service_record("v2", 1);
    value.spec["cold_capacity"] = 3;
    value.spec["warm_capacity"] = 20;
    value.spec["from_the_future"] = QJsonArray{1, 2};
    const auto first = simulation.write(0, value, "op-1");
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(first) == 200);
    const QJsonObject old_form = stored(simulation, "config/record/service/shade-llm");
    REQUIRE(old_form["schema_version"].toInt() == 1);
    REQUIRE(old_form["spec"]["capacity"].toInt() == 20);
    REQUIRE(old_form["spec"]["from_the_future"].toArray().size() == 2);

    // The old daemon is replaced, and a program that uses version 1 rewrites the
    // record.
    simulation.newest_schema_by_daemon["entry-1"] = 2;
    simulation.run_for(11s);
    const auto rewritten = parse_record(old_form);
    REQUIRE(rewritten);
    const auto second = simulation.write(0, rewritten.value(), "op-2");
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(second) == 200);
    const QJsonObject new_form = stored(simulation, "config/record/service/shade-llm");
    REQUIRE(new_form["schema_version"].toInt() == 2);
    REQUIRE(new_form["spec"]["cold_capacity"].toInt() == 3);
    REQUIRE(new_form["spec"]["warm_capacity"].toInt() == 20);
    REQUIRE_FALSE(new_form["spec"].toObject().contains("capacity"));
    REQUIRE(new_form["spec"]["from_the_future"].toArray().size() == 2);
    std::cout << "schema versions side by side: passed\n";
}

TEST_CASE("a daemon that announces nothing counts as reading the oldest version") {
    control_simulation simulation(1);
    simulation.newest_schema_by_daemon = {{"entry-0", 2}, {"entry-1", std::nullopt}};
    simulation.announce_hosts("shade-llm");
    const auto ticket = simulation.write(0, zone_record("out"), "op-1");
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(ticket) == 200);
    REQUIRE(stored(simulation, "config/record/availability_zone/zone-a")["schema_version"].toInt() == 1);
    std::cout << "daemon without an announcement: passed\n";
}

TEST_CASE("a record that cannot be expressed in the version in use is refused") {
    control_simulation simulation(1);
    simulation.newest_schema_by_daemon = {{"entry-0", 1}};
    simulation.announce_hosts("shade-llm");
    const record keyless{
        {record_kind::client_account, "a"}, 2, 0, {{"key_hashes", QJsonArray()}, {"tokens_per_second", 5}}};
    const auto ticket = simulation.write(0, keyless, "op-1");
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(ticket) == 422);
    REQUIRE(simulation.head_version() == 0);
    std::cout << "not expressible in the old version: passed\n";
}

TEST_CASE("a record of a newer schema version is shown and not overwritten") {
    control_simulation simulation(1);
    record newer = zone_record("out");
    newer.schema_version = newest_schema_version + 1;
    simulation.store(newer);
    const auto ticket = simulation.write(0, zone_record("in", 1), "op-1");
    simulation.send(0, read_request{901, record_kind::availability_zone, "zone-a"});
    simulation.run_for(2s);
    REQUIRE(simulation.status_of(ticket) == 422);
    REQUIRE(simulation.status_of(901) == 200);
    const QJsonObject kept = stored(simulation, "config/record/availability_zone/zone-a");
    REQUIRE(kept["spec"]["state"].toString() == "out");
    std::cout << "newer schema version: passed\n";
}
