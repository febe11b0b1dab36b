// Fuzzes what reads bytes from callers, servers, the store, other daemons and the settings
// file with seeded mutations. Guards against messages that crash the daemon or throw out
// of a decoder. VERBENAHOLD_FUZZ_SEED and VERBENAHOLD_FUZZ_ROUNDS set longer runs.
#include "event_splitter.hpp"
#include "operator_rows.hpp"
#include "server_rows.hpp"
#include "serving.pb.h"
#include "serving_rig.hpp"
#include "settings_file.hpp"
#include "store_calls.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/ip/udp.hpp>

#include <cstdlib>
#include <random>

using namespace verbenahold;
using namespace verbenahold::serving;

namespace {

std::uint64_t number_of_environment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Produces mutated messages from samples.
class mutator {
public:
    std::string next(const std::vector<std::string>& samples) {
        auto bytes = samples[below(samples.size())];
        for (auto changes = below(5); changes > 0; --changes) {
            change(bytes, samples);
        }
        return bytes;
    }
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : m_random() % limit; }
    [[nodiscard]] static std::uint64_t rounds() { return number_of_environment("VERBENAHOLD_FUZZ_ROUNDS", 2'000); }

private:
    void change(std::string& bytes, const std::vector<std::string>& samples) {
        const auto at = below(bytes.size() + 1);
        switch (below(6)) {
            case 0:
                bytes.insert(at, 1, static_cast<char>(m_random()));
                break;
            case 1:
                bytes.erase(at, below(8));
                break;
            case 2:
                bytes.insert(at, std::string(1 + below(12), '9'));
                break;
            case 3:
                bytes.insert(at, bytes.substr(below(bytes.size() + 1), below(64)));
                break;
            case 4:
                bytes = bytes.substr(0, at) + samples[below(samples.size())];
                break;
            default:
                if (at < bytes.size()) {
                    bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
                }
                break;
        }
    }

    std::mt19937_64 m_random{number_of_environment("VERBENAHOLD_FUZZ_SEED", 20'261'205)};
};

// Feeds the bytes in segments of random lengths.
template <class Feed>
void feed_in_segments(mutator& random, const std::string& bytes, Feed feed) {
    for (std::size_t at = 0; at < bytes.size();) {
        const auto count = 1 + random.below(random.below(4) == 0 ? 3 : 200);
        feed(std::string_view(bytes).substr(at, count));
        at += count;
    }
}

const std::string chunked_body = "3\r\nabc\r\n5;x=y\r\nabcde\r\n0\r\nX-Trailer: t\r\n\r\n";

const std::vector<std::string> requests{
    request_text("GET", "/safe/x", "a-1"), request_text("POST", "/unsafe/x", "a-2", "the body"),
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n" + chunked_body,
    "GET / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"};

const std::vector<std::string> answers{
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nVerbenahold-Attempt-Id: a\r\n\r\nfine",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked_body,
    "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nServer-Limit: 3\r\nVerbenahold-Not-Executed: 1\r\n\r\nto the end"};

}  // namespace

TEST_CASE("mutated requests are read or refused and never throw") {
    mutator random;
    std::uint64_t complete = 0;
    const platform::platform_protocol protocol;
    for (std::uint64_t round = 0; round < mutator::rounds(); ++round) {
        const auto bytes = random.next(requests);
        CAPTURE(round, bytes);
        request_reader reader({1'024, 4'096});
        REQUIRE_NOTHROW(feed_in_segments(random, bytes, [&](std::string_view part) {
            reader.feed(part);
            while (reader.state() == request_reader::progress::complete) {
                ++complete;
                const auto decoded = protocol.read_request(reader.take_request());
                (void)protocol.server_request(decoded, {});
                reader.feed({});
            }
            reader.take_expects_continue();
        }));
    }
    CHECK(complete > 0);
}

TEST_CASE("mutated answers are read or broken and never throw") {
    mutator random;
    std::uint64_t complete = 0;
    const platform::platform_protocol protocol;
    for (std::uint64_t round = 0; round < mutator::rounds(); ++round) {
        const auto bytes = random.next(answers);
        CAPTURE(round, bytes);
        answer_parser parser;
        parser.restart(random.below(8) == 0);
        auto progress = answer_parser::progress::incomplete;
        REQUIRE_NOTHROW(feed_in_segments(random, bytes, [&](std::string_view part) {
            if (progress == answer_parser::progress::incomplete) {
                progress = parser.feed(part);
                if (progress != answer_parser::progress::broken && parser.has_head()) {
                    (void)protocol.read_answer(parser.head());
                    (void)parser.take_body();
                }
            }
        }));
        if (progress == answer_parser::progress::incomplete) {
            REQUIRE_NOTHROW(progress = parser.feed_end());
        }
        complete += progress == answer_parser::progress::complete ? 1 : 0;
    }
    CHECK(complete > 0);
}

TEST_CASE("events are split without loss however their bytes are mutated and cut") {
    mutator random;
    const std::vector<std::string> streams{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                                           "data: x\r\n\r\nid: 9999999999\n\n\n",
                                           "id:\n\n: comment\n\nid: -3\ndata\n\n"};
    for (std::uint64_t round = 0; round < mutator::rounds(); ++round) {
        const auto bytes = random.next(streams);
        CAPTURE(round, bytes);
        event_splitter splitter;
        std::string joined_events;
        feed_in_segments(random, bytes, [&](std::string_view part) {
            for (const auto& event : splitter.feed(part)) {
                joined_events += event.bytes;
            }
        });
        REQUIRE(joined_events.size() + splitter.pending() == bytes.size());
        REQUIRE(bytes.starts_with(joined_events));
    }
}

TEST_CASE("mutated JSON of the store, operators, servers and settings never throws") {
    mutator random;
    const std::vector<std::string> texts{
        R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/a/","kind":"streaming","timeout-ms":2000,
            "can-resume":true,"service":"s"}],"services":[{"name":"s","engine":{"slots":4}}],
            "limits":{"max-header-bytes":16384},"tenants":[{"name":"t","api-keys":["k"]}]})",
        R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":4,"state":"ready","born":1700000000000})",
        R"({"stage":"unified","busy":false,"sequence":2,"queued":1,"running":12,"kv-used":41000,"kv-total":90000,
            "pace":1.5,"tickets":[{"id":"t","tokens":5,"state":"held","age-ms":3}]})",
        R"({"rows":[{"table":"servers","part":"","key":"k","value":"e30=","ver":7}],"has-more":true,"ver":9,
            "server-time-ms":1})",
        R"({"node":"n","zone":"z","ip":"127.0.0.1","listen":{"front":"127.0.0.1:1"},"bounds":{"grace-s":8},
            "zones":{"z":"r"},"limits":{"memory-mb":260}})",
        R"([[[[[{"a":1e999,"b":-0,"c":null}]]]]])"};
    for (std::uint64_t round = 0; round < mutator::rounds(); ++round) {
        const auto text = random.next(texts);
        CAPTURE(round, text);
        const store_row row{"config", text, 3, false};
        const http_answer answer{{200, "OK", {}}, text};
        REQUIRE_NOTHROW(platform::decode_desired_state(row));
        REQUIRE_NOTHROW(platform::decode_server_entry(row));
        REQUIRE_NOTHROW(platform::decode_load_report(server_name("i-1"), answer));
        REQUIRE_NOTHROW(platform::decode_page(answer));
        REQUIRE_NOTHROW(platform::decode_settings(text));
    }
}

