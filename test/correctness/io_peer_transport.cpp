// Tests the transport between daemons: messages arrive with their sender, old
// messages to an unreachable peer are dropped, and idle connections are closed.
#include <QTcpServer>

#include <catch2/catch.hpp>

#include <iostream>

#include "io_sample_messages.hpp"
#include "io_wait.hpp"
#include "peer_transport.hpp"

using namespace verbenahold;

namespace {

struct peer {
    explicit peer(const char* name)
        : transport({host_name(name), 1}, [this](addressed_message&& got) { received.push_back(std::move(got)); }) {}

    std::vector<addressed_message> received;
    peer_transport transport;
};

}  // namespace

TEST_CASE("messages arrive in order with their sender, also in bursts") {
    // The descriptor of a ZeroMQ socket is edge-triggered: a burst would get
    // stuck if only one message were read for each notification.
    constexpr std::uint64_t messages = 2'000;
    peer a("entry-1");
    peer b("entry-2");
    const auto address = b.transport.bind(endpoint{"127.0.0.1:0"});
    REQUIRE(address);
    for (std::uint64_t i = 0; i < 500; ++i) {
        a.transport.send(*address, config_fetch{i});
    }
    REQUIRE(wait_until([&] { return b.received.size() == 500; }));
    for (std::uint64_t i = 500; i < messages; ++i) {
        a.transport.send(*address, config_fetch{i});
        if (i % 100 == 0) {
            const std::size_t sent = i + 1;
            REQUIRE(wait_until([&] { return b.received.size() == sent; }));
        }
    }
    REQUIRE(wait_until([&] { return b.received.size() == messages; }));
    for (std::uint64_t i = 0; i < messages; ++i) {
        REQUIRE(std::get<config_fetch>(b.received[i].message).have_version == i);
        REQUIRE(b.received[i].from == daemon_id{host_name("entry-1"), 1});
    }
    CHECK(a.transport.read_figures().dropped == 0);
    std::cout << "burst of peer messages: passed\n";
}

TEST_CASE("a prompt of four megabytes passes") {
    peer a("entry-1");
    peer b("entry-2");
    const auto address = b.transport.bind(endpoint{"127.0.0.1:0"});
    submit work;
    work.body = std::make_shared<const std::string>(4'000'000, 'x');
    a.transport.send(*address, work);
    REQUIRE(wait_until([&] { return b.received.size() == 1; }));
    CHECK(*std::get<submit>(b.received[0].message).body == *work.body);
    std::cout << "large peer message: passed\n";
}

TEST_CASE("messages to a missing peer are dropped when they are old, and an idle connection closes") {
    peer a("entry-1");
    peer b("entry-2");
    const auto address = b.transport.bind(endpoint{"127.0.0.1:0"});
    QTcpServer closed;
    REQUIRE(closed.listen(QHostAddress::LocalHost));
    const endpoint missing{"127.0.0.1:" + std::to_string(closed.serverPort())};
    closed.close();
    a.transport.send(missing, leave{});
    CHECK(a.transport.read_figures().connections == 1);
    REQUIRE(wait_until([&] { return a.transport.read_figures().dropped == 1; }));
    a.transport.send(*address, leave{});
    REQUIRE(wait_until([&] { return b.received.size() == 1; }));
    REQUIRE(wait_until([&] { return a.transport.read_figures().connections == 0; }));
    a.transport.send(*address, leave{});
    REQUIRE(wait_until([&] { return b.received.size() == 2; }));
    std::cout << "missing peer and idle connection: passed\n";
}
