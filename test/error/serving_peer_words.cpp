// Tests what daemons take from each other's datagrams. Guards against lists, names and
// amounts that are missing or can't be read and are taken for empty ones or for zero.
#include "serving.pb.h"
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/ip/udp.hpp>

#include <limits>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

// A daemon, and another one that the test plays.
struct hearing_daemon {
    hearing_daemon() {
        rig.add_server("i-1",
                       [](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
                           session->write(proved_answer(request, "fine"));
                       });
        rig.put_desired_state();
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
    }

    void hear(wire::Datagram datagram) {
        datagram.set_boot(77);
        const auto peer = endpoint_of(rig.settings("host-1").peer_address);
        socket.send_to(boost::asio::buffer(datagram.SerializeAsString()), {peer.address(), peer.port()});
        rig.run_for(50ms);
    }

    std::string metrics() {
        auto& asking =
            rig.call_address(rig.settings("host-1").metrics_address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(rig.run_until([&] { return asking.received().find("limited_servers") != std::string::npos; }));
        return asking.received();
    }

    serving_rig rig;
    boost::asio::ip::udp::socket socket{rig.loop, boost::asio::ip::udp::v4()};
};

wire::Status accepting_status() {
    wire::Status status;
    status.set_boot(77);
    status.set_zone("zone-a");
    status.set_accepting(true);
    return status;
}

}  // namespace

TEST_CASE("a limit in another daemon's word that is no amount is not taken for the strictest limit") {
    const double amount =
        GENERATE(-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity());
    hearing_daemon daemon;
    wire::Datagram datagram;
    auto& limit = *datagram.add_limits();
    limit.set_server("i-1");
    limit.set_requests_per_second(amount);
    daemon.hear(datagram);
    CHECK(daemon.metrics().find("limited_servers 0") != std::string::npos);
    limit.set_requests_per_second(0);
    daemon.hear(datagram);
    CHECK(daemon.metrics().find("limited_servers 1") != std::string::npos);
}

TEST_CASE("a daemon without a name or an address is not told to callers and counts for no share") {
    hearing_daemon daemon;
    const auto before = daemon.rig.ask_directory("host-1");
    wire::Datagram nameless;
    *nameless.mutable_status() = accepting_status();
    nameless.mutable_status()->set_peer_address("127.0.0.1:9");
    daemon.hear(nameless);
    wire::Datagram unreachable;
    *unreachable.mutable_status() = accepting_status();
    unreachable.mutable_status()->set_name("host-7");
    daemon.hear(unreachable);
    wire::Datagram relayed;
    relayed.add_relayed()->set_age_ms(1);
    daemon.hear(relayed);
    CHECK(daemon.metrics().find("statuses_ignored_total 3") != std::string::npos);
    CHECK(daemon.rig.ask_directory("host-1") == before);
    // One that accepts callers and says not where.
    wire::Datagram placeless;
    *placeless.mutable_status() = accepting_status();
    placeless.mutable_status()->set_name("host-8");
    placeless.mutable_status()->set_peer_address("127.0.0.1:9");
    daemon.hear(placeless);
    CHECK(daemon.rig.ask_directory("host-1") == before);
}
