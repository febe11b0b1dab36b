// Guards against peer connections that stay open but deliver nothing while new
// ones work: the transport detects them by heartbeats and reconnects.
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <iostream>

#include "../correctness/io_wait.hpp"
#include "peer_transport.hpp"
#include "settings.hpp"

using namespace verbenahold;

namespace {

// Forwards bytes between each connection and `target`. Connections made before
// silence() stay open but forward nothing more.
class relay {
public:
    explicit relay(const endpoint& target) {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, [this, target] {
            ++connections;
            QTcpSocket* from = m_server.nextPendingConnection();
            auto* to = new QTcpSocket(from);
            const auto parts = parse_address(target.address);
            to->connectToHost(QString::fromStdString(parts->host), parts->port);
            pass(from, to);
            pass(to, from);
        });
    }

    void silence() { ++m_silences; }
    [[nodiscard]] endpoint address() const { return endpoint{"127.0.0.1:" + std::to_string(m_server.serverPort())}; }

    int connections = 0;

private:
    void pass(QTcpSocket* from, QTcpSocket* to) {
        QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to, made = m_silences] {
            const QByteArray bytes = from->readAll();
            if (made == m_silences) {
                to->write(bytes);
            }
        });
    }

    QTcpServer m_server;
    int m_silences = 0;
};

}  // namespace

TEST_CASE("a silent peer connection is replaced within its heartbeat limits") {
    std::vector<addressed_message> received;
    peer_transport to({host_name("entry-2"), 1},
                      [&](addressed_message&& message) { received.push_back(std::move(message)); });
    relay between(*to.bind(endpoint{"127.0.0.1:0"}));
    peer_transport from({host_name("entry-1"), 1}, [](addressed_message&&) {});
    from.send(between.address(), leave{});
    REQUIRE(wait_until([&] { return received.size() == 1; }));
    between.silence();
    QElapsedTimer since;
    since.start();
    REQUIRE(wait_until([&] {
        from.send(between.address(), leave{});
        return received.size() > 1;
    }));
    // A heartbeat is sent within 500 ms, times out after 2 s, and reconnecting
    // takes up to a second.
    CHECK(since.elapsed() < 4'000);
    CHECK(between.connections >= 2);
    std::cout << "silent peer connection: passed\n";
}
