// Guards the load generator: if one of its checks could not fail, lost, doubled
// and wrong answers would go unnoticed in every experiment.
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <catch2/catch.hpp>

#include <functional>
#include <iostream>
#include <map>

#include "http_server.hpp"
#include "io_wait.hpp"
#include "load_client.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"
#include "token_text.hpp"

using namespace verbenahold;
using namespace std::chrono_literals;
using standins::load_end;
using standins::load_kind;
using standins::load_settings;

namespace {

QByteArray refusal_body(const char* ran) {
    return QByteArray(R"({"error":{"code":"overloaded","message":"","ran":")") + ran + "\"}}";
}

// One scripted entry, which also serves the statistics of a plain service.
struct scripted_entry {
    http_server server;
    std::string address;
    std::function<void(const std::string& prompt, std::int64_t tokens, const shared_reply&)> complete;
    std::function<void(const std::string& key, const shared_reply&)> order;
    QJsonObject executions;
    int keys_issued = 0;

    scripted_entry() {
        server.add_route("GET", "/v1/locate", [this](const http_request& request, const shared_reply& reply) {
            QJsonArray keys;
            for (int count = request.query.queryItemValue("keys").toInt(); count > 0; --count) {
                keys.append("key-" + QString::number(++keys_issued));
            }
            const QJsonObject entry{{"address", QString::fromStdString(address)}, {"zone", "a"}};
            reply->send(200, "application/json",
                        json_text({{"entries", QJsonArray{entry}}, {"ttl_ms", 5000}, {"keys", keys}}));
        });
        server.add_route("POST", "/v1/completions", [this](const http_request& request, const shared_reply& reply) {
            const QJsonObject body = QJsonDocument::fromJson(request.body).object();
            complete(body["prompt"].toString().toStdString(), body["max_tokens"].toInteger(), reply);
        });
        server.add_route("POST", "/v1/services/shop", [this](const http_request& request, const shared_reply& reply) {
            order(request.header("idempotency-key").toStdString(), reply);
        });
        server.add_route("GET", "/v1/admin/stats", [this](const auto&, const shared_reply& reply) {
            reply->send(200, "application/json", json_text({{"executions", executions}}));
        });
        address = server.listen_on(endpoint{"127.0.0.1:0"}).value().address;
    }

    void execute(const std::string& key) {
        const QString name = QString::fromStdString(key);
        executions[name] = executions[name].toInteger() + 1;
    }

    static void stream(const std::string& prompt, std::int64_t tokens, const shared_reply& reply, bool end = true) {
        reply->begin(200, "text/event-stream");
        for (std::int64_t index = 0; index < tokens; ++index) {
            const std::string token =
                standins::token_text(standins::hash_prompt(prompt), static_cast<std::uint64_t>(index));
            reply->write(QByteArray::fromStdString(R"(data: {"choices":[{"text":")" + token +
                                                   "\",\"finish_reason\":null}]}\n\n"));
        }
        if (end) {
            reply->write("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n");
        }
        reply->end();
    }
};

load_settings settings_for(const scripted_entry& entry, load_kind kind) {
    load_settings settings;
    settings.entries = {entry.address};
    settings.accounts = {{"secret", 1}};
    settings.model = "model";
    settings.service = "shop";
    settings.service_addresses = {entry.address};
    settings.rate = 40;
    settings.length = 250ms;
    settings.deadline = 3s;
    settings.max_prompt_tokens = 2'000;
    settings.order_share = kind == load_kind::order ? 1 : 0;
    settings.lookup_share = 0;
    return settings;
}

