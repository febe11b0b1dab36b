// Guards invariant I4: a zone that operators have taken out gets no new work
// after 3 s, no request fails because of it, and the zone gets work again once
// it is back.
#include "steady_load.hpp"
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <QDateTime>

#include <iostream>

using namespace verbenahold::standins;

namespace {

constexpr std::chrono::seconds zone_bound(3);

}  // namespace

TEST_CASE("a zone that is out gets no new work after 3 s and works again when it is back") {
    deployment_plan plan;
    plan.control = true;
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, plan);
    steady_load load(deployment, {"entry-1", "entry-2", "entry-3"}, {"short", 10, false, 10'000});
    const auto last_work = [&] { return deployment.processes().stats("engine-1")["last_new_work_ms"].toInteger(); };
    REQUIRE(wait_until([&] { return last_work() > 0; }, std::chrono::seconds(5)));

    deployment.set_zone("a", "out");
    const qint64 out_at = QDateTime::currentMSecsSinceEpoch();
    const auto since_out = [&] { return QDateTime::currentMSecsSinceEpoch() - out_at; };
    REQUIRE(wait_until([&] { return since_out() > 6000; }, std::chrono::seconds(7)));
    REQUIRE(last_work() - out_at <= std::chrono::milliseconds(zone_bound).count());

    deployment.set_zone("a", "in");
    const qint64 back_at = QDateTime::currentMSecsSinceEpoch();
    REQUIRE(wait_until([&] { return last_work() > back_at; }, std::chrono::seconds(6)));
    REQUIRE(load.finish(std::chrono::seconds(10)));
    REQUIRE(load.complete_answers() > 10);
    for (const std::string& failure : load.failures()) {
        UNSCOPED_INFO(failure);
    }
    REQUIRE(load.failures().empty());
    std::cout << "zone out and back: passed, " << load.complete_answers() << " whole answers\n";
}
