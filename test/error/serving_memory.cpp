// Tests peers that announce or send more bytes than a daemon can hold. Guards against
// lengths that are allocated and messages whose head or trailer never ends.
#include "answer_parser.hpp"
#include "request_reader.hpp"
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

// The head of a message that announces more bytes than any host has, and the first of them.
std::string message_of_huge_length(std::string_view first_line) {
    std::string message(first_line);
    message += "\r\nContent-Length: 1000000000000000000\r\n\r\nfirst bytes";
    return message;
}

// The gauge of this name on a daemon's page of metrics.
std::size_t gauge(serving_rig& rig, const std::string& name) {
    auto& asking = rig.call_address(rig.settings("host-1").metrics_address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto line = "\nverbenahold_" + name + " ";
    REQUIRE(rig.run_until([&] { return asking.received().find(line) != std::string::npos; }));
    return std::stoul(asking.received().substr(asking.received().find(line) + line.size()));
}

}  // namespace

TEST_CASE("an announced length is never allocated") {
    answer_parser answer;
    answer.restart(false);
    CHECK(answer.feed(message_of_huge_length("HTTP/1.1 200 OK")) == answer_parser::progress::incomplete);
    CHECK(answer.take_body() == "first bytes");
    request_reader request({16'384, 1'000'000'000'000'000'000U});
    request.feed(message_of_huge_length("POST / HTTP/1.1"));
    CHECK(request.state() == request_reader::progress::incomplete);
    CHECK(request.held_bytes() < 1'000);
}

TEST_CASE("a body takes no more memory than its announced length") {
    constexpr std::size_t length = 10'000'000;
    std::string body;
    const std::string piece(16'000, 'x');
    while (body.size() < length) {
        append_arrived(body, piece, length);
    }
    CHECK(body.size() == length);
    CHECK(body.capacity() == length);
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
    std::string rest(1'000'000, 'x');
    rest.append("GET / HTTP/1.1\r\n\r\n");
    reader.feed(rest);
    REQUIRE(reader.state() == request_reader::progress::complete);
    CHECK(reader.take_request().body.size() == 1'000'000);
    reader.feed({});
    reader.take_request();
    CHECK(reader.held_bytes() < 1'000);
}

TEST_CASE("answers without end give way before they fill the host's memory, and sound ones are served") {
    constexpr std::size_t mib = 1'048'576;
    serving_rig rig;
    rig.memory_bytes = 24 * mib;
    constexpr std::size_t budget = 6 * mib;
    std::vector<std::shared_ptr<scripted_server::session>> endless;
    const std::string piece(mib / 4, 'x');
    rig.add_server("i-1", [&](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
        if (request.target == "/unsafe/sound") {
            session->write(proved_answer(request, std::string(mib, 's')));
        } else {
            auto head = proved_answer(request, {});
            head.erase(head.find("Content-Length: 0\r\n"), 19);
            session->write(head + piece);
            endless.push_back(session);
        }
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    std::vector<scripted_caller*> hurt;
    for (int number = 0; number < 4; ++number) {
        hurt.push_back(&rig.call("host-1", request_text("POST", "/unsafe/x", "a-" + std::to_string(number), "body")));
    }
    REQUIRE(rig.run_until([&] { return endless.size() == hurt.size(); }));
    auto& sound = rig.call("host-1", request_text("POST", "/unsafe/sound", "a-sound", "body"));
    // The endless answers grow to three times the budget.
    std::size_t most = 0;
    for (std::size_t sent = 0; sent < 3 * budget; sent += piece.size() * endless.size()) {
        for (const auto& session : endless) {
            session->write(piece);
        }
        rig.run_for(5ms);
        most = std::max(most, gauge(rig, "answer_bytes_held"));
    }
    CHECK(most > 0);
    CHECK(most <= budget);
    CHECK(rig.run_until([&] { return sound.received().ends_with("sss"); }));
    CHECK(sound.received().starts_with("HTTP/1.1 200"));
    for (const auto* caller : hurt) {
        CHECK(rig.run_until([&] { return caller->received().starts_with("HTTP/1.1 50"); }));
        CHECK_FALSE(caller->received().starts_with("HTTP/1.1 503"));
    }
}

TEST_CASE("requests without room for their bodies are told that they have not run, and the others are served") {
    constexpr std::size_t mib = 1'048'576;
    serving_rig rig;
    rig.memory_bytes = 40 * mib;
    constexpr std::size_t budget = 10 * mib;
    auto& server = rig.add_server(
        "i-1", [](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
            session->write(proved_answer(request, "fine"));
        });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    // All but the last bytes of eight bodies of 3 MiB.
    std::vector<scripted_caller*> callers;
    for (int number = 0; number < 8; ++number) {
        auto text = request_text("POST", "/unsafe/x", "a-" + std::to_string(number), std::string(3 * mib, 'x'));
        text.resize(text.size() - 3);
        callers.push_back(&rig.call("host-1", text));
    }
    const auto refused = [&] {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](const auto* caller) {
            return caller->received().starts_with("HTTP/1.1 503") &&
                   caller->received().find("Retry-After: ") != std::string::npos;
        }));
    };
    CHECK(rig.run_until([&] { return refused() >= callers.size() - budget / (3 * mib); }));
    CHECK(gauge(rig, "request_bytes_held") <= budget);
    auto& small = rig.call("host-1", request_text("POST", "/unsafe/x", "a-small", "body"));
    CHECK(rig.run_until([&] { return small.received().ends_with("fine"); }));
    const auto kept = callers.size() - refused();
    CHECK(kept > 0);
    for (auto* caller : callers) {
        if (caller->received().empty()) {
            caller->send("xxx");
        }
    }
    CHECK(rig.run_until([&] { return server.requests().size() == kept + 1; }));
    CHECK(rig.run_until([&] {
        return std::all_of(callers.begin(), callers.end(), [](const auto* caller) {
            return caller->received().starts_with("HTTP/1.1 503") || caller->received().ends_with("fine");
        });
    }));
    CHECK(rig.run_until([&] { return gauge(rig, "request_bytes_held") == 0; }));
}
