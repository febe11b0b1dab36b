// Guards the rollout of a model version across processes, also when the control
// process that runs it is killed.
#include "control_setup.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonObject>

#include <algorithm>
#include <iostream>

#include "http_exchange.hpp"

using namespace verbenahold::standins;
using std::chrono::seconds;

namespace {

constexpr int engines = 4;

std::string engine_name(int number) {
    return "engine-" + std::to_string(number);
}

void start_engines(control_setup& setup) {
    for (int i = 0; i < engines; ++i) {
        setup.fleet.start(member_kind::engine,
                          {engine_name(i), "zone-a", "shade-llm", {"--model-load-ms", "500"}, false});
    }
}

QByteArray service_file(const char* version) {
    return QByteArray(R"({"kind":"service","name":"shade-llm","schema_version":2,"spec":{"type":"model",)") +
           R"("model":"shade","max_unavailable":2,"model_version":")" + version + R"("}})";
}

int engines_at(const control_setup& setup, const QString& version) {
    int number = 0;
    for (int i = 0; i < engines; ++i) {
        const auto load = call_json("GET", setup.fleet.address(engine_name(i)), "/v1/load");
        number += load.json["model_version"].toString() == version ? 1 : 0;
    }
    return number;
}

bool wait_for_version(const control_setup& setup, const QString& version) {
    // Each server takes the drain notice of 4 s plus a load; two run at once.
    return wait_until([&] { return engines_at(setup, version) == engines; }, seconds(60));
}

}  // namespace

TEST_CASE("a new model version reaches all engines, by orders of one holder") {
    control_setup setup(2);
    start_engines(setup);
    REQUIRE(setup.run({"apply", "-"}, service_file("2")).code == 0);
    CHECK(wait_for_version(setup, "2"));
    for (int i = 0; i < engines; ++i) {
        const QJsonObject stats = setup.fleet.stats(engine_name(i));
        CHECK(stats["cut_by_load"].toInt() == 0);
        CHECK(stats["orders_by_fence"].toObject().size() == 1);
    }
    std::cout << "rollout over processes: passed\n";
}

TEST_CASE("another control process finishes the rollout of a killed one") {
    control_setup setup(2);
    start_engines(setup);
    REQUIRE(setup.run({"apply", "-"}, service_file("2")).code == 0);
    std::string holder;
    REQUIRE(wait_until(
        [&] {
            const auto rows = call_json("POST", setup.fleet.platform_address(), "/v1/table/read",
                                        {{"keys", QJsonArray{"lease/shade-llm"}}});
            const QJsonObject row = rows.json["rows"].toArray().first().toObject();
            holder = row["value"].toObject()["holder"].toString().section('.', 0, 0).toStdString();
            return !holder.empty() && engines_at(setup, "2") > 0;
        },
        seconds(40)));
    setup.fleet.kill(holder);
    CHECK(wait_for_version(setup, "2"));
    std::cout << "rollout after a takeover: passed\n";
}
