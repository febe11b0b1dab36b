// Tests the HTTP requests sent for engine commands and the core events made from
// the answers.
#include <catch2/catch.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>

#include "engine_client.hpp"
#include "http_server.hpp"
#include "io_wait.hpp"

using namespace verbenahold;

namespace {

const server_name engine("engine-1");

struct running {
    running() : commands(client, [this](entry_event&& event) { events.push_back(std::move(event)); }) {
        server.add_route("POST", "/v1/streams", [this](const http_request& request, const shared_reply& reply) {
            opened = QJsonDocument::fromJson(request.body).object();
            traceparent = request.header("traceparent").toStdString();
            if (refuse_with != 0) {
                reply->send(refuse_with, "application/json", R"({"error":"stream_exists"})");
                return;
            }
            reply->begin(200, "text/event-stream");
            reply->write("data: {\"first\":2,\"tokens\":[\"c\",\"d\"]}\n\n: heartbeat\n\n");
            kept = reply;
        });
        server.add_route("GET", "/v1/streams/s.1", [this](const http_request& request, const shared_reply& reply) {
            from = request.query.queryItemValue("from").toInt();
            reply->begin(200, "text/event-stream");
            reply->write("data: {\"done\":true,\"count\":4,\"cached\":1,\"finish\":\"stop\"}\n\n");
            reply->end();
        });
        address = *server.listen_on(endpoint{"127.0.0.1:0"});
    }

    template <class T>
    const T& event(std::size_t index) {
        REQUIRE(wait_until([&] { return events.size() > index; }));
        const T* held = std::get_if<T>(&events[index]);
        REQUIRE(held != nullptr);
        return *held;
    }

    [[nodiscard]] open_stream command() const {
        open_stream made;
        made.server = engine;
        made.address = address;
        made.stream = "s.1";
        made.prompt = std::make_shared<const std::string>("hello");
        made.generated = {"a", "b"};
        made.max_tokens = 4;
        made.parts = {{server_name("engine-2"), "r", 9}};
        made.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        return made;
    }

    http_server server;
    http_client client;
    std::vector<entry_event> events;
    engine_client commands;
    endpoint address;
    QJsonObject opened;
    std::string traceparent;
    shared_reply kept;
    int refuse_with = 0;
    int from = -1;
};

}  // namespace

TEST_CASE("a stream gives its events, goes silent, and is read on from its last token") {
    running engines;
    std::vector<span_ended> spans;
    engines.commands.set_span_sink([&](const span_ended& span) { spans.push_back(span); }, 1);
    engines.commands.set_addresses({{server_name("engine-2"), endpoint{"127.0.0.1:9"}}});
    QElapsedTimer since;
    since.start();
    engines.commands.run(engines.command());
    engines.event<stream_opened>(0);
    CHECK(engines.opened["prompt"].toString() == "hello");
    CHECK(engines.opened["generated"][1].toString() == "b");
    CHECK(engines.opened["parts"][0]["url"].toString() == "http://127.0.0.1:9");
    CHECK(engines.event<stream_tokens>(1).first_index == 2);
    CHECK(engines.event<stream_tokens>(1).tokens == std::vector<std::string>{"c", "d"});
    engines.event<stream_heartbeat>(2);
    CHECK(engines.event<stream_failed>(3).failure == backend_failure::timed_out);
    CHECK(since.elapsed() >= engine_client::silence_limit.count());
    CHECK(since.elapsed() < 2 * engine_client::silence_limit.count());
    engines.commands.run(reopen_stream{engine, engines.address, "s.1", 4});
    engines.event<stream_opened>(4);
    CHECK(engines.event<stream_finished>(5).token_count == 4);
    CHECK(engines.from == 4);
    CHECK(engines.commands.open_streams() == 0);
    REQUIRE(spans.size() == 2);
    CHECK(spans[0].traceparent == engines.traceparent);
    CHECK(spans[0].parent == engines.command().traceparent);
    std::cout << "engine stream with silence: passed\n";
}

TEST_CASE("a stream that exists is read instead, and refusals keep their meaning") {
    running engines;
    engines.refuse_with = 409;
    engines.commands.run(engines.command());
    engines.event<stream_opened>(0);
    CHECK(engines.event<stream_finished>(1).token_count == 4);
    CHECK(engines.from == 2);
    std::size_t next = 2;
    for (const auto& [status, failure] :
         std::vector<std::pair<int, backend_failure>>{{429, backend_failure::overloaded},
                                                      {507, backend_failure::out_of_memory},
                                                      {400, backend_failure::rejected},
                                                      {500, backend_failure::bad_answer}}) {
        engines.refuse_with = status;
        engines.commands.run(engines.command());
        CHECK(engines.event<stream_failed>(next++).failure == failure);
    }
    engines.server.stop_listening();
    std::cout << "existing streams and refusals: passed\n";
}

TEST_CASE("load is reported with cache events that go on where they ended") {
    running engines;
    QStringList after;
    engines.server.add_route("GET", "/v1/load", [](const auto&, const shared_reply& reply) {
        reply->send(200, "application/json",
                    R"({"incarnation":5,"running":1,"queued":2,"kv_used_tokens":3,"kv_capacity_tokens":4,)"
                    R"("prefill_backlog_tokens":6,"model_version":"7"})");
    });
    engines.server.add_route("GET", "/v1/cache_events", [&](const http_request& request, const shared_reply& reply) {
        after.append(request.query.queryItemValue("after"));
        reply->send(200, "application/json",
                    R"({"next":8,"events":[{"prefix_hash":"ffffffffffffffff","stored":false},{"prefix_hash":"x"}]})");
    });
    const poll_load poll{engine, engines.address};
    engines.commands.run(poll);
    CHECK(engines.event<load_report>(0).kv_capacity_tokens == 4);
    CHECK(engines.event<cache_event>(1).prefix_hash == ~0ULL);
    CHECK_FALSE(engines.event<cache_event>(1).stored);
    engines.commands.run(poll);
    engines.event<cache_event>(3);
    CHECK(after == QStringList{"0", "8"});
    engines.commands.run(list_streams{engine, engines.address});
    CHECK(engines.event<load_failed>(4).failure == backend_failure::bad_answer);
    std::cout << "load and cache events: passed\n";
}
