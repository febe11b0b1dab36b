// Guards streams against planned model loads: owners stop sending work to a
// server that has an order row, and the order waits until its streams end.
#include "control_setup.hpp"

#include <catch2/catch.hpp>

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

#include "http_exchange.hpp"

using namespace verbenahold::standins;
using std::chrono::seconds;

namespace {

constexpr int engines = 3;
constexpr int entries = 2;
constexpr int callers = 4;

std::string name_of(const char* kind, int number) {
    return kind + std::to_string(number);
}

QByteArray records(const char* version) {
    const QByteArray hash = QCryptographicHash::hash("caller-key", QCryptographicHash::Sha256).toHex();
    return QByteArray(R"([{"kind":"service","name":"shade-llm","schema_version":2,"spec":{"type":"model",)") +
           R"("model":"shade","model_version":")" + version + R"("}},)" +
           R"({"kind":"client_account","name":"tester","schema_version":2,"spec":{"key_hashes":[")" + hash +
           R"("],"tokens_per_second":1000000}}])";
}

// Callers that each send the next completion when the previous one has ended.
class caller_group {
public:
    explicit caller_group(const control_setup& setup) : m_setup(setup) { m_open.resize(callers); }

    void step() {
        for (std::size_t i = 0; i < m_open.size(); ++i) {
            if (m_open[i] && !m_open[i]->is_over()) {
                continue;
            }
            if (m_open[i]) {
                record_result(*m_open[i]);
            }
            m_open[i] = std::make_unique<http_exchange>(next_request(i));
        }
    }

    int good = 0;
    std::vector<std::string> failures;

private:
    void record_result(const http_exchange& ended) {
        constexpr int http_ok = 200;
        if (ended.status() == http_ok && ended.is_complete()) {
            ++good;
        } else {
            failures.push_back(std::to_string(ended.status()) + ' ' + ended.body().toStdString());
        }
    }

    test_request next_request(std::size_t caller) {
        const QJsonObject body{{"model", "shade-llm"},
                               {"prompt", QString("prompt %1").arg(++m_number)},
                               {"max_tokens", 20},
                               {"stream", false},
                               {"deadline_ms", 30'000}};
        const std::string entry = name_of("entry-host-", static_cast<int>(caller) % entries);
        return {"POST",
                m_setup.fleet.address(entry),
                "/v1/completions",
                {{"Authorization", "Bearer caller-key"}, {"Content-Type", "application/json"}},
                QJsonDocument(body).toJson(QJsonDocument::Compact)};
    }

    const control_setup& m_setup;
    std::vector<std::unique_ptr<http_exchange>> m_open;
    int m_number = 0;
};

bool all_loaded(const control_setup& setup, const QString& version) {
    for (int i = 0; i < engines; ++i) {
        const auto load = call_json("GET", setup.fleet.address(name_of("engine-", i)), "/v1/load");
        if (load.json["model_version"].toString() != version) {
            return false;
        }
    }
    return true;
}

}  // namespace

TEST_CASE("a rollout under load cuts no stream off and refuses nothing") {
    control_setup setup(1);
    for (int i = 0; i < engines; ++i) {
        setup.fleet.start(member_kind::engine,
                          {name_of("engine-", i), "zone-a", "shade-llm", {"--model-load-ms", "500"}, false});
    }
    for (int i = 0; i < entries; ++i) {
        setup.fleet.start(member_kind::entry, {name_of("entry-host-", i), "zone-a", "", {}, false});
    }
    REQUIRE(setup.run({"apply", "-"}, records("1")).code == 0);
    caller_group group(setup);
    const auto ready = [&](int number) {
        return call_json("GET", setup.fleet.address(name_of("entry-host-", number)), "/readyz").status == 200;
    };
    REQUIRE(wait_until([&] { return ready(0) && ready(1); }, seconds(20)));
    // The first requests may come before the records and servers are known.
    REQUIRE(wait_until(
        [&] {
            group.step();
            return group.good >= callers;
        },
        seconds(20)));
    group.failures.clear();
    group.good = 0;

    REQUIRE(setup.run({"apply", "-"}, records("2")).code == 0);
    const auto stored = setup.run({"get", "service", "shade-llm", "--output", "json"});
    CHECK(stored.output.find("\"schema_version\": 2") != std::string::npos);
    CHECK(wait_until(
        [&] {
            group.step();
            return all_loaded(setup, "2");
        },
        seconds(90)));
    for (const std::string& failure : group.failures) {
        UNSCOPED_INFO(failure);
    }
    CHECK(group.failures.empty());
    CHECK(group.good > 0);
    for (int i = 0; i < engines; ++i) {
        CHECK(setup.fleet.stats(name_of("engine-", i))["cut_by_load"].toInt() == 0);
    }
    std::cout << "rollout under load, " << group.good << " answers: passed\n";
}
