// Guards kept connections that a server closes at the moment of the next
// request: a GET is sent again on a new connection, a POST is not.
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <iostream>

#include "../correctness/io_wait.hpp"
#include "http_client.hpp"

using namespace verbenahold;

namespace {

// Answers every request until it goes silent; new connections are answered.
struct silent_server {
    silent_server() {
        server.listen(QHostAddress::LocalHost);
        QObject::connect(&server, &QTcpServer::newConnection, [this] {
            QTcpSocket* socket = server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, made = silences] {
                socket->readAll();
                if (made == silences) {
                    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        });
    }

    QTcpServer server;
    int silences = 0;
};

// Answers the first request of each connection and closes at the second.
struct closing_server {
    closing_server() {
        server.listen(QHostAddress::LocalHost);
        QObject::connect(&server, &QTcpServer::newConnection, [this] {
            ++connections;
            QTcpSocket* socket = server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, first = true]() mutable {
                requests += static_cast<int>(socket->readAll().count("HTTP/1.1"));
                if (std::exchange(first, false)) {
                    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                } else {
                    socket->disconnectFromHost();
                }
            });
        });
    }

    QTcpServer server;
    int connections = 0;
    int requests = 0;
};

http_answer run(http_client& client, const http_call& call) {
    http_answer answer;
    bool done = false;
    client.send(call, [&](const http_answer& got) {
        answer = got;
        done = true;
    });
    REQUIRE(wait_until([&] { return done; }));
    return answer;
}

}  // namespace

TEST_CASE("a GET is repeated on a closed kept connection and a POST is not") {
    closing_server closing;
    http_client client;
    const std::string address = "127.0.0.1:" + std::to_string(closing.server.serverPort());
    const http_call get{.url = url_of(address, "/")};
    const http_call post{.method = "POST", .url = url_of(address, "/"), .body = "x"};
    CHECK(run(client, get).good());
    CHECK(run(client, get).good());
    CHECK(closing.connections == 2);
    CHECK(closing.requests == 3);
    CHECK(run(client, post).failure == http_failure::reset);
    CHECK(closing.connections == 2);
    CHECK(closing.requests == 4);
    std::cout << "kept connection closed by the server: passed\n";
}

TEST_CASE("after one silent kept connection the next call gets a new one") {
    silent_server silent;
    http_client client;
    http_call get{.url = url_of("127.0.0.1:" + std::to_string(silent.server.serverPort()), "/")};
    get.timeout = std::chrono::milliseconds(300);
    int good = 0;
    for (int i = 0; i < 5; ++i) {
        client.send(get, [&](const http_answer& answer) { good += answer.good() ? 1 : 0; });
    }
    REQUIRE(wait_until([&] { return good == 5; }));
    ++silent.silences;
    CHECK(run(client, get).failure == http_failure::timed_out);
    CHECK(run(client, get).good());
    std::cout << "silent kept connections: passed\n";
}
