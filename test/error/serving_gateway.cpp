// Tests failures of servers, connections, the store and callers. Guards against
// requests that run twice, refusals of requests that did run, streams with
// missing, duplicate or truncated events, and servers that keep working for a
// caller that disconnected.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool is_status(const scripted_caller& caller, int status) {
    return caller.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

int count_of(const std::string& text, const std::string& part) {
    int count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + 1)) {
        ++count;
    }
    return count;
}

const auto answer_well = [](const http_request& request, const session_pointer& session) {
    session->write(proved_answer(request, "fine"));
};

}  // namespace

TEST_CASE("a request reaches a server unchanged and the answer comes back with its proof") {
    serving_rig rig;
    auto& server = rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x?y=1", "a-1", "the body", "X-Own: kept\r\n"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));
    CHECK(caller.received().find("Verbenahold-Origin-Signature: proof") != std::string::npos);
    CHECK(caller.received().ends_with("fine"));
    REQUIRE(server.requests().size() == 1);
    const auto& seen = server.requests().front();
    CHECK(seen.target == "/unsafe/x?y=1");
    CHECK(seen.body == "the body");
    CHECK(field_value(seen.fields, "X-Own") == "kept");
    CHECK(field_value(seen.fields, "Verbenahold-Tenant") == "first");
    CHECK(field_value(seen.fields, "Verbenahold-Expect-Instance") == "i-1");
    CHECK(field_value(seen.fields, "Authorization").empty());
}

TEST_CASE("a request without time left is refused and reaches no server") {
    const auto limit = GENERATE(as<std::string>{}, "0", "-5", "30");
    CAPTURE(limit);
    serving_rig rig;
    auto& server = rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    std::string text = request_text("POST", "/unsafe/x", "a-1", "order");
    text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: " + limit);
    auto& caller = rig.call("host-1", text);
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 503));
    CHECK(server.requests().empty());
}

TEST_CASE("a time limit beyond every range is read as a long one") {
    serving_rig rig;
    rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    std::string text = request_text("POST", "/unsafe/x", "a-1", "order");
    text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: 9223372036854775807");
    auto& caller = rig.call("host-1", text);
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));
}

TEST_CASE("before a desired state is known requests are refused, never called unknown") {
    serving_rig rig;
    rig.start_daemon("host-1");
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 503));
    CHECK(caller.received().find("Retry-After: ") != std::string::npos);
}

TEST_CASE("an unknown key and an unknown path are told apart and reach no server") {
    serving_rig rig;
    auto& server = rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& stranger = rig.call("host-1", "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer no\r\n\r\n");
    auto& lost = rig.call("host-1", request_text("GET", "/elsewhere/x", "a-1"));
    REQUIRE(rig.run_until([&] { return has_answer(stranger) && has_answer(lost); }));
    CHECK(is_status(stranger, 401));
    CHECK(is_status(lost, 404));
    CHECK(server.requests().empty());
}

TEST_CASE("a request that may run once is not sent again after its answer was lost") {
    serving_rig rig;
    const auto reset = [](const http_request&, const session_pointer& session) { session->reset(); };
    auto& first = rig.add_server("i-1", reset);
    auto& second = rig.add_server("i-2", reset);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 502));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a request that a server rejected without running it goes to another server") {
    serving_rig rig;
    int rejected = 0;
    const auto reject_first = [&](const http_request& request, const session_pointer& session) {
        session->write(rejected++ == 0 ? rejection() : proved_answer(request, "fine"));
    };
    rig.add_server("i-1", reject_first);
    rig.add_server("i-2", reject_first);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));
}

TEST_CASE("when all servers reject, the refusal says so and when to come back") {
    serving_rig rig;
    const auto reject = [](const http_request&, const session_pointer& session) { session->write(rejection()); };
    rig.add_server("i-1", reject);
    rig.add_server("i-2", reject);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 503));
    CHECK(caller.received().find("Retry-After: ") != std::string::npos);
}

