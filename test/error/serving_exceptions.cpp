// Tests exceptions in handlers of the event loop. Guards against one message that ends the
// process, and with it the work of all other connections.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

// Throws where a message contains "fault-" and the name of the step.
class throwing_protocol : public platform::platform_protocol {
public:
    [[nodiscard]] caller_request read_request(http_request request) const override {
        throw_if(request.target, "fault-read");
        return platform_protocol::read_request(std::move(request));
    }
    [[nodiscard]] http_request server_request(const caller_request& request, const forwarding& added) const override {
        throw_if(request.request.target, "fault-forward");
        return platform_protocol::server_request(request, added);
    }
    [[nodiscard]] server_answer read_answer(const http_answer_head& head) const override {
        throw_if(field_value(head.fields, "X-Step"), "fault-answer");
        return platform_protocol::read_answer(head);
    }
    [[nodiscard]] std::optional<locate_query> read_locate(std::string_view target) const override {
        throw_if(target, "fault-locate");
        return platform_protocol::read_locate(target);
    }
    [[nodiscard]] std::optional<desired_state> read_desired_state(const store_row& row) const override {
        throw_if(row.key, "fault-state");
        return platform_protocol::read_desired_state(row);
    }
    [[nodiscard]] std::optional<server_entry> read_server(const store_row& row) const override {
        throw_if(row.key, "fault-server");
        return platform_protocol::read_server(row);
    }
    [[nodiscard]] std::variant<store_page, store_fault> read_page(const http_answer& answer) const override {
        if (pages_that_throw > 0) {
            --pages_that_throw;
            throw std::length_error("page");
        }
        return platform_protocol::read_page(answer);
    }

    mutable int pages_that_throw = 0;

private:
    static void throw_if(std::string_view text, std::string_view mark) {
        if (text.find(mark) != std::string_view::npos) {
            throw std::length_error(std::string(mark));
        }
    }
};

// A daemon with one request that its server keeps open until the test answers it.
struct busy_daemon {
    busy_daemon() {
        auto throwing = std::make_unique<throwing_protocol>();
        protocol = throwing.get();
        rig.protocol = std::move(throwing);
        rig.add_server("i-1", [this](const http_request& request, const session_pointer& session) {
            if (request.target == "/unsafe/open") {
                open = session;
                open_request = request;
            } else if (answer.empty()) {
                session->write(proved_answer(request, "fine"));
            } else {
                session->write(answer);
            }
        });
        rig.put_desired_state();
    }

    void start() {
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
        waiting = &rig.call("host-1", request_text("POST", "/unsafe/open", "a-open", "body"));
        REQUIRE(rig.run_until([&] { return open != nullptr; }));
    }

    // The open request and a new one are answered.
    void check_others_are_served() {
        open->write(proved_answer(open_request, "fine"));
        CHECK(rig.run_until([&] { return waiting->received().ends_with("fine"); }));
        answer.clear();
        auto& next = rig.call("host-1", request_text("POST", "/unsafe/next", "a-next", "body"));
        CHECK(rig.run_until([&] { return next.received().ends_with("fine"); }));
    }

    serving_rig rig;
    throwing_protocol* protocol = nullptr;
    session_pointer open;
    http_request open_request;
    scripted_caller* waiting = nullptr;
    // Replaces the server's answers to other requests.
    std::string answer;
};

}  // namespace

TEST_CASE("an exception in one request's handlers ends that request with a true answer and no other") {
    const auto [step, status] = GENERATE(
        table<std::string, std::string>({{"fault-read", "500"}, {"fault-forward", "503"}, {"fault-answer", "502"}}));
    CAPTURE(step);
    busy_daemon daemon;
    daemon.start();
    daemon.answer = "HTTP/1.1 200 OK\r\nX-Step: " + step + "\r\nContent-Length: 0\r\n\r\n";
    auto& caller = daemon.rig.call("host-1", request_text("POST", "/unsafe/" + step, "a-1", "body"));
    REQUIRE(daemon.rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 " + status));
    daemon.check_others_are_served();
}

TEST_CASE("an exception in one row of the store leaves the other rows in force") {
    busy_daemon daemon;
    daemon.rig.store.put("op", "fault-state", "{}");
    daemon.rig.store.put("servers", "fault-server", "{}");
    daemon.start();
    daemon.check_others_are_served();
}

TEST_CASE("an answer of the store that throws is asked for again") {
    busy_daemon daemon;
    daemon.protocol->pages_that_throw = 4;
    daemon.start();
    CHECK(daemon.protocol->pages_that_throw == 0);
    daemon.check_others_are_served();
}

TEST_CASE("an exception in a directory query ends only its connection") {
    busy_daemon daemon;
    daemon.start();
    auto& asking = daemon.rig.call_address(daemon.rig.settings("host-1").directory_address,
                                           "GET /fault-locate HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(daemon.rig.run_until([&] { return asking.ended(); }));
    CHECK(daemon.rig.ask_directory("host-1").starts_with("HTTP/1.1 200"));
    daemon.check_others_are_served();
}

TEST_CASE("a server's answer whose framing can't be handled ends only its request") {
    const auto bad_answer = GENERATE(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000000\r\n\r\nabc"),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " + std::string(70'000, 'x') + "\r\n\r\n");
    busy_daemon daemon;
    daemon.start();
    daemon.answer = bad_answer;
    auto& caller = daemon.rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "body"));
    REQUIRE(daemon.rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 50"));
    CHECK_FALSE(caller.received().starts_with("HTTP/1.1 503"));
    daemon.check_others_are_served();
}

TEST_CASE("a caller's trailer that can't be handled ends only its connection") {
    busy_daemon daemon;
    daemon.start();
    auto& caller = daemon.rig.call("host-1",
                                   "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nVerbenahold-Attempt-Id: a-1\r\n"
                                   "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " +
                                       std::string(70'000, 'x') + "\r\n\r\n");
    CHECK(daemon.rig.run_until([&] { return caller.ended(); }));
    CHECK_FALSE(caller.received().starts_with("HTTP/1.1 2"));
    daemon.check_others_are_served();
}
