// Tests the limits of the HTTP server and the failures of the HTTP client.
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <iostream>

#include "../correctness/io_wait.hpp"
#include "http_client.hpp"
#include "http_server.hpp"

using namespace verbenahold;

namespace {

const endpoint any_port{"127.0.0.1:0"};

// Sends raw bytes and returns the bytes received until the connection ends.
QByteArray exchange(const endpoint& address, const QByteArray& bytes) {
    const QUrl url = url_of(address.address, "/");
    QTcpSocket socket;
    QByteArray received;
    bool ended = false;
    QObject::connect(&socket, &QTcpSocket::readyRead, [&] { received += socket.readAll(); });
    QObject::connect(&socket, &QTcpSocket::disconnected, [&] { ended = true; });
    socket.connectToHost(url.host(), static_cast<quint16>(url.port()));
    socket.write(bytes);
    REQUIRE(wait_until([&] { return ended; }));
    return received;
}

http_limits small_limits() {
    http_limits limits;
    limits.body_bytes = 1000;
    limits.header_bytes = 2000;
    limits.request_time = std::chrono::milliseconds(300);
    limits.idle_time = std::chrono::milliseconds(300);
    return limits;
}

}  // namespace

TEST_CASE("bodies, headers and senders over the limits are refused") {
    http_server server(small_limits());
    int handled = 0;
    server.add_route("POST", "/", [&](const auto&, const shared_reply& reply) {
        ++handled;
        reply->send(200, {}, {});
    });
    const auto address = server.listen_on(any_port);
    CHECK(exchange(*address, "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n").startsWith("HTTP/1.1 413 "));
    CHECK(exchange(*address, "POST / HTTP/1.1\r\nX: " + QByteArray(3000, 'a')).startsWith("HTTP/1.1 431 "));
    CHECK(exchange(*address, "POST / HTTP/1.1\r\nContent-Length: 9x\r\n\r\n").startsWith("HTTP/1.1 400 "));
    CHECK(exchange(*address, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").startsWith("HTTP/1.1 411 "));
    CHECK(exchange(*address, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nslow").startsWith("HTTP/1.1 408 "));
    CHECK(exchange(*address, "").isEmpty());
    CHECK(handled == 0);
    std::cout << "limits of connections: passed\n";
}

TEST_CASE("a caller that takes nothing is closed, by time and by waiting bytes") {
    http_limits limits;
    limits.write_stall_time = std::chrono::milliseconds(500);
    limits.write_buffer_bytes = 1'000'000;
    http_server server(limits);
    shared_reply kept;
    int gone = 0;
    server.add_route("GET", "/", [&](const auto&, const shared_reply& reply) {
        reply->begin(200, "text/plain");
        reply->on_gone([&] { ++gone; });
        kept = reply;
    });
    const QUrl url = url_of(server.listen_on(any_port)->address, "/");
    for (const bool flood : {false, true}) {
        kept.reset();
        QTcpSocket caller;
        caller.setReadBufferSize(1'000);
        caller.connectToHost(url.host(), static_cast<quint16>(url.port()));
        caller.write("GET / HTTP/1.1\r\n\r\n");
        REQUIRE(wait_until([&] { return kept != nullptr; }));
        const int before = gone;
        // More than the kernel's buffers hold, then more than the write buffer
        // limit.
        kept->write(QByteArray(20'000'000, 'a'));
        if (flood) {
            CHECK_FALSE(kept->write("more"));
            CHECK(gone == before + 1);
        }
        REQUIRE(wait_until([&] { return gone == before + 1; }));
        CHECK_FALSE(kept->is_open());
    }
    std::cout << "callers that take nothing: passed\n";
}

TEST_CASE("a body is sent once when the connection closes before the reply") {
    // Some clients repeat a POST in that case.
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    int bodies = 0;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
        QTcpSocket* socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [&bodies, socket] {
            if (socket->readAll().contains("order-body")) {
                ++bodies;
                socket->disconnectFromHost();
            }
        });
    });
    http_client client;
    const std::string address = "127.0.0.1:" + std::to_string(server.serverPort());
    http_answer answer;
    bool done = false;
    client.send({.method = "POST", .url = url_of(address, "/"), .content_type = "text/plain", .body = "order-body"},
                [&](const http_answer& got) {
                    answer = got;
                    done = true;
                });
    REQUIRE(wait_until([&] { return done; }));
    CHECK(answer.failure == http_failure::reset);
    CHECK_FALSE(wait_until([&] { return bodies > 1; }, 300));
    CHECK(bodies == 1);
    std::cout << "body sent once: passed\n";
}

TEST_CASE("refused, silent and broken servers give their own failures") {
    http_client client;
    http_failure failure = http_failure::none;
    bool done = false;
    const auto keep = [&](const http_answer& answer) {
        failure = answer.failure;
        done = true;
    };
    QTcpServer closed;
    REQUIRE(closed.listen(QHostAddress::LocalHost));
    const std::string refused = "127.0.0.1:" + std::to_string(closed.serverPort());
    closed.close();
    client.send({.url = url_of(refused, "/")}, keep);
    REQUIRE(wait_until([&] { return done; }));
    CHECK(failure == http_failure::refused);

    http_server server;
    std::vector<shared_reply> kept;
    server.add_route("GET", "/", [&](const auto&, const shared_reply& reply) { kept.push_back(reply); });
    server.add_route("GET", "/stream", [&](const auto&, const shared_reply& reply) {
        reply->begin(200, "text/event-stream");
        reply->write(": heartbeat\n\n");
        kept.push_back(reply);
    });
    const auto address = server.listen_on(any_port);
    done = false;
    client.send({.url = url_of(address->address, "/"), .timeout = std::chrono::milliseconds(200)}, keep);
    REQUIRE(wait_until([&] { return done; }));
    CHECK(failure == http_failure::timed_out);

    done = false;
    int comments = 0;
    QElapsedTimer since;
    since.start();
    client.open_stream({.url = url_of(address->address, "/stream")}, std::chrono::milliseconds(300),
                       {.on_comment = [&] { ++comments; }, .on_end = keep});
    REQUIRE(wait_until([&] { return done; }));
    CHECK(failure == http_failure::timed_out);
    CHECK(comments == 1);
    CHECK(since.elapsed() >= 300);

    done = false;
    client.open_stream({.url = url_of(address->address, "/stream")}, std::chrono::seconds(5),
                       {.on_open = [&] { QTimer::singleShot(0, [&] { kept.back()->abort(); }); }, .on_end = keep});
    REQUIRE(wait_until([&] { return done; }));
    CHECK(failure == http_failure::reset);
    std::cout << "client failures: passed\n";
}
