// Tests the HTTP server and client: routing, complete and streamed answers,
// disconnecting callers and concurrent streams.
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <iostream>

#include "http_client.hpp"
#include "http_server.hpp"
#include "io_wait.hpp"

using namespace verbenahold;

namespace {

const endpoint any_port{"127.0.0.1:0"};

}  // namespace

TEST_CASE("a whole answer carries status, body and method of the longest route") {
    http_server server;
    server.add_route("GET", "/v1", [](const auto&, const auto& reply) { reply->send(200, "text/plain", "short"); });
    server.add_route("POST", "/v1/echo", [](const http_request& request, const shared_reply& reply) {
        reply->send(201, "text/plain", request.segments_after("/v1/echo").join(',').toUtf8() + request.body);
    });
    const auto address = server.listen_on(any_port);
    REQUIRE(address);
    http_client client;
    http_answer answer;
    int answers = 0;
    const auto keep = [&](const http_answer& got) {
        answer = got;
        ++answers;
    };
    for (int round = 1; round <= 3; ++round) {
        http_call call{.method = "POST", .url = url_of(address->address, "/v1/echo/a%2Fb/c"), .body = "xyz"};
        call.content_type = "text/plain";
        client.send(call, keep);
        REQUIRE(wait_until([&] { return answers == round; }));
        CHECK(answer.status == 201);
        CHECK(answer.body == "a/b,cxyz");
    }
    client.send({.url = url_of(address->address, "/v1/other")}, keep);
    REQUIRE(wait_until([&] { return answers == 4; }));
    CHECK(answer.body == "short");
    client.send({.method = "PUT", .url = url_of(address->address, "/v1/echo")}, keep);
    REQUIRE(wait_until([&] { return answers == 5; }));
    CHECK(answer.status == 405);
    client.send({.url = url_of(address->address, "/elsewhere")}, keep);
    REQUIRE(wait_until([&] { return answers == 6; }));
    CHECK(answer.status == 404);
    std::cout << "whole answers and routes: passed\n";
}

TEST_CASE("thirty streams to one server run at once") {
    // With a limit on connections, a stream would wait until another one ends.
    constexpr int streams = 30;
    http_server server;
    std::vector<shared_reply> open;
    server.add_route("GET", "/stream", [&](const auto&, const shared_reply& reply) {
        reply->begin(200, "text/event-stream");
        reply->write("data: first\n\n");
        open.push_back(reply);
    });
    const auto address = server.listen_on(any_port);
    http_client client;
    int events = 0;
    int ends = 0;
    for (int i = 0; i < streams; ++i) {
        stream_callbacks callbacks;
        callbacks.on_event = [&](const QByteArray&) { ++events; };
        callbacks.on_end = [&](const http_answer& answer) { ends += answer.is_success() ? 1 : 0; };
        client.open_stream({.url = url_of(address->address, "/stream")}, std::chrono::seconds(20), callbacks);
    }
    REQUIRE(wait_until([&] { return events == streams; }));
    CHECK(ends == 0);
    for (const auto& reply : open) {
        reply->write("data: second\n\n");
        reply->end();
    }
    REQUIRE(wait_until([&] { return ends == streams; }));
    CHECK(events == 2 * streams);
    std::cout << "thirty streams at once: passed\n";
}

TEST_CASE("a caller that goes away is noticed once and its socket is freed") {
    http_server server;
    int gone = 0;
    shared_reply kept;
    server.add_route("GET", "/", [&](const auto&, const shared_reply& reply) {
        reply->begin(200, "text/event-stream");
        reply->on_gone([&] { ++gone; });
        kept = reply;
    });
    const auto address = server.listen_on(any_port);
    const auto before = server.findChildren<QTcpSocket*>().size();
    http_client client;
    bool opened = false;
    stream_callbacks callbacks;
    callbacks.on_open = [&] { opened = true; };
    const auto id = client.open_stream({.url = url_of(address->address, "/")}, std::chrono::seconds(5), callbacks);
    REQUIRE(wait_until([&] { return opened; }));
    client.cancel(id);
    REQUIRE(wait_until([&] { return gone == 1; }));
    CHECK_FALSE(kept->is_open());
    CHECK_FALSE(kept->write("late"));
    kept.reset();
    CHECK(wait_until([&] { return server.findChildren<QTcpSocket*>().size() == before; }));
    CHECK(server.open_connections() == 0);
    CHECK(gone == 1);
    std::cout << "caller gone: passed\n";
}

TEST_CASE("a large body after Expect: 100-continue takes less than 200 ms") {
    // Clients wait up to a second for "100 Continue" before a large body.
    http_server server;
    server.add_route("POST", "/", [](const http_request& request, const shared_reply& reply) {
        reply->send(200, "text/plain", QByteArray::number(request.body.size()));
    });
    const auto address = server.listen_on(any_port);
    const QUrl url = url_of(address->address, "/");
    QTcpSocket socket;
    socket.connectToHost(url.host(), static_cast<quint16>(url.port()));
    QElapsedTimer since;
    since.start();
    socket.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\nExpect: 100-continue\r\n\r\n");
    QByteArray received;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] { received += socket.readAll(); });
    REQUIRE(wait_until([&] { return received.startsWith("HTTP/1.1 100 Continue\r\n\r\n"); }));
    socket.write(QByteArray(4'000'000, 'a'));
    REQUIRE(wait_until([&] { return received.endsWith("4000000"); }));
    CHECK(since.elapsed() < 200);
    std::cout << "100-continue: passed\n";
}