TEST_CASE("an idempotent request survives a lost answer, a torn one and one without proof") {
    const auto fault = GENERATE(0, 1, 2);
    CAPTURE(fault);
    serving_rig rig;
    int asked = 0;
    const auto fail_first = [&](const http_request& request, const session_pointer& session) {
        if (asked++ > 0) {
            session->write(proved_answer(request, "fine"));
        } else if (fault == 0) {
            session->reset();
        } else if (fault == 1) {
            const auto whole = proved_answer(request, "fine and longer");
            session->write(whole.substr(0, whole.size() - 3));
            session->close();
        } else {
            session->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        }
    };
    rig.add_server("i-1", fail_first);
    rig.add_server("i-2", fail_first);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("GET", "/safe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));
    CHECK(caller.received().ends_with("fine"));
    CHECK(asked == 2);
}

TEST_CASE("an extra answer on a kept connection is not given to the next request") {
    serving_rig rig;
    const auto answer_twice = [](const http_request& request, const session_pointer& session) {
        session->write(proved_answer(request, "answer to " + request.target));
        session->write(proved_answer(request, "once more " + request.target));
    };
    rig.add_server("i-1", answer_twice);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    for (int number = 0; number < 5; ++number) {
        const auto path = "/safe/" + std::to_string(number);
        auto& caller = rig.call("host-1", request_text("GET", path, "a-" + std::to_string(number)));
        REQUIRE(rig.run_until([&] { return has_answer(caller); }));
        CHECK(caller.received().ends_with("answer to " + path));
    }
}

TEST_CASE("a resumable stream that breaks inside an event goes on at another server, each piece once") {
    serving_rig rig;
    std::vector<std::string> resumed_from;
    const auto stream = [&](const http_request& request, const session_pointer& session) {
        resumed_from.emplace_back(field_value(request.fields, "Last-Event-Id"));
        const bool first = resumed_from.size() == 1;
        session->write(stream_head(request));
        for (int id = first ? 1 : 3; id <= (first ? 2 : 5); ++id) {
            session->write(stream_chunk(id));
        }
        if (first) {
            session->write(stream_chunk(3).substr(0, 10));
            session->reset();
        } else {
            session->write(stream_end);
        }
    };
    rig.add_server("i-1", stream);
    rig.add_server("i-2", stream);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    for (int id = 1; id <= 5; ++id) {
        CHECK(count_of(caller.received(), "data: piece " + std::to_string(id) + "\n") == 1);
    }
    REQUIRE(resumed_from.size() == 2);
    CHECK(resumed_from[1] == "2");
    CHECK(count_of(caller.received(), "HTTP/1.1") == 1);
}

TEST_CASE("a failure of the server that should continue a stream is never written into the stream") {
    const int status = GENERATE(302, 400, 404, 408, 500);
    CAPTURE(status);
    serving_rig rig;
    int attempts = 0;
    const auto begin_and_fail = [&](const http_request& request, const session_pointer& session) {
        ++attempts;
        if (attempts > 1) {
            session->write("HTTP/1.1 " + std::to_string(status) + " Status\r\nVerbenahold-Attempt-Id: " +
                           std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
                           "\r\nVerbenahold-Origin-Signature: proof\r\nContent-Length: 3\r\n\r\nwhy");
            return;
        }
        session->write(stream_head(request));
        session->write(stream_chunk(1));
        session->reset();
    };
    rig.add_server("i-1", begin_and_fail);
    rig.add_server("i-2", begin_and_fail);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/resumable/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.ended() || count_of(caller.received(), "HTTP/1.1") > 1; }));
    CHECK(attempts == 2);
    CHECK(caller.was_reset());
    CHECK(count_of(caller.received(), "HTTP/1.1") == 1);
}

TEST_CASE("a stream that may not be resumed is cut off so that the caller notices") {
    serving_rig rig;
    const auto break_off = [](const http_request& request, const session_pointer& session) {
        session->write(stream_head(request));
        session->write(stream_chunk(1));
        session->reset();
    };
    auto& server = rig.add_server("i-1", break_off);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/stream/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK_FALSE(caller.received().ends_with(stream_end));
    CHECK(caller.was_reset());
    CHECK(server.requests().size() == 1);
}

TEST_CASE("a server stops work soon after its caller has left") {
    serving_rig rig;
    const auto never = [](const http_request&, const session_pointer&) {};
    auto& server = rig.add_server("i-1", never);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/stream/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return server.requests().size() == 1; }));
    caller.leave();
    const auto left_at = std::chrono::steady_clock::now();
    REQUIRE(rig.run_until([&] { return server.abandoned() == 1; }));
    // The platform requires that a server stops within 500 ms.
    CHECK(std::chrono::steady_clock::now() - left_at < 500ms);
}

TEST_CASE("a draining server gets no request") {
    serving_rig rig;
    auto& leaving = rig.add_server("i-1", answer_well, "draining");
    auto& staying = rig.add_server("i-2", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    for (int number = 0; number < 6; ++number) {
        auto& caller = rig.call("host-1", request_text("GET", "/safe/x", "a-" + std::to_string(number)));
        REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    }
    CHECK(leaving.requests().empty());
    CHECK(staying.requests().size() == 6);
}

TEST_CASE("a daemon that the store turns away learns the desired state and its changes from another") {
    serving_rig rig;
    scripted_store closed(rig.loop);
    closed.set_serving(false);
    rig.add_server("i-1", answer_well);
    rig.put_desired_state(1);
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    rig.start_daemon("host-2", closed.address());
    REQUIRE(rig.run_until_ready("host-2"));
    auto& caller = rig.call("host-2", request_text("GET", "/safe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));

    // In version 2 the account has another key, so the old one must stop working
    // at host-2 too.
    rig.store.put("op", "config",
                  R"({"version":2,"routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe",
                      "timeout-ms":2000,"service":"app"}],"services":[{"name":"app"}],
                      "tenants":[{"name":"first","api-keys":["key-2"]}]})");
    REQUIRE(rig.run_until([&] {
        auto& asking = rig.call("host-2", request_text("GET", "/safe/x", "a-2"));
        rig.run_until([&] { return has_answer(asking); });
        return is_status(asking, 401);
    }));
}

TEST_CASE("a stream without length or chunks is complete only if its connection ends after an event") {
    const std::string sent = GENERATE("", "id: 1\ndata: pie", "id: 1\ndata: piece 1\n\n");
    CAPTURE(sent);
    const bool is_complete = sent.ends_with("\n\n");
    serving_rig rig;
    const auto end_connection = [&](const http_request& request, const session_pointer& session) {
        session->write("HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
                       std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
                       "\r\nVerbenahold-Origin-Signature: proof\r\nContent-Type: text/event-stream\r\n\r\n" + sent);
        session->close();
    };
    rig.add_server("i-1", end_connection);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/stream/x", "a-1", "prompt"));
    REQUIRE(rig.run_until([&] { return caller.ended() || has_answer(caller); }));
    rig.run_until([&] { return caller.ended() || caller.received().ends_with(stream_end); });
    const bool shown_complete = is_status(caller, 200) && caller.received().ends_with(stream_end);
    CHECK(shown_complete == is_complete);
}
