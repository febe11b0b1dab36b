// Tests what daemons take from each other's datagrams. Guards against lists, names and
// amounts that are missing or can't be read and are taken for empty ones or for zero, and
// against use of an account that others are told of twice or not at all.
#include "account_shares.hpp"
#include "scripted_engines.hpp"
#include "serving.pb.h"
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/ip/udp.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
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

// Another daemon that the test plays and that hears of the first one's work.
class work_listener {
public:
    work_listener(serving_rig& rig, const std::string& daemon)
        : m_rig(rig), m_daemon(endpoint_of(rig.settings(daemon).peer_address)) {
        m_socket.non_blocking(true);
    }

    // The daemon drops a member that is silent, so the status is sent again each time.
    void listen(duration time) {
        for (duration waited{}; waited < time; waited += 50ms) {
            send_status();
            m_rig.run_for(50ms);
            receive();
        }
    }

    std::vector<wire::WorkUpdate> starts;
    // Of the datagrams that were heard.
    std::size_t largest = 0;
    std::size_t datagrams = 0;
    std::size_t crash_parts = 0;
    // Work that was in progress when the daemon first heard of this one.
    std::vector<wire::WorkUpdate> open;

private:
    void send_status() {
        wire::Datagram datagram;
        datagram.set_boot(77);
        auto& status = *datagram.mutable_status();
        status.set_boot(77);
        status.set_name("host-7");
        status.set_zone("zone-b");
        status.set_front_address("127.0.0.1:9");
        status.set_peer_address("127.0.0.1:" + std::to_string(m_socket.local_endpoint().port()));
        status.set_accepting(true);
        m_socket.send_to(boost::asio::buffer(datagram.SerializeAsString()), {m_daemon.address(), m_daemon.port()});
    }

    void receive() {
        std::array<char, 65'536> bytes{};
        boost::system::error_code error;
        boost::asio::ip::udp::endpoint sender;
        while (true) {
            const auto size = m_socket.receive_from(boost::asio::buffer(bytes), sender, 0, error);
            if (error) {
                return;
            }
            wire::Datagram datagram;
            REQUIRE(datagram.ParseFromArray(bytes.data(), static_cast<int>(size)));
            largest = std::max(largest, size);
            ++datagrams;
            crash_parts += static_cast<std::size_t>(datagram.crash_parts_size());
            std::copy_if(datagram.work().begin(), datagram.work().end(), std::back_inserter(starts),
                         [](const wire::WorkUpdate& update) { return update.event() == 0; });
            std::copy_if(datagram.work().begin(), datagram.work().end(), std::back_inserter(open),
                         [](const wire::WorkUpdate& update) { return update.event() >= 3; });
        }
    }

    serving_rig& m_rig;
    boost::asio::ip::tcp::endpoint m_daemon;
    boost::asio::ip::udp::socket m_socket{m_rig.loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
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

TEST_CASE("a start whose predicted server time is no amount is counted, and one of an earlier release is not") {
    const float server_ms =
        GENERATE(-1.0F, std::numeric_limits<float>::quiet_NaN(), std::numeric_limits<float>::infinity());
    hearing_daemon daemon;
    wire::Datagram datagram;
    auto& update = *datagram.add_work();
    update.set_number(1);
    update.set_lifetime_ms(1'000);
    auto& item = *update.add_items();
    item.set_server("i-1");
    item.set_writes(true);
    // Releases without shares of accounts send neither field.
    daemon.hear(datagram);
    update.set_account(7);
    update.set_server_ms(100);
    daemon.hear(datagram);
    CHECK(daemon.metrics().find("account_uses_ignored_total 0") != std::string::npos);
    update.set_server_ms(server_ms);
    daemon.hear(datagram);
    CHECK(daemon.metrics().find("account_uses_ignored_total 1") != std::string::npos);
}

TEST_CASE("others hear of a request's account and server time once, however often its memory is refused") {
    serving_rig rig;
    scripted_engines engines(rig, 2);
    engines.on_order = [](const std::string&, const std::string&) { return scripted_engines::order_handling::refused; };
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    work_listener listener(rig, "host-1");
    listener.listen(500ms);
    rig.call("host-1", scripted_engines::long_request("/long/", "a-1"));
    listener.listen(1500ms);
    REQUIRE(listener.starts.size() > 1);
    REQUIRE(listener.starts.front().account() == account_hash("first"));
    // 15,000 tokens at 10 per millisecond, and a quarter of 100 steps of 1 ms.
    REQUIRE(listener.starts.front().server_ms() == Approx(1'525));
    for (std::size_t index = 1; index < listener.starts.size(); ++index) {
        CHECK(listener.starts[index].account() == 0);
        CHECK(listener.starts[index].server_ms() == 0);
    }
}

// Daemons that started while others had work in progress took the servers for idle, and placed
// many prompts on the same ones.
TEST_CASE("a daemon that begins to share work is told once of the requests in progress") {
    serving_rig rig;
    scripted_engines engines(rig, 2);
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    rig.call("host-1", scripted_engines::long_request("/long/", "a-1"));
    REQUIRE(rig.run_until([&] { return engines.count_queued() > 0; }));
    work_listener listener(rig, "host-1");
    listener.listen(500ms);
    REQUIRE(listener.open.size() == 1);
    CHECK(listener.open.front().event() == 3);
    CHECK(listener.open.front().items_size() > 1);
}

TEST_CASE("a lost request with a thousand parts is told of in datagrams that networks carry whole") {
    serving_rig rig;
    for (const auto* id : {"i-1", "i-2", "i-3"}) {
        rig.add_server(id, [](const http_request&, const std::shared_ptr<scripted_server::session>& session) {
            session->reset();
        });
    }
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    work_listener listener(rig, "host-1");
    listener.listen(400ms);
    const auto before = listener.datagrams;
    std::string parts;
    for (int number = 0; number < 1'000; ++number) {
        parts += "b" + std::to_string(number) + ":10,";
    }
    rig.call("host-1",
             request_text("POST", "/stream/x", "a-1", "prompt", "Verbenahold-Prompt-Prefix: " + parts + "f1:10\r\n"));
    listener.listen(400ms);
    std::cout << "largest datagram " << listener.largest << " bytes, " << listener.datagrams - before
              << " datagrams in 0.4 s, crash parts " << listener.crash_parts << '\n';
    CHECK(listener.crash_parts >= 1'001 / max_traits_per_message);
    // The payload that an Ethernet frame carries.
    CHECK(listener.largest <= 1'472);
    // One for each part at most, and the heartbeats.
    CHECK(listener.datagrams - before <= 1'001 / max_traits_per_message + 8);
}
