// Tests peers that announce, send or leave more bytes than a daemon can hold. Guards
// against lengths that are allocated, answers and bodies that are stored without a
// bound, answers that end early but look complete, and refusals of requests that ran.
#include "answer_parser.hpp"
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

constexpr const char* huge_length = "Content-Length: 100000000000\r\n";

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool is_status(const scripted_caller& caller, int status) {
    return caller.received().starts_with("HTTP/1.1 " + std::to_string(status));
}

std::string proved_head(const http_request& request, const std::string& framing) {
    return "HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
           std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
           "\r\nVerbenahold-Origin-Signature: proof\r\n" + framing + "\r\n";
}

std::shared_ptr<const std::string> piece_of(std::size_t size) {
    return std::make_shared<const std::string>(std::string(size, 'x'));
}

// The body of an answer in chunks; empty if it is incomplete.
std::string unchunked(const std::string& received) {
    answer_parser parser;
    parser.restart(false);
    return parser.feed(received) == answer_parser::progress::complete ? parser.take_body() : std::string();
}

const auto answer_well = [](const http_request& request, const session_pointer& session) {
    session->write(proved_answer(request, "fine"));
};

}  // namespace

TEST_CASE("an announced length is never allocated") {
    answer_parser answer;
    answer.restart(false);
    CHECK(answer.feed(std::string("HTTP/1.1 200 OK\r\n") + huge_length + "\r\nfirst bytes") ==
          answer_parser::progress::incomplete);
    CHECK(answer.take_body() == "first bytes");
    request_reader request({16'384, 1'000'000'000'000'000'000U});
    request.feed(std::string("POST / HTTP/1.1\r\n") + huge_length + "\r\nfirst bytes");
    CHECK(request.state() == request_reader::progress::incomplete);
    CHECK(request.held_bytes() < 1'000);
}

TEST_CASE("trailers and extensions of chunks beyond the limit break the message and end nothing else") {
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::string> ends{"0\r\nName: " + std::string(70'000, 'x') + "\r\n\r\n",
                                        "0;" + std::string(70'000, 'x') + "\r\n\r\n",
                                        "5;name=" + std::string(70'000, 'x') + "\r\nhello\r\n0\r\n\r\n"};
    for (const auto& end : ends) {
        for (const std::size_t cut : {4'096UL, 200'000UL}) {
            const std::string request = "POST / HTTP/1.1\r\n" + chunked + end;
            const std::string answer = "HTTP/1.1 200 OK\r\n" + chunked + end + end;
            request_reader reader({16'384, 4'194'304});
            for (std::size_t begin = 0; begin < request.size(); begin += cut) {
                reader.feed(std::string_view(request).substr(begin, cut));
            }
            CHECK(reader.state() != request_reader::progress::incomplete);
            // An extension that arrives in one piece with its chunk is dropped at once.
            CHECK(
                (reader.state() == request_reader::progress::broken || (cut > request.size() && &end != ends.data())));
            answer_parser parser;
            parser.restart(false);
            for (std::size_t begin = 0; begin < answer.size(); begin += cut) {
                if (parser.feed(std::string_view(answer).substr(begin, cut)) != answer_parser::progress::incomplete) {
                    break;
                }
            }
        }
    }
}

TEST_CASE("a trailer is not taken for a header field") {
    request_reader reader({16'384, 4'194'304});
    reader.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nLate: yes\r\n\r\n");
    REQUIRE(reader.state() == request_reader::progress::complete);
    const auto request = reader.take_request();
    CHECK(request.body == "a");
    CHECK(field_value(request.fields, "Late").empty());
}

TEST_CASE("a request whose head never ends is given up, however its bytes are cut") {
    for (const std::string repeated : {"Name: value\r\n", "x"}) {
        request_reader reader({16'384, 4'194'304});
        reader.feed(repeated == "x" ? "GET /" : "GET / HTTP/1.1\r\n");
        std::size_t fed = 0;
        while (reader.state() == request_reader::progress::incomplete && fed < 65'536) {
            reader.feed(repeated);
            fed += repeated.size();
        }
        CHECK(reader.state() == request_reader::progress::broken);
        CHECK(reader.fault_status() == 431);
    }
}

TEST_CASE("a reader holds no buffer once its requests are taken") {
    request_reader reader({16'384, 4'194'304});
    reader.feed("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
    reader.feed(std::string(1'000'000, 'x') + "GET / HTTP/1.1\r\n\r\n");
    REQUIRE(reader.state() == request_reader::progress::complete);
    CHECK(reader.take_request().body.size() == 1'000'000);
    reader.feed({});
    reader.take_request();
    CHECK(reader.held_bytes() < 1'000);
}

TEST_CASE("an answer without end and without proof ends its own attempt and no other request") {
    serving_rig rig;
    const auto piece = piece_of(65'536);
    auto& endless = rig.add_server("i-1", [&](const http_request&, const session_pointer& session) {
        session->write("HTTP/1.1 200 OK\r\n\r\n");
        session->write_repeated(piece, 0);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 502));
    CHECK(caller.received().find("proof") == std::string::npos);
    REQUIRE(rig.run_until([&] { return endless.abandoned() == 1; }));
}

TEST_CASE("a wrong length in an answer ends its own attempt and no other request") {
    serving_rig rig;
    rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        if (request.target == "/unsafe/wrong") {
            session->write(proved_head(request, huge_length) + "short");
            session->close();
        } else {
            answer_well(request, session);
        }
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& wrong = rig.call("host-1", request_text("POST", "/unsafe/wrong", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(wrong); }));
    CHECK(is_status(wrong, 502));
    auto& sound = rig.call("host-1", request_text("POST", "/unsafe/x", "a-2", "order"));
    REQUIRE(rig.run_until([&] { return has_answer(sound); }));
    CHECK(is_status(sound, 200));
}

TEST_CASE("a long answer reaches its caller whole") {
    serving_rig rig;
    const auto piece = piece_of(100'000);
    rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        session->write(proved_head(request, "Content-Length: 3000000\r\n"));
        session->write_repeated(piece, 30);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.connect("host-1");
    for (const std::string id : {"a-1", "a-2"}) {
        const auto before = caller.received().size();
        caller.send(request_text("POST", "/unsafe/x", id, "order"));
        REQUIRE(rig.run_until(
            [&] { return caller.received().ends_with("0\r\n\r\n") && caller.received().size() > before; }));
        const auto answer = caller.received().substr(before);
        CHECK(answer.find("Verbenahold-Attempt-Id: " + id) != std::string::npos);
        CHECK(unchunked(answer).size() == 3'000'000);
    }
}

TEST_CASE("a long answer that breaks off never looks complete") {
    serving_rig rig;
    const auto piece = piece_of(100'000);
    rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        session->write(proved_head(request, "Content-Length: 3000000\r\n"));
        session->write_repeated(piece, 10);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1", "order"));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(caller.was_reset());
    CHECK(unchunked(caller.received()).empty());
}

TEST_CASE("while a caller doesn't read a stream its server isn't read either, and the stream goes on later") {
    serving_rig rig;
    constexpr std::size_t events = 400;
    const auto event = std::make_shared<const std::string>("data: " + std::string(65'528, 'x') + "\n\n");
    auto& server = rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        session->write(proved_head(request, ""));
        session->write_repeated(event, events);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.connect("host-1", false);
    auto text = request_text("POST", "/resumable/x", "a-1", "prompt");
    text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: 9000");
    caller.send(text);
    rig.run_for(1'600ms);
    CHECK(server.requests().size() == 1);
    CHECK(server.abandoned() == 0);
    CHECK_FALSE(caller.ended());
}

TEST_CASE("a body that has to wait for room is received later and its request runs once") {
    serving_rig rig;
    // Room for one body of 400,000 bytes at a time.
    rig.memory_bytes = 1'000'000;
    std::vector<std::pair<http_request, session_pointer>> open;
    auto& server = rig.add_server("i-1", [&](const http_request& request, const session_pointer& session) {
        open.emplace_back(request, session);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    const std::string body(300'000, 'x');
    auto& first = rig.connect("host-1");
    first.send_later(request_text("POST", "/unsafe/x", "a-1", body));
    REQUIRE(rig.run_until([&] { return server.requests().size() == 1; }));
    auto& second = rig.connect("host-1");
    second.send_later(request_text("POST", "/unsafe/x", "a-2", body));
    rig.run_for(200ms);
    CHECK(server.requests().size() == 1);
    auto& small = rig.call("host-1", request_text("POST", "/unsafe/x", "a-3", "small"));
    REQUIRE(rig.run_until([&] { return open.size() == 2; }));
    open[1].second->write(proved_answer(open[1].first, "small"));
    REQUIRE(rig.run_until([&] { return has_answer(small); }));
    open[0].second->write(proved_answer(open[0].first, "first"));
    REQUIRE(rig.run_until([&] { return open.size() == 3; }));
    open[2].second->write(proved_answer(open[2].first, "second"));
    REQUIRE(rig.run_until([&] { return has_answer(first) && has_answer(second); }));
    CHECK(is_status(first, 200));
    CHECK(is_status(second, 200));
    CHECK(server.requests().size() == 3);
    CHECK(server.requests().back().body == body);
}

TEST_CASE("a body without room is refused with a time to come back and never passed on") {
    serving_rig rig;
    rig.memory_bytes = 1'000'000;
    auto& server = rig.add_server("i-1", [](const http_request&, const session_pointer&) {});
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    const std::string body(300'000, 'x');
    auto& first = rig.connect("host-1");
    first.send_later(request_text("POST", "/unsafe/x", "a-1", body));
    REQUIRE(rig.run_until([&] { return server.requests().size() == 1; }));
    auto& second = rig.connect("host-1");
    second.send_later(request_text("POST", "/unsafe/x", "a-2", body));
    REQUIRE(rig.run_until([&] { return has_answer(second); }));
    CHECK(is_status(second, 503));
    CHECK(second.received().find("Retry-After: ") != std::string::npos);
    CHECK(second.received().find("Verbenahold-Attempt-Id: a-2") != std::string::npos);
    CHECK(second.received().find("Connection: close") != std::string::npos);
    auto& chunked = rig.connect("host-1");
    auto text = request_text("POST", "/unsafe/x", "a-3", "");
    text.replace(text.find("Content-Length: 0"), 17, "Transfer-Encoding: chunked");
    chunked.send_later(text + "493E0\r\n" + body + "\r\n0\r\n\r\n");
    REQUIRE(rig.run_until([&] { return has_answer(chunked); }));
    CHECK(is_status(chunked, 503));
    CHECK(server.requests().size() == 1);
}

TEST_CASE("a body that could never fit is refused for good") {
    serving_rig rig;
    rig.memory_bytes = 1'000'000;
    auto& server = rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.connect("host-1");
    caller.send_later(request_text("POST", "/unsafe/x", "a-1", std::string(600'000, 'x')));
    REQUIRE(rig.run_until([&] { return has_answer(caller); }));
    CHECK(is_status(caller, 413));
    CHECK(caller.received().find("Retry-After: ") == std::string::npos);
    CHECK(server.requests().empty());
}

TEST_CASE("a caller that announces a body and stalls makes room for others that wait") {
    serving_rig rig;
    rig.memory_bytes = 1'000'000;
    auto& server = rig.add_server("i-1", answer_well);
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    const std::string body(300'000, 'x');
    const auto text = request_text("POST", "/unsafe/x", "a-1", body);
    auto& stalled = rig.call("host-1", text.substr(0, text.size() - 250'000));
    rig.run_for(500ms);
    auto& waiting = rig.connect("host-1");
    waiting.send_later(request_text("POST", "/unsafe/x", "a-2", body));
    REQUIRE(rig.run_until([&] { return has_answer(stalled) && has_answer(waiting); }));
    CHECK(is_status(stalled, 408));
    CHECK(is_status(waiting, 200));
    CHECK(server.requests().size() == 1);
}