// Runs the load to its end and checks that every request ended as expected.
void run_expecting(standins::load_client& client, load_end end, int attempts) {
    bool done = false;
    client.run([&] { done = true; });
    REQUIRE(wait_until([&] { return done; }, 20'000));
    REQUIRE_FALSE(client.results().empty());
    for (const standins::load_result& result : client.results()) {
        CHECK(standins::to_string(result.end) == std::string(standins::to_string(end)));
        CHECK(result.attempts == attempts);
    }
}

}  // namespace

TEST_CASE("load: an answer counts only when every token is there and right") {
    scripted_entry entry;
    timer_service timers;
    const load_settings settings = settings_for(entry, load_kind::completion);
    const auto expect = [&](load_end end, int attempts, auto script) {
        entry.complete = script;
        standins::load_client client(settings, timers);
        run_expecting(client, end, attempts);
    };
    expect(load_end::answered, 1, [](const auto& prompt, std::int64_t tokens, const auto& reply) {
        scripted_entry::stream(prompt, tokens, reply);
    });
    expect(load_end::wrong, 1, [](const auto& prompt, std::int64_t tokens, const auto& reply) {
        scripted_entry::stream(prompt + "x", tokens, reply);
    });
    expect(load_end::wrong, 1, [](const auto& prompt, std::int64_t tokens, const auto& reply) {
        scripted_entry::stream(prompt, tokens - 1, reply);
    });
    expect(load_end::wrong, 1, [](const auto& prompt, std::int64_t tokens, const auto& reply) {
        scripted_entry::stream(prompt, tokens + 1, reply);
    });
    // An answer without its end is a lost connection at every try.
    expect(load_end::lost, 4, [](const auto& prompt, std::int64_t tokens, const auto& reply) {
        scripted_entry::stream(prompt, tokens, reply, false);
    });
    std::cout << "load generator checks answers: passed\n";
}

TEST_CASE("load: what did not run is sent again, what may have failed is not") {
    scripted_entry entry;
    timer_service timers;
    const load_settings settings = settings_for(entry, load_kind::completion);
    std::map<std::string, int> seen;
    entry.complete = [&](const std::string& prompt, std::int64_t tokens, const shared_reply& reply) {
        if (++seen[prompt] == 1) {
            reply->send(503, "application/json", refusal_body("no"));
        } else if (seen[prompt] == 2) {
            reply->abort();
        } else {
            scripted_entry::stream(prompt, tokens, reply);
        }
    };
    standins::load_client resent(settings, timers);
    run_expecting(resent, load_end::answered, 3);
    entry.complete = [](const auto&, auto, const auto& reply) {
        reply->send(502, "application/json", refusal_body("unknown"));
    };
    standins::load_client failed(settings, timers);
    run_expecting(failed, load_end::failed, 1);
    entry.complete = [](const auto&, auto, const auto& reply) {
        reply->send(503, "application/json", refusal_body("no"));
    };
    standins::load_client refused(settings, timers);
    run_expecting(refused, load_end::refused, 4);
    const QJsonObject report = standins::make_report(settings, refused);
    CHECK(report["errors_by_code"].toObject()["overloaded"].toInteger() ==
          static_cast<qint64>(refused.results().size()));
    std::cout << "load generator resends: passed\n";
}

TEST_CASE("load: a request without answer or error is late") {
    scripted_entry entry;
    timer_service timers;
    load_settings settings = settings_for(entry, load_kind::completion);
    settings.deadline = 200ms;
    std::vector<shared_reply> silent;
    entry.complete = [&](const auto&, auto, const auto& reply) { silent.push_back(reply); };
    standins::load_client client(settings, timers);
    run_expecting(client, load_end::late, 1);
    std::cout << "load generator counts late answers: passed\n";
}

TEST_CASE("load: doubled orders and false refusals show in the audit") {
    scripted_entry entry;
    timer_service timers;
    const load_settings settings = settings_for(entry, load_kind::order);
    std::map<std::string, int> seen;
    entry.order = [&](const std::string& key, const shared_reply& reply) {
        entry.execute(key);
        reply->send(200, "application/json", "{}");
    };
    standins::load_client once(settings, timers);
    run_expecting(once, load_end::answered, 1);
    CHECK(once.audit().complete);
    CHECK(once.audit().doubled == 0);
    CHECK(once.audit().wrong_ran_no == 0);
    CHECK(once.audit().missing == 0);

    // Answers `ran: no` although the order ran; the order then also runs under
    // its next key.
    int calls = 0;
    entry.order = [&](const std::string& key, const shared_reply& reply) {
        entry.execute(key);
        const bool lie = ++calls % 2 == 1;
        reply->send(lie ? 503 : 200, "application/json", lie ? refusal_body("no") : QByteArray("{}"));
    };
    load_settings one_at_a_time = settings;
    one_at_a_time.rate = 4;
    one_at_a_time.length = 1s;
    standins::load_client doubled(one_at_a_time, timers);
    bool done = false;
    doubled.run([&] { done = true; });
    REQUIRE(wait_until([&] { return done; }, 20'000));
    CHECK(doubled.audit().doubled >= 1);
    CHECK(doubled.audit().wrong_ran_no >= 1);

    entry.order = [](const auto&, const auto& reply) { reply->send(200, "application/json", "{}"); };
    standins::load_client missing(settings, timers);
    run_expecting(missing, load_end::answered, 1);
    CHECK(missing.audit().missing == static_cast<int>(missing.results().size()));
    std::cout << "load generator audits orders: passed\n";
}

TEST_CASE("load: the plan has the asked rate, lengths and shares, and depends on the seed only") {
    load_settings settings;
    settings.accounts = {{"a", 3}, {"b", 1}};
    settings.rate = 1'000;
    settings.length = 20s;
    const auto plan = standins::make_plan(settings);
    CHECK(plan.size() == Approx(20'000).margin(600));
    double completions = 0;
    double huge = 0;
    double first_account = 0;
    for (const standins::planned_request& request : plan) {
        first_account += request.account == 0 ? 1 : 0;
        if (request.kind == load_kind::completion) {
            ++completions;
            huge += request.prompt_tokens > standins::huge_prompt_tokens ? 1 : 0;
            CHECK(request.prompt_tokens >= standins::min_prompt_tokens);
            CHECK(request.prompt_tokens <= 1'000'000);
        }
    }
    CHECK(huge / completions == Approx(0.02).margin(0.004));
    CHECK(first_account / static_cast<double>(plan.size()) == Approx(0.75).margin(0.02));
    // Without the long prompts, all other requests stay the same.
    settings.drop_above_tokens = 4'096;
    const auto shorter = standins::make_plan(settings);
    REQUIRE(shorter.size() < plan.size());
    const auto same = std::find_if(plan.begin(), plan.end(),
                                   [&](const auto& request) { return request.seed == shorter.back().seed; });
    REQUIRE(same != plan.end());
    CHECK(same->at == shorter.back().at);
    CHECK(standins::percentile({4, 1, 3, 2}, 50) == 2);
    CHECK(standins::percentile({4, 1, 3, 2}, 95) == 4);
    std::cout << "load plan: passed\n";
}