TEST_CASE("mutated datagrams of other daemons leave the daemon serving") {
    mutator random;
    wire::Datagram datagram;
    datagram.set_boot(77);
    auto& status = *datagram.mutable_status();
    status.set_boot(77);
    status.set_name("host-2");
    status.set_zone("zone-a");
    status.set_front_address("127.0.0.1:1");
    status.set_peer_address("127.0.0.1:2");
    status.set_cores(1);
    auto& work = *datagram.add_work();
    work.set_number(5);
    work.set_lifetime_ms(500);
    auto& item = *work.add_items();
    item.set_server("i-1");
    item.set_read_ms(3);
    item.set_writes(true);
    datagram.add_crashes()->add_traits(9);
    datagram.add_limits()->set_server("i-1");
    datagram.add_reports()->set_server("i-1");
    const std::vector<std::string> samples{datagram.SerializeAsString()};

    serving_rig rig;
    rig.add_server("i-1", [](const http_request& request, const auto& session) {
        session->write(proved_answer(request, "fine"));
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    boost::asio::ip::udp::socket socket(rig.loop, boost::asio::ip::udp::v4());
    const auto peer = endpoint_of(rig.settings("host-1").peer_address);
    for (std::uint64_t round = 0; round < mutator::rounds(); ++round) {
        socket.send_to(boost::asio::buffer(random.next(samples)), {peer.address(), peer.port()});
        if (round % 50 == 0) {
            rig.run_for(std::chrono::milliseconds(1));
        }
    }
    auto& asking = rig.call_address(rig.settings("host-1").metrics_address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(rig.run_until([&] { return asking.received().find("handler_exceptions_total 0") != std::string::npos; }));
    CHECK(rig.run_until_ready("host-1"));
}
