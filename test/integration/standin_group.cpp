// Guards groups of fake-engine processes: if a stream continued after losing a
// part of its KV cache, tests of very long prompts could not fail.
#include "fleet.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

#include <iostream>

using namespace verbenahold::standins;

namespace {

constexpr std::chrono::milliseconds limit(8000);
constexpr std::int64_t part_tokens = 3000;

QJsonObject part_on(const fleet& set, const std::string& host) {
    return {{"url", QString::fromStdString("http://" + set.address(host))},
            {"reservation", "r-" + QString::fromStdString(host)},
            {"tokens", static_cast<qint64>(part_tokens)}};
}

void reserve_on(const fleet& set, const std::string& host) {
    const QJsonObject body{{"reservation", "r-" + QString::fromStdString(host)},
                           {"tokens", static_cast<qint64>(part_tokens)},
                           {"expires_ms", 5000}};
    REQUIRE(call_json("POST", set.address(host), "/v1/reservations", body).status == 200);
}

test_request start_request(const fleet& set, const std::string& prompt) {
    const QJsonObject body{{"stream", "e.1.1.1.e.1"},
                           {"prompt", QString::fromStdString(prompt)},
                           {"max_tokens", 400},
                           {"parts", QJsonArray{part_on(set, "engine-2"), part_on(set, "engine-3")}}};
    return {"POST", set.address("engine-1"), "/v1/streams", {}, QJsonDocument(body).toJson()};
}

}  // namespace

TEST_CASE("a group's stream stalls when a part's engine dies and ends after the part is replaced") {
    fleet set(VERBENAHOLD_PROGRAM_FOLDER);
    const QStringList small{"--kv-tokens", "4500", "--decode-step-ms", "10"};
    for (const char* host : {"engine-1", "engine-2", "engine-3", "engine-4"}) {
        set.start_unregistered(member_kind::engine, {host, "a", "llm", small, false});
    }
    const std::string prompt(4 * 10'000, 'p');
    const QJsonObject alone{{"stream", "e.1.2.1.e.1"}, {"prompt", QString::fromStdString(prompt)}, {"max_tokens", 1}};
    REQUIRE(call_json("POST", set.address("engine-1"), "/v1/streams", alone).status == 507);

    reserve_on(set, "engine-2");
    reserve_on(set, "engine-3");
    const http_exchange stream(start_request(set, prompt));
    REQUIRE(wait_until([&] { return stream.body().contains("\"first\":3"); }, limit));
    set.kill("engine-3");
    // Longer than the whole answer would take without the loss.
    REQUIRE_FALSE(wait_until([&] { return stream.is_over(); }, std::chrono::milliseconds(5000)));

    reserve_on(set, "engine-4");
    const QJsonObject replacement{{"lost_url", QString::fromStdString(set.address("engine-3"))},
                                  {"part", part_on(set, "engine-4")}};
    REQUIRE(call_json("PUT", set.address("engine-1"), "/v1/streams/e.1.1.1.e.1/parts", replacement).status == 200);
    REQUIRE(wait_until([&] { return stream.is_complete(); }, limit));
    REQUIRE(stream.body().contains("\"count\":400"));
    // The whole prompt once, and the lost part a second time.
    REQUIRE(set.stats("engine-1")["prefilled_tokens"].toInteger() >= 10'000 + part_tokens - 1);
    REQUIRE(set.stats("engine-1")["prefilled_tokens"].toInteger() <= 10'000 + part_tokens);
    std::cout << "group with a dead engine: passed\n";
}
