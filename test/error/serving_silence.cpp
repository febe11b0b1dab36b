// Tests servers that pause. Guards against a request that is taken from a sound server
// though no other attempt can follow.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

// Longer than the silence that a stream with a target gap of 250 ms, or a request with a
// target of 300 ms, may have.
constexpr auto long_pause = 1'500ms;

struct paused_request {
    http_request request;
    session_pointer session;
};

// A handler that begins streams and keeps all requests open.
scripted_server::handler keep_open(std::vector<paused_request>& open) {
    return [&open](const http_request& request, const session_pointer& session) {
        open.push_back({request, session});
        if (request.target.starts_with("/resumable/") && open.size() == 1) {
            session->write(stream_head(request) + stream_chunk(1));
        }
    };
}

}  // namespace

TEST_CASE("a silent stream stays with its server while no other one can go on") {
    serving_rig rig;
    std::vector<paused_request> open;
    auto& server = rig.add_server("i-1", keep_open(open));
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.received().find("piece 1") != std::string::npos; }));
    rig.run_for(long_pause);
    open[0].session->write(stream_chunk(2) + stream_end);
    CHECK(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    CHECK(server.requests().size() == 1);
    CHECK(server.abandoned() == 0);
}

TEST_CASE("a silent stream stays with its server while the budget for repeats is used up") {
    serving_rig rig;
    rig.repeats = {0, 0, 10s};
    std::vector<paused_request> open;
    rig.add_server("i-1", keep_open(open));
    rig.add_server("i-2", keep_open(open));
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.received().find("piece 1") != std::string::npos; }));
    rig.run_for(long_pause);
    open[0].session->write(stream_chunk(2) + stream_end);
    CHECK(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    CHECK(open.size() == 1);
}

TEST_CASE("an unanswered idempotent request stays with its server while no repeat is possible") {
    const bool other_server = GENERATE(false, true);
    CAPTURE(other_server);
    serving_rig rig;
    rig.repeats = {0, 0, 10s};
    std::vector<paused_request> open;
    rig.add_server("i-1", keep_open(open));
    if (other_server) {
        rig.add_server("i-2", keep_open(open));
    }
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("GET", "/safe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return open.size() == 1; }));
    rig.run_for(long_pause);
    open[0].session->write(proved_answer(open[0].request, "fine"));
    CHECK(rig.run_until([&] { return caller.received().ends_with("fine"); }));
    CHECK(open.size() == 1);
}

TEST_CASE("a silent stream goes on at another server that can take it") {
    serving_rig rig;
    std::vector<paused_request> open;
    rig.add_server("i-1", keep_open(open));
    rig.add_server("i-2", keep_open(open));
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return open.size() == 2; }));
    CHECK(field_value(open[1].request.fields, "Last-Event-Id") == "1");
    open[1].session->write(stream_head(open[1].request) + stream_chunk(2) + stream_end);
    CHECK(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
}
