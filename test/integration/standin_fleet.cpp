// Guards the test fleet itself: leftover processes or faults without effect
// would make every other integration test meaningless.
#include "fleet.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>

#include <iostream>

using namespace verbenahold::standins;

namespace {

constexpr std::chrono::milliseconds limit(5000);

const QJsonObject request{{"stream", "e.1.1.1.e.1"}, {"prompt", "hello"}, {"max_tokens", 3}};

}  // namespace

TEST_CASE("a fleet starts, registers, crashes and restarts its stand-ins") {
    fleet set(VERBENAHOLD_PROGRAM_FOLDER);
    set.start_platform();
    set.start(member_kind::engine, {"engine-1", "a", "llm", {}, true});
    set.start(member_kind::service, {"shop-1", "b", "shop", {}, false});

    const test_answer hosts = call_json("GET", set.platform_address(), "/v1/hosts");
    REQUIRE(hosts.json["hosts"].toArray().size() == 2);
    const std::string shown = hosts.json["hosts"][0]["server_endpoint"].toString().toStdString();
    REQUIRE(shown != set.address("engine-1"));
    REQUIRE(call_json("GET", shown, "/v1/load").status == 200);

    const QJsonObject marked{{"stream", "e.1.2.1.e.1"}, {"prompt", "a \001crash\001 b"}, {"max_tokens", 3}};
    REQUIRE(call_json("POST", set.address("engine-1"), "/v1/streams", marked).status == 0);
    REQUIRE(set.wait_for_exit("engine-1", limit));
    const std::string address = set.address("engine-1");
    set.restart("engine-1");
    REQUIRE(set.address("engine-1") == address);
    const test_answer answer = call_json("POST", shown, "/v1/streams", request);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body.contains("\"done\":true"));
    REQUIRE(set.stats("engine-1")["finished"].toInt() == 1);
    std::cout << "fleet of stand-ins: passed\n";
}

TEST_CASE("a paused member answers nothing until it is resumed") {
    fleet set(VERBENAHOLD_PROGRAM_FOLDER);
    set.start_platform();
    set.start(member_kind::engine, {"engine-1", "a", "llm", {}, false});
    set.pause("engine-1");
    REQUIRE(call_json("GET", set.address("engine-1"), "/v1/load", {}, {}, std::chrono::milliseconds(300)).status == 0);
    set.resume("engine-1");
    REQUIRE(call_json("GET", set.address("engine-1"), "/v1/load").status == 200);
    std::cout << "paused member: passed\n";
}
