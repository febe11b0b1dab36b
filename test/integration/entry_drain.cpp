// Guards invariant I9: a planned stop of an entry interrupts no request, also
// if the entry owns a server.
#include "steady_load.hpp"
#include "test_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold::standins;

TEST_CASE("SIGTERM to an entry under load cuts off no request") {
    test_deployment deployment(VERBENAHOLD_PROGRAM_FOLDER, {});
    fleet& processes = deployment.processes();
    steady_load load(deployment, {"entry-1", "entry-1", "entry-2", "entry-3"}, {"medium", 50, true, 15'000});
    REQUIRE(wait_until([&] { return load.complete_answers() >= 4; }, std::chrono::seconds(10)));
    load.stop_entry("entry-1");
    processes.terminate("entry-1");
    REQUIRE(processes.wait_for_exit("entry-1", std::chrono::seconds(15)));
    const int before = load.complete_answers();
    REQUIRE(wait_until([&] { return load.complete_answers() >= before + 4; }, std::chrono::seconds(10)));
    REQUIRE(load.finish(std::chrono::seconds(15)));
    for (const std::string& failure : load.failures()) {
        UNSCOPED_INFO(failure);
    }
    REQUIRE(load.failures().empty());
    std::cout << "drain under load: passed, " << load.complete_answers() << " whole answers\n";
}
