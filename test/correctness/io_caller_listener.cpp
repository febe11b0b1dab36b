// Tests the HTTP interface for callers: requests as core events, complete and
// streamed answers, errors, disconnects and keep-alive comments.
#include <catch2/catch.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>

#include "caller_listener.hpp"
#include "http_client.hpp"
#include "io_wait.hpp"

using namespace verbenahold;

namespace {

struct listening {
    listening()
        : listener({.sink = [this](entry_event&& event) { events.push_back(std::move(event)); },
                    .is_ready = [] { return true; },
                    .metrics_text = [] { return QByteArray("m 1\n"); },
                    .on_span = [this](const span_ended& span) { spans.push_back(span); }},
                   1) {
        address = *listener.listen_on(endpoint{"127.0.0.1:0"});
    }

    template <class T>
    const T& event(std::size_t index) {
        REQUIRE(wait_until([&] { return events.size() > index; }));
        return std::get<T>(events[index]);
    }

    http_call call(const char* path, const QByteArray& body = {}) const {
        http_call made{.method = body.isEmpty() ? "GET" : "POST", .url = url_of(address.address, path), .body = body};
        made.content_type = "application/json";
        made.headers = {{"Authorization", "Bearer sesame"}};
        return made;
    }

    // Sends the call and runs `reply` when the event of the call arrives.
    http_answer exchange(const http_call& sent, const std::function<void()>& reply) {
        const std::size_t before = events.size();
        bool done = false;
        http_answer answer;
        client.send(sent, [&](const http_answer& got) {
            answer = got;
            done = true;
        });
        if (reply) {
            REQUIRE(wait_until([&] { return events.size() > before; }));
            reply();
        }
        REQUIRE(wait_until([&] { return done; }));
        return answer;
    }

    std::vector<entry_event> events;
    std::vector<span_ended> spans;
    caller_listener listener;
    http_client client;
    endpoint address;
};

const QByteArray streamed = R"({"model":"shade-llm","prompt":"hi \u00e9","max_tokens":5,"stream":true})";

}  // namespace

TEST_CASE("a streamed completion carries tokens, the end and a span") {
    listening server;
    QList<QByteArray> data;
    bool ended = false;
    server.client.open_stream(server.call("/v1/completions", streamed), std::chrono::seconds(10),
                              {.on_event = [&](const QByteArray& event) { data.append(event); },
                               .on_end = [&](const http_answer& answer) { ended = answer.is_success(); }});
    const auto request = server.event<caller_request>(0);
    CHECK(request.service.value == "shade-llm");
    CHECK(*request.body == "hi \xc3\xa9");
    CHECK(request.max_tokens == 5);
    CHECK(request.key_hash.size() == 64);
    server.listener.run(reply_tokens{request.ticket, 0, {"a\"", "\n"}});
    server.listener.run(reply_finished{request.ticket, "stop", 2, 2, 1});
    REQUIRE(wait_until([&] { return ended; }));
    REQUIRE(data.size() == 3);
    const QJsonObject first = QJsonDocument::fromJson(data[0]).object();
    CHECK(first["choices"][0]["text"].toString() == "a\"\n");
    const QJsonObject last = QJsonDocument::fromJson(data[1]).object();
    CHECK(last["choices"][0]["finish_reason"].toString() == "stop");
    CHECK(last["usage"]["total_tokens"].toInt() == 4);
    CHECK(data[2] == "[DONE]");
    REQUIRE(server.spans.size() == 1);
    CHECK(server.spans[0].traceparent == request.traceparent);
    CHECK(server.listener.open_requests() == 0);
    std::cout << "streamed completion: passed\n";
}

