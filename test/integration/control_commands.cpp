// Guards the operators' command line: what each command prints, and one exit
// code for each kind of failure, which scripts rely on.
#include "control_setup.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>

namespace {

constexpr const char* zone_file = R"({"kind":"availability_zone","name":"zone-b","schema_version":2,)"
                                  R"("record_version":0,"spec":{"state":"out"}})";

bool has(const std::string& text, const char* part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("commands of verbenactl do what they say") {
    const control_setup setup(2);
    const auto first = setup.run({"apply", "apps/records-hu-central.json"});
    INFO(first.errors);
    REQUIRE(first.code == 0);
    CHECK(has(first.output, "service/shade-llm accepted"));
    const auto again = setup.run({"apply", "apps/records-hu-central.json"});
    CHECK(again.code == 0);
    CHECK(has(again.output, "service/shade-llm unchanged"));
    CHECK_FALSE(has(again.output, "accepted"));

    CHECK(has(setup.run({"list", "client_account"}).output, "batch-compare"));
    const auto one = setup.run({"get", "service", "kit-shop", "--output", "json"});
    const QJsonObject record = QJsonDocument::fromJson(QByteArray::fromStdString(one.output)).object();
    CHECK(record["spec"].toObject()["type"].toString() == "plain");

    CHECK(has(setup.run({"zone", "out", "hu-central-a"}).output, "accepted"));
    CHECK(has(setup.run({"get", "availability_zone", "hu-central-a"}).output, "state=out"));
    const auto difference = setup.run({"diff", "apps/records-hu-central.json"});
    CHECK(difference.code == 0);
    CHECK(has(difference.output, "- state: out\n+ state: in"));
    CHECK(has(setup.run({"status"}).output, "hu-central-a"));
    CHECK(setup.run({"zone", "in", "hu-central-a"}).code == 0);
    const auto watched = setup.run({"watch", "--after", "10", "--count", "2"});
    CHECK(watched.code == 0);
    CHECK(has(watched.output, "11  availability_zone/hu-central-a  state=out"));
    CHECK(has(watched.output, "12  availability_zone/hu-central-a  state=in"));
    CHECK(setup.run({"--help"}).code == 0);
    std::cout << "commands of verbenactl: passed\n";
}

TEST_CASE("verbenactl has an exit code for each kind of failure") {
    control_setup setup(1);
    CHECK(setup.run({"frobnicate"}).code == 1);
    CHECK(setup.run({"list", "host"}).code == 1);
    CHECK(setup.run({"apply", "no-such-file.json"}).code == 1);
    CHECK(setup.run({"apply", "-"}, R"({"kind":"service","name":"a","schema_version":2,"spec":{}})").code == 2);
    CHECK(setup.run({"apply", "-"}, "{").code == 2);
    CHECK(setup.run({"get", "service", "none"}).code == 2);
    CHECK(setup.run({"apply", "-"}, zone_file).code == 0);
    CHECK(setup.run({"apply", "-"}, zone_file).code == 3);
    CHECK(setup.run({"status", "--control", "http://127.0.0.1:1"}).code == 4);
    CHECK(setup.run({"status", "--operator-key", "wrong"}).code == 6);
    setup.fleet.set_platform_faults({{"table_down_ms", 60'000}});
    const auto down = setup.run({"zone", "in", "zone-b"});
    CHECK(down.code == 5);
    CHECK(has(down.errors, "nothing was written"));
    std::cout << "exit codes 0 to 6: passed\n";
}

TEST_CASE("a write without an answer ends as unknown and is settled by a repeat") {
    control_setup setup(1);
    setup.fleet.pause("entry-0");
    const auto unknown = setup.run({"apply", "-", "--operation", "op-7"}, zone_file);
    CHECK(unknown.code == 7);
    CHECK(has(unknown.errors, "--operation op-7"));
    setup.fleet.resume("entry-0");
    CHECK(setup.run({"apply", "-", "--operation", "op-7"}, zone_file).code == 0);
    // Version 1 only: the first attempt and the repeat were applied once.
    CHECK(has(setup.run({"status"}).output, "version  1 "));
    std::cout << "exit code 7: passed\n";
}

TEST_CASE("a write goes on at the next control process") {
    control_setup setup(2);
    setup.fleet.kill("entry-0");
    CHECK(setup.run({"zone", "out", "zone-a"}).code == 0);
    std::cout << "next control process: passed\n";
}

TEST_CASE("a lost answer of the store does not double or lose a change") {
    control_setup setup(1);
    CHECK(setup.run({"zone", "out", "zone-a"}).code == 0);
    for (int i = 0; i < 4; ++i) {
        setup.fleet.set_platform_faults({{"lose_answers", 1}});
        CHECK(setup.run({"zone", i % 2 == 0 ? "in" : "out", "zone-a"}).code == 0);
    }
    CHECK(has(setup.run({"status"}).output, "version  5 "));
    std::cout << "lost answers of the store: passed\n";
}
