// Tests that lengths which peers announce are claims. Guards against answers, reports and
// rows whose announced or actual length is taken into memory before it is bounded.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

const std::string huge_length = "Content-Length: 1000000000000000000\r\n";

// One client on a loop of its own, before one server.
struct calling_client {
    explicit calling_client(scripted_server::handler answer) : server(loop, std::move(answer)) {}

    call_result call(std::size_t answer_bytes) {
        std::optional<call_result> result;
        client.call(server.address(), {"GET", "/api/report", {}, {}}, {5s, answer_bytes},
                    [&](const call_result& done) { result = done; });
        for (const auto end = std::chrono::steady_clock::now() + 5s;
             !result && std::chrono::steady_clock::now() < end;) {
            loop.run_for(1ms);
            loop.restart();
        }
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context loop;
    metrics counters;
    handler_guard guard{counters};
    loop_timers timers{loop, guard};
    http_client client{loop, timers};
    scripted_server server;
};

}  // namespace

TEST_CASE("an answer that announces more than is ever taken fails its request at once") {
    serving_rig rig;
    rig.add_server("i-1", [](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
        auto answer = proved_answer(request, "the first bytes");
        answer.replace(answer.find("Content-Length: 15\r\n"), 20, huge_length);
        session->write(answer);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    const auto began = std::chrono::steady_clock::now();
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "body"));
    REQUIRE(rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 502"));
    // The time limit of the request is two seconds.
    CHECK(std::chrono::steady_clock::now() - began < 1s);
}

TEST_CASE("a report, order or row without end fails its call and is not kept in memory") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto answer = GENERATE_COPY(
        head + huge_length + "\r\nabc", head + "\r\n" + std::string(300'000, 'x'),
        head + "Transfer-Encoding: chunked\r\n\r\n493e0\r\n" + std::string(300'000, 'x') + "\r\n0\r\n\r\n");
    calling_client calling(
        [&](const http_request&, const std::shared_ptr<scripted_server::session>& session) { session->write(answer); });
    const auto result = calling.call(max_report_bytes);
    CHECK_FALSE(result.answer);
    CHECK(result.failure == "the answer is too large");
}

TEST_CASE("an answer as long as a call allows is taken") {
    calling_client calling([](const http_request&, const std::shared_ptr<scripted_server::session>& session) {
        session->write("HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" + std::string(max_report_bytes, 'x'));
    });
    const auto result = calling.call(max_report_bytes);
    REQUIRE(result.answer);
    CHECK(result.answer->body.size() == max_report_bytes);
}
