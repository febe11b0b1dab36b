// Tests that old rows are removed, so that the table does not grow without
// bound, and that the changes which a daemon needs after an hour without
// connection are kept.
#include "control_records.hpp"
#include "control_simulation.hpp"
#include "record_rows.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

// Unix time of the bench's time_point zero.
constexpr std::chrono::seconds unix_start(1'800'000'000);

void put_row(control_simulation& simulation, const std::string& key, std::uint64_t version, std::chrono::seconds age) {
    QJsonObject value = head_row(version);
    value["written_at_s"] = static_cast<qint64>((unix_start - age).count());
    simulation.rows[key] = {key, value, version};
}

}  // namespace

TEST_CASE("changes are removed only if older than an hour and not among the last 2,000") {
    control_simulation simulation(1);
    constexpr std::uint64_t head = 5'000;
    simulation.rows["config/head"] = {"config/head", head_row(head), head};
    // One change a second: 3,600 within the last hour and 1,400 older ones.
    for (std::uint64_t version = 1; version <= head; ++version) {
        put_row(simulation, change_row_key(version), version, std::chrono::seconds(head - version));
    }
    simulation.run_for(100s);
    // After 100 s, version 1,500 is 3,600 s old.
    REQUIRE_FALSE(simulation.rows.contains(change_row_key(1'400)));
    for (std::uint64_t version = 1'501; version <= head; ++version) {
        REQUIRE(simulation.rows.contains(change_row_key(version)));
    }
    std::cout << "changes of the last hour kept: passed\n";
}

TEST_CASE("the last 2,000 changes are kept however old they are") {
    control_simulation simulation(1);
    constexpr std::uint64_t head = 2'300;
    simulation.rows["config/head"] = {"config/head", head_row(head), head};
    for (std::uint64_t version = 1; version <= head; ++version) {
        put_row(simulation, change_row_key(version), version, 1'000h);
    }
    simulation.run_for(100s);
    REQUIRE(simulation.count_rows("config/change/") == 2'000);
    REQUIRE(simulation.rows.contains(change_row_key(301)));
    std::cout << "last 2,000 changes kept: passed\n";
}

TEST_CASE("operations and claims are removed after a day") {
    control_simulation simulation(1);
    constexpr std::uint64_t head = 4'000;
    simulation.rows["config/head"] = {"config/head", head_row(head), head};
    put_row(simulation, operation_row_key("old"), 1'000, 25h);
    put_row(simulation, operation_row_key("recent-by-version"), 3'000, 25h);
    put_row(simulation, operation_row_key("recent-by-age"), 1'000, 23h);
    put_row(simulation, "claim/account/old", 0, 25h);
    put_row(simulation, "claim/account/recent", 0, 23h);
    simulation.rows["claim/account/undated"] = {"claim/account/undated", QJsonObject(), 7};
    simulation.run_for(30s);
    REQUIRE(simulation.count_rows("config/operation/") == 2);
    REQUIRE_FALSE(simulation.rows.contains("config/operation/old"));
    REQUIRE(simulation.count_rows("claim/") == 2);
    REQUIRE_FALSE(simulation.rows.contains("claim/account/old"));
    std::cout << "operations and claims: passed\n";
}
