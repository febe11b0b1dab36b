// A small deployment for integration tests: entries "entry-1", ... and engines
// "engine-1", ... of the service "llm", in turn in zones a, b and c, the plain
// service "shop" with one worker "shop-1", and one client account.
#pragma once

#include "fleet.hpp"
#include "http_exchange.hpp"

#include <QJsonObject>
#include <QStringList>

#include <chrono>
#include <memory>
#include <string>

namespace verbenahold::standins {

struct deployment_plan {
    int entries = 3;
    int engines = 3;
    QStringList engine_arguments;
    QStringList entry_arguments;
    bool engines_behind_proxy = false;
    // Starts "control-1"; needed for put_record after the start.
    bool control = false;
    int cold_capacity = 2;
};

struct completion {
    std::string prompt;
    std::int64_t max_tokens = 20;
    bool stream = false;
    std::int64_t deadline_ms = 15'000;
};

class test_deployment {
public:
    // Starts everything and waits until all entries are ready. Throws
    // fleet_error.
    test_deployment(const std::string& program_folder, const deployment_plan& plan);

    fleet& processes() { return m_fleet; }
    // Sends a completion to an entry, for example "entry-1".
    [[nodiscard]] std::unique_ptr<http_exchange> send(const std::string& entry, const completion& request) const;
    // Sends a call to the plain service through an entry.
    [[nodiscard]] std::unique_ptr<http_exchange> order(const std::string& entry, const std::string& key,
                                                       const QByteArray& body) const;
    [[nodiscard]] test_answer locate(const std::string& entry, int keys) const;
    void set_zone(const std::string& zone, const std::string& state);
    [[nodiscard]] bool is_ready(const std::string& entry) const;
    // KV memory in use on all engines that run.
    [[nodiscard]] std::int64_t kv_used() const;
    // Sum of a counter over all engines that run.
    [[nodiscard]] std::int64_t sum_of(const std::string& counter) const;

private:
    [[nodiscard]] std::vector<fleet::initial_record> records() const;

    deployment_plan m_plan;
    fleet m_fleet;
};

// The answer that a prompt must have.
std::string expected_text(const completion& request);
// The text of an answer as far as it has arrived, streamed or not.
std::string text_of(const http_exchange& exchange, const completion& request);
// Whether the answer is complete and equal to the one expected.
bool is_expected_answer(const http_exchange& exchange, const completion& request);
// The field "ran" in the error body of a refusal; empty if there is none.
std::string ran_of(const http_exchange& exchange);
// The zone of the host with this number: a, b, c, a, ...
std::string zone_of(int number);

}  // namespace verbenahold::standins
