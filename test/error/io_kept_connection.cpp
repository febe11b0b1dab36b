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
