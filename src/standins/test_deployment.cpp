#include "test_deployment.hpp"

#include "token_text.hpp"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>

#include <cstdlib>

namespace verbenahold::standins {

namespace {

constexpr std::chrono::seconds ready_limit(10);
constexpr const char* account_key = "test-account-key";

QList<QPair<QByteArray, QByteArray>> account_headers() {
    return {{"Authorization", QByteArray("Bearer ") + account_key}, {"Content-Type", "application/json"}};
}

std::string numbered(const std::string& name, int number) {
    return name + "-" + std::to_string(number);
}

// Folder for the log files of the programs; no log files if it is not set.
std::string log_folder() {
    const char* found = std::getenv("VERBENAHOLD_TEST_LOGS");  // NOLINT(concurrency-mt-unsafe)
    return found == nullptr ? std::string() : std::string(found);
}

std::string streamed_text(const QByteArray& body, bool& ended) {
    std::string text;
    for (const QByteArray& line : body.split('\n')) {
        ended = ended || line == "data: [DONE]";
        if (line.startsWith("data: {")) {
            const QJsonObject event = QJsonDocument::fromJson(line.mid(6)).object();
            text += event["choices"][0]["text"].toString().toStdString();
        }
    }
    return text;
}

}  // namespace

std::string zone_of(int number) {
    return std::string(1, static_cast<char>('a' + (number - 1) % 3));
}

test_deployment::test_deployment(const std::string& program_folder, const deployment_plan& plan)
    : m_plan(plan), m_fleet(program_folder, log_folder()) {
    m_fleet.start_platform();
    m_fleet.write_initial_records(records());
    if (plan.control) {
        m_fleet.start(member_kind::control, {"control-1", "a", {}, {}, false});
    }
    for (int i = 1; i <= plan.engines; ++i) {
        m_fleet.start(member_kind::engine,
                      {numbered("engine", i), zone_of(i), "llm", plan.engine_arguments, plan.engines_behind_proxy});
    }
    m_fleet.start(member_kind::service, {"shop-1", "a", "shop", {}, false});
    for (int i = 1; i <= plan.entries; ++i) {
        m_fleet.start(member_kind::entry, {numbered("entry", i), zone_of(i), {}, plan.entry_arguments, false});
    }
    for (int i = 1; i <= plan.entries; ++i) {
        if (!wait_until([&] { return is_ready(numbered("entry", i)); }, ready_limit)) {
            throw fleet_error(numbered("entry", i) + " did not become ready");
        }
    }
}

std::vector<fleet::initial_record> test_deployment::records() const {
    const QString key_hash =
        QString::fromLatin1(QCryptographicHash::hash(account_key, QCryptographicHash::Sha256).toHex());
    return {{"service",
             "llm",
             {{"type", "model"},
              {"model", "llm"},
              {"model_version", "1"},
              {"cold_capacity", m_plan.cold_capacity},
              {"warm_capacity", 16}}},
            {"service", "shop", {{"type", "plain"}, {"cold_capacity", 8}, {"warm_capacity", 32}}},
            {"client_account",
             "tester",
             {{"key_hashes", QJsonArray{key_hash}}, {"tokens_per_second", 1e6}, {"burst_tokens", 1e7}}},
            {"availability_zone", "a", {{"state", "in"}}},
            {"availability_zone", "b", {{"state", "in"}}},
            {"availability_zone", "c", {{"state", "in"}}}};
}

bool test_deployment::is_ready(const std::string& entry) const {
    return call_json("GET", m_fleet.address(entry), "/readyz").status == 200;
}

std::unique_ptr<http_exchange> test_deployment::send(const std::string& entry, const completion& request) const {
    const QJsonObject body{{"model", "llm"},
                           {"prompt", QString::fromStdString(request.prompt)},
                           {"max_tokens", static_cast<qint64>(request.max_tokens)},
                           {"stream", request.stream},
                           {"deadline_ms", static_cast<qint64>(request.deadline_ms)}};
    return std::make_unique<http_exchange>(test_request{"POST", m_fleet.address(entry), "/v1/completions",
                                                        account_headers(),
                                                        QJsonDocument(body).toJson(QJsonDocument::Compact)});
}

std::unique_ptr<http_exchange> test_deployment::order(const std::string& entry, const std::string& key,
                                                      const QByteArray& body) const {
    auto headers = account_headers();
    headers.append(qMakePair(QByteArray("Idempotency-Key"), QByteArray::fromStdString(key)));
    return std::make_unique<http_exchange>(
        test_request{"POST", m_fleet.address(entry), "/v1/services/shop/orders", headers, body});
}

test_answer test_deployment::locate(const std::string& entry, int keys) const {
    return call_json("GET", m_fleet.address(entry), "/v1/locate?keys=" + std::to_string(keys), {}, account_headers());
}

void test_deployment::set_zone(const std::string& zone, const std::string& state) {
    m_fleet.put_record("availability_zone", zone, {{"state", QString::fromStdString(state)}});
}

std::int64_t test_deployment::sum_of(const std::string& counter) const {
    std::int64_t sum = 0;
    for (int i = 1; i <= m_plan.engines; ++i) {
        if (m_fleet.is_running(numbered("engine", i))) {
            sum += m_fleet.stats(numbered("engine", i))[QString::fromStdString(counter)].toInteger();
        }
    }
    return sum;
}

std::int64_t test_deployment::kv_used() const {
    return sum_of("kv_used");
}

std::string expected_text(const completion& request) {
    const std::uint64_t hash = hash_prompt(request.prompt);
    std::string text;
    for (std::int64_t i = 0; i < request.max_tokens; ++i) {
        text += token_text(hash, static_cast<std::uint64_t>(i));
    }
    return text;
}

std::string text_of(const http_exchange& exchange, const completion& request) {
    bool ended = false;
    return request.stream ? streamed_text(exchange.body(), ended)
                          : exchange.json()["choices"][0]["text"].toString().toStdString();
}

bool is_expected_answer(const http_exchange& exchange, const completion& request) {
    bool ended = !request.stream;
    if (request.stream) {
        streamed_text(exchange.body(), ended);
    }
    return exchange.is_complete() && exchange.status() == 200 && ended &&
           text_of(exchange, request) == expected_text(request);
}

std::string ran_of(const http_exchange& exchange) {
    const QJsonObject answer = exchange.json();
    return answer["error"]["ran"].toString().toStdString();
}

}  // namespace verbenahold::standins
