// Tests a daemon that knows no desired state yet. Guards against callers that are refused twice
// although the state comes a moment later, against requests that are held without end, and
// against a start that waits for calls which a silent store will never answer.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

struct starting_rig : serving_rig {
    starting_rig() {
        put_desired_state();
        store.set_serving(false);
        start_daemon("host-1");
        run_for(50ms);
    }

    // How many requests have run after the state has come.
    std::size_t run_after_start() {
        store.set_serving(true);
        REQUIRE(run_until_ready("host-1"));
        run_for(100ms);
        return server.requests().size();
    }

    scripted_server& server = add_server("i-1", [](const http_request& request, const session_pointer& session) {
        session->write(proved_answer(request, "fine"));
    });
};

// A request whose caller allows it this long.
std::string request_within(const std::string& milliseconds) {
    auto text = request_text("POST", "/unsafe/x", "a-1", "the body");
    const std::string usual = "Deadline-Ms: 2000";
    return text.replace(text.find(usual), usual.size(), "Deadline-Ms: " + milliseconds);
}

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

}  // namespace

TEST_CASE("a request that arrives before the first desired state is served when the state comes") {
    starting_rig rig;
    const auto& caller = rig.call("host-1", request_within("10000"));
    rig.run_for(200ms);
    CHECK(caller.received().empty());
    rig.store.set_serving(true);
    REQUIRE(rig.run_until([&] { return caller.received().ends_with("fine"); }));
    CHECK(rig.server.requests().size() == 1);
}

TEST_CASE("a request is refused with a Retry-After when the desired state does not come, and never runs") {
    starting_rig rig;
    const auto& caller = rig.call("host-1", request_within("10000"));
    rig.run_for(800ms);
    CHECK(caller.received().empty());
    rig.run_for(600ms);
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    CHECK(caller.received().find("Retry-After: ") != std::string::npos);
    CHECK(rig.run_after_start() == 0);
}

TEST_CASE("a request with little time is refused early enough for a retry") {
    starting_rig rig;
    const auto& caller = rig.call("host-1", request_within("1000"));
    rig.run_for(300ms);
    REQUIRE(has_answer(caller));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    CHECK(rig.run_after_start() == 0);
}

TEST_CASE("a request that waits for the desired state and whose caller leaves does not run") {
    starting_rig rig;
    // Enough time that the request would still wait when the state comes.
    auto& caller = rig.call("host-1", request_within("10000"));
    rig.run_for(100ms);
    caller.leave();
    rig.run_for(100ms);
    CHECK(rig.run_after_start() == 0);
}

TEST_CASE("a daemon that starts asks a silent store again before the first call has timed out") {
    serving_rig rig;
    auto& silent = rig.add_server("i-1", [](const http_request&, const session_pointer&) {});
    rig.start_daemon("host-1", silent.address());
    const auto listings = [&] {
        return std::count_if(silent.requests().begin(), silent.requests().end(),
                             [](const http_request& request) { return request.method == "GET"; });
    };
    rig.run_for(1s);
    CHECK(listings() >= 3);
    // A long outage is not met with more and more calls.
    rig.run_for(3s);
    const auto before = listings();
    rig.run_for(1s);
    CHECK(listings() - before <= 1);
}
