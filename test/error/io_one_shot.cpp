// Tests calls that must run at most once: one connection, one request, and the
// failure `refused` only if nothing was sent.
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <iostream>

#include "../correctness/io_wait.hpp"
#include "http_server.hpp"
#include "one_shot_call.hpp"

using namespace verbenahold;

namespace {

http_answer run(const http_call& call) {
    QObject owner;
    http_answer answer;
    bool done = false;
    one_shot_call::start(call, &owner, [&](const http_answer& got) {
        answer = got;
        done = true;
    });
    REQUIRE(wait_until([&] { return done; }));
    return answer;
}

}  // namespace

TEST_CASE("a call without a body is received whole once when the connection closes before the reply") {
    // A repetition must never be a complete request.
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    int whole = 0;
    // A Qt slot must not throw, so its observations are checked below.
    bool says_one_byte = true;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
        QTcpSocket* socket = server.nextPendingConnection();
        const auto bytes = std::make_shared<QByteArray>();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&whole, &says_one_byte, socket, bytes] {
            *bytes += socket->readAll();
            const qsizetype head_end = bytes->indexOf("\r\n\r\n");
            if (head_end < 0) {
                return;
            }
            says_one_byte = says_one_byte && bytes->toLower().contains("content-length: 1\r\n");
            if (bytes->size() >= head_end + 5) {
                ++whole;
                socket->disconnectFromHost();
            }
        });
    });
    const std::string address = "127.0.0.1:" + std::to_string(server.serverPort());
    http_call refund{.method = "POST", .url = url_of(address, "/v1/refunds")};
    refund.timeout = std::chrono::milliseconds(1'000);
    const http_failure failure = run(refund).failure;
    CHECK((failure == http_failure::reset || failure == http_failure::timed_out));
    CHECK_FALSE(wait_until([&] { return whole > 1; }, 300));
    CHECK(whole == 1);
    CHECK(says_one_byte);
    server.close();
    CHECK(run({.method = "POST", .url = url_of(address, "/v1/refunds")}).failure == http_failure::refused);
    std::cout << "call without a body received once: passed\n";
}

TEST_CASE("whole, chunked and silent answers are told apart") {
    http_server server;
    std::vector<shared_reply> silent;
    server.add_route("POST", "/whole", [](const http_request& request, const shared_reply& reply) {
        reply->send(200, "text/plain", request.body + request.header("idempotency-key"));
    });
    server.add_route("POST", "/chunked", [](const auto&, const shared_reply& reply) {
        reply->begin(201, "text/plain");
        reply->write("first ");
        reply->write("second");
        reply->end();
    });
    server.add_route("POST", "/silent", [&](const auto&, const shared_reply& reply) { silent.push_back(reply); });
    const std::string address = server.listen_on(endpoint{"127.0.0.1:0"})->address;
    http_call call{.method = "POST", .url = url_of(address, "/whole"), .body = "order "};
    call.headers = {{"Idempotency-Key", "k"}};
    CHECK(run(call).body == "order k");
    const http_answer chunked = run({.method = "POST", .url = url_of(address, "/chunked"), .body = "x"});
    CHECK(chunked.status == 201);
    CHECK(chunked.body == "first second");
    http_call slow{.method = "POST", .url = url_of(address, "/silent"), .body = "x"};
    slow.timeout = std::chrono::milliseconds(200);
    CHECK(run(slow).failure == http_failure::timed_out);
    std::cout << "one-shot answers: passed\n";
}
