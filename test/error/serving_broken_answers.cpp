// Tests what callers get when a backend server's answer is broken off by a reset. Guards
// against a part of an answer that reaches its caller as a complete one.
#include "early_server.hpp"
#include "log_recorder.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<early_server::session>;

// More than the buffers of the connection to the server hold.
const std::string long_body(2'000'000, 'p');
const std::string event_1 = "id: 1\ndata: piece 1\n\n";
const std::string event_2 = "id: 2\ndata: piece 2\n\n";

bool is_status(const scripted_caller& caller, int status) {
    return caller.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool has_proof(const scripted_caller& caller) {
    return caller.received().find("Origin-Signature") != std::string::npos;
}

// The head of an answer that the end of the connection ends.
std::string unframed_head(const http_request& request) {
    return "HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
           std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
           "\r\nVerbenahold-Origin-Signature: proof\r\n\r\n";
}

// One daemon in front of two servers, which answer before they have read a request's body.
class early_rig : public serving_rig {
public:
    // Gets the number of requests so far, this one included, and the request's head.
    using handler = std::function<void(int, const http_request&, const session_pointer&)>;

    explicit early_rig(handler answer)
        : m_answer(std::move(answer)), m_first(*this, "i-1", counted()), m_second(*this, "i-2", counted()) {
        put_desired_state();
        start_daemon("host-1");
    }

    scripted_caller& upload(const std::string& path) {
        return call("host-1", request_text("POST", path, "a-1", long_body));
    }
    [[nodiscard]] int requests() const { return m_requests; }

private:
    early_server::handler counted() {
        return [this](const http_request& request, const session_pointer& session) {
            m_answer(++m_requests, request, session);
        };
    }

    handler m_answer;
    int m_requests = 0;
    early_server m_first;
    early_server m_second;
};

}  // namespace

TEST_CASE("an answer without a length that is reset during the upload is not complete") {
    const auto path = GENERATE(std::string("/unsafe/x"), std::string("/safe/x"));
    CAPTURE(path);
    const log_recorder log;
    early_rig rig([](int, const http_request& request, const session_pointer& session) {
        session->write(unframed_head(request) + "the first part");
        session->reset();
    });
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.upload(path);
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 502));
    CHECK_FALSE(has_proof(caller));
    CHECK(rig.requests() == (path == "/unsafe/x" ? 1 : 2));
    CHECK_FALSE(log.find("attempt failed", {"request=a-1", "server=i-", "Connection reset by peer"}).empty());
}

TEST_CASE("a stream without a length that is reset during the upload is cut off") {
    early_rig rig([](int, const http_request& request, const session_pointer& session) {
        session->write(unframed_head(request) + event_1 + event_2);
        session->reset();
    });
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.upload("/stream/x");
    REQUIRE(rig.run_until([&] { return caller.ended() || caller.received().ends_with(stream_end); }));
    CHECK_FALSE(caller.received().ends_with(stream_end));
    CHECK(caller.was_reset());
    CHECK(rig.requests() == 1);
}

TEST_CASE("a stream without a length that is reset during the upload goes on at another server") {
    early_rig rig([](int number, const http_request& request, const session_pointer& session) {
        session->write(unframed_head(request) + (number == 1 ? event_1 : event_2));
        if (number == 1) {
            session->reset();
        } else {
            session->end();
        }
    });
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.upload("/resumable/x");
    REQUIRE(rig.run_until([&] { return caller.ended() || caller.received().ends_with(stream_end); }));
    CHECK(caller.received().ends_with(stream_end));
    CHECK(caller.received().find(event_1) != std::string::npos);
    CHECK(caller.received().find(event_2) != std::string::npos);
    CHECK(rig.requests() == 2);
}

TEST_CASE("an early answer to a long body that ends in order is complete, however it is framed") {
    const std::string body = "the whole answer";
    const auto framing = GENERATE(std::string("length"), std::string("chunks"), std::string("end"),
                                  std::string("end, and a reset for the body that is not read"));
    CAPTURE(framing);
    early_rig rig([&](int, const http_request& request, const session_pointer& session) {
        if (framing == "length") {
            session->write(proved_answer(request, body));
        } else if (framing == "chunks") {
            session->write(stream_head(request) + "10\r\n" + body + "\r\n" + stream_end);
        } else {
            session->write(unframed_head(request) + body);
            session->end();
        }
        if (framing.ends_with("not read")) {
            session->reset();
        }
    });
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.upload("/unsafe/x");
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 200));
    CHECK(has_proof(caller));
    CHECK(rig.run_until([&] { return caller.received().ends_with(body); }));
    CHECK(rig.requests() == 1);
}
