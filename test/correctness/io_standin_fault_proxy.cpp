// Guards the faults of fault-proxy: if it closed silent connections or did not
// apply a delay, network tests could not fail.
#include "fault_proxy.hpp"
#include "http_exchange.hpp"

#include <catch2/catch.hpp>

#include <QElapsedTimer>
#include <QTcpServer>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::standins;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds limit(5000);

// Sends back whatever it receives.
class echo_server : public QTcpServer {
public:
    echo_server() {
        listen(QHostAddress::LocalHost, 0);
        connect(this, &QTcpServer::newConnection, this, [this] {
            QTcpSocket* socket = nextPendingConnection();
            connect(socket, &QTcpSocket::readyRead, socket, [socket] { socket->write(socket->readAll()); });
        });
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(serverPort()); }
};

struct proxied_echo {
    echo_server server;
    timer_service timers;
    proxy_pair pair{server.address(), timers};
    proxied_echo() { REQUIRE(pair.listen()); }
    void open(QTcpSocket& socket) const {
        const QString address = pair.status()["listening"].toString();
        socket.connectToHost(QHostAddress::LocalHost, address.section(':', 1, 1).toUShort());
    }
};

bool echoes(QTcpSocket& socket, milliseconds wait) {
    socket.readAll();
    socket.write("x");
    return wait_until([&] { return socket.bytesAvailable() > 0; }, wait);
}

}  // namespace

TEST_CASE("fault-proxy makes open connections silent while new ones work") {
    proxied_echo set;
    QTcpSocket first;
    set.open(first);
    REQUIRE(echoes(first, limit));
    set.pair.apply({{"silence", true}});
    REQUIRE_FALSE(echoes(first, milliseconds(300)));
    REQUIRE(first.state() == QAbstractSocket::ConnectedState);
    QTcpSocket second;
    set.open(second);
    REQUIRE(echoes(second, limit));
    REQUIRE(first.bytesAvailable() == 0);
    std::cout << "proxy silence: passed\n";
}

TEST_CASE("fault-proxy delays, cuts and drops connections") {
    proxied_echo set;
    QTcpSocket first;
    set.open(first);
    REQUIRE(echoes(first, limit));
    // A fraction of a millisecond was once read as no delay at all.
    set.pair.apply({{"delay_ms", 1.5}});
    CHECK(set.pair.status()["delay_ms"].toDouble() == 1.5);
    set.pair.apply({{"delay_ms", 100}});
    QElapsedTimer clock;
    clock.start();
    REQUIRE(echoes(first, limit));
    REQUIRE(clock.elapsed() >= 200);

    set.pair.apply({{"delay_ms", 0}, {"cut", true}, {"drop_new", true}});
    REQUIRE(wait_until([&] { return first.state() == QAbstractSocket::UnconnectedState; }, limit));
    QTcpSocket second;
    set.open(second);
    second.write("x");
    REQUIRE(wait_until([&] { return set.pair.status()["dropped"].toInt() == 1; }, limit));
    REQUIRE(wait_until([&] { return second.state() == QAbstractSocket::UnconnectedState; }, limit));

    set.pair.apply({{"drop_new", false}});
    QTcpSocket third;
    set.open(third);
    REQUIRE(echoes(third, limit));
    REQUIRE(wait_until([&] { return set.pair.status()["open"].toInt() == 1; }, limit));
    std::cout << "proxy delay, cut and drop: passed\n";
}
