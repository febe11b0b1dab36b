// Guards serving against an outage of the platform's table: only calls that
// need the table may be refused, with a true `ran` field.
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <QElapsedTimer>

#include <iostream>

using namespace verbenahold::standins;

namespace {

constexpr int outage_ms = 9000;
// Longer than the 5 s without confirmation after which a configuration counts
// as unconfirmed.
constexpr std::chrono::milliseconds outage_before_requests(6500);

bool wait_until_over(const http_exchange& exchange) {
    return wait_until([&] { return exchange.is_over(); }, std::chrono::seconds(8));
}

}  // namespace

TEST_CASE("completions and keyed orders go on while the table is down") {
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    deployment.processes().set_platform_faults({{"table_down_ms", outage_ms}});
    QElapsedTimer outage;
    outage.start();
    REQUIRE(wait_until([&] { return outage.elapsed() > outage_before_requests.count(); }, 2 * outage_before_requests));

    const completion request{"during the outage", 10, false, 8000};
    const auto answer = deployment.send("entry-2", request);
    REQUIRE(wait_until_over(*answer));
    REQUIRE(is_expected_answer(*answer, request));

    const QString issued = deployment.locate("entry-1", 1).json["keys"][0].toString();
    const auto order = deployment.order("entry-3", issued.toStdString(), "{}");
    REQUIRE(wait_until_over(*order));
    INFO(order->status() << " " << order->body().toStdString());
    REQUIRE(order->status() == 200);

    const auto refused = deployment.order("entry-3", "own-key-1", "{}");
    REQUIRE(wait_until_over(*refused));
    INFO(refused->status() << " " << refused->body().toStdString());
    REQUIRE(refused->status() == 503);
    REQUIRE(ran_of(*refused) == "no");
    const QJsonObject stats = deployment.processes().stats("shop-1");
    REQUIRE(stats["executions"].toObject().size() == 1);
    REQUIRE(stats["executions_without_key"].toInt() == 0);
    std::cout << "table outage: passed\n";
}