TEST_CASE("a whole completion, a refusal, a plain call and locate have their forms") {
    listening server;
    const auto ticket = [&] { return std::get<caller_request>(server.events.back()).ticket; };
    const QByteArray whole = R"({"model":"m","prompt":"p","deadline_ms":700})";
    http_answer answer = server.exchange(server.call("/v1/completions", whole), [&] {
        CHECK(std::get<caller_request>(server.events.back()).deadline == std::chrono::milliseconds(700));
        server.listener.run(reply_tokens{ticket(), 0, {"x", "y"}});
        server.listener.run(reply_finished{ticket(), "length", 1, 2, 0});
    });
    CHECK(QJsonDocument::fromJson(answer.body)["choices"][0]["text"].toString() == "xy");
    answer = server.exchange(server.call("/v1/completions", whole), [&] {
        server.listener.run(reply_refused{ticket(), refusal::account_limit, ran_state::no, "over", duration(1)});
    });
    CHECK(answer.status == 429);
    CHECK(answer.body == R"({"error":{"code":"account_limit","message":"over","ran":"no"}})");
    http_call order = server.call("/v1/services/kit-shop/orders/a%2Fb?x=1", "{}");
    order.headers.emplace_back("Idempotency-Key", "k1");
    answer = server.exchange(order, [&] {
        const auto& request = std::get<caller_request>(server.events.back());
        CHECK(request.path == "/v1/orders/a%2Fb?x=1");
        CHECK(request.idempotency_key == "k1");
        CHECK_FALSE(request.idempotent);
        server.listener.run(reply_service{ticket(), 201, "text/plain", "made"});
    });
    CHECK(answer.status == 201);
    CHECK(answer.body == "made");
    answer = server.exchange(server.call("/v1/locate?zone=b&keys=2"), [&] {
        const auto& request = std::get<locate_request>(server.events.back());
        CHECK(request.keys == 2);
        CHECK(request.zone.value == "b");
        server.listener.run(reply_located{
            request.ticket, {{endpoint{"127.0.0.1:5"}, zone_name("b")}}, std::chrono::seconds(5), {"key"}});
    });
    CHECK(answer.body == R"({"entries":[{"address":"127.0.0.1:5","zone":"b"}],"keys":["key"],"ttl_ms":5000})");
    CHECK(server.exchange(server.call("/metrics"), nullptr).body == "m 1\n");
    CHECK(server.exchange(server.call("/readyz"), nullptr).status == 200);
    std::cout << "forms of answers: passed\n";
}

TEST_CASE("bad requests get 400 with ran: no and never reach the core") {
    listening server;
    for (const auto* body :
         {"[]", "{", R"({"model":"m"})", R"({"model":"m","prompt":""})", R"({"model":"m","prompt":"p","max_tokens":0})",
          R"({"model":"m","prompt":"p","max_tokens":1.5})", R"({"model":"m","prompt":"p","stream":"yes"})",
          R"({"model":"m","prompt":"p","deadline_ms":-1})"}) {
        const http_answer answer = server.exchange(server.call("/v1/completions", body), nullptr);
        INFO(body);
        CHECK(answer.status == 400);
        CHECK(answer.body.contains(R"("ran":"no")"));
    }
    CHECK(server.exchange(server.call("/v1/services/kit-shop", "{}"), nullptr).status == 400);
    CHECK(server.exchange(server.call("/v1/locate?keys=x"), nullptr).status == 400);
    CHECK(server.events.empty());
    std::cout << "bad caller requests: passed\n";
}

TEST_CASE("a quiet stream gets a comment each 5 s, and a lost caller is reported once") {
    listening server;
    int comments = 0;
    // The response headers are sent with the first comment.
    http_call call = server.call("/v1/completions", streamed);
    call.timeout = std::chrono::seconds(10);
    const auto id = server.client.open_stream(call, std::chrono::seconds(10),
                                              {.on_comment = [&] { ++comments; }, .on_end = [](const auto&) {}});
    const auto ticket = server.event<caller_request>(0).ticket;
    REQUIRE(wait_until([&] { return comments == 1; }));
    server.client.cancel(id);
    CHECK(server.event<caller_disconnected>(1).ticket == ticket);
    server.listener.run(reply_tokens{ticket, 0, {"late"}});
    CHECK(server.listener.open_requests() == 0);
    CHECK(server.events.size() == 2);
    std::cout << "keep-alive and caller gone: passed\n";
}
