// Tests the framing of HTTP messages. Guards against request smuggling, truncated
// answers that look complete, and bytes of one answer read as part of another.
#include "answer_parser.hpp"
#include "request_reader.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold::serving;

namespace {

request_reader::progress state_after(const std::string& bytes) {
    request_reader reader({16'384, 4'194'304});
    reader.feed(bytes);
    return reader.state();
}

}  // namespace

TEST_CASE("a request comes whole however its bytes are cut, and the next one after it") {
    const std::string bytes =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
        request_reader reader({16'384, 4'194'304});
        std::vector<http_request> requests;
        for (std::size_t begin = 0; begin < bytes.size(); begin += cut) {
            reader.feed(std::string_view(bytes).substr(begin, cut));
            while (reader.state() == request_reader::progress::complete) {
                requests.push_back(reader.take_request());
                reader.feed({});
            }
        }
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].method == "POST");
        CHECK(requests[0].target == "/a?b=c");
        CHECK(requests[0].body == "hello");
        CHECK(requests[1].body == "abc");
    }
}

TEST_CASE("requests whose end is ambiguous are refused") {
    const auto broken = request_reader::progress::broken;
    CHECK(state_after("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == broken);
    CHECK(state_after("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n") == broken);
    CHECK(state_after("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == broken);
    CHECK(state_after("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n") == broken);
    CHECK(state_after("GET /a b HTTP/1.1\r\n\r\n") == broken);
    CHECK(state_after("no request\r\n\r\n") == broken);
}

TEST_CASE("a request with several lengths, both framings or another transfer coding than chunked gets 400") {
    const auto fields = GENERATE(
        as<std::string>{},  //
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 3\r\n", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length: +3\r\n", "Content-Length: 0x3\r\n", "Content-Length:\r\n");
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    CAPTURE(fields);
    for (const std::size_t cut : {std::size_t{1}, std::size_t{1'000}}) {
        request_reader reader({16'384, 4'194'304});
        const auto bytes = "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + smuggled;
        for (std::size_t begin = 0; begin < bytes.size(); begin += cut) {
            reader.feed(std::string_view(bytes).substr(begin, cut));
        }
        REQUIRE(reader.state() == request_reader::progress::broken);
        CHECK(reader.fault_status() == 400);
    }
}

TEST_CASE("chunks in a request of HTTP 1.0 are refused") {
    CHECK(state_after("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          request_reader::progress::broken);
}

TEST_CASE("changed limits hold for the next request on a kept connection and not for one that has begun") {
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    request_reader reader({1'000, 5});
    reader.feed(request);
    REQUIRE(reader.state() == request_reader::progress::complete);
    reader.take_request();
    reader.set_bounds({1'000, 4});
    reader.feed(request);
    REQUIRE(reader.state() == request_reader::progress::broken);
    CHECK(reader.fault_status() == 413);
    request_reader begun({1'000, 5});
    begun.feed(request.substr(0, 10));
    begun.set_bounds({1'000, 4});
    begun.feed(request.substr(10));
    CHECK(begun.state() == request_reader::progress::complete);
}

TEST_CASE("requests over the limits are answered with the status that says so") {
    request_reader header({100, 100});
    header.feed("GET / HTTP/1.1\r\nName: " + std::string(200, 'x') + "\r\n\r\n");
    REQUIRE(header.state() == request_reader::progress::broken);
    CHECK(header.fault_status() == 431);
    request_reader body({1'000, 100});
    body.feed("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
    REQUIRE(body.state() == request_reader::progress::broken);
    CHECK(body.fault_status() == 413);
}

TEST_CASE("a caller that waits for a go-ahead gets it once") {
    request_reader reader({1'000, 1'000});
    reader.feed("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    CHECK(reader.take_expects_continue());
    CHECK_FALSE(reader.take_expects_continue());
    reader.feed("abc");
    CHECK(reader.state() == request_reader::progress::complete);
}

TEST_CASE("an answer is complete by its length, its chunks or the orderly end of the connection") {
    using progress = answer_parser::progress;
    answer_parser sized;
    CHECK(sized.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel") == progress::incomplete);
    CHECK(sized.feed("lo") == progress::complete);
    CHECK(sized.take_body() == "hello");
    CHECK(sized.keep_alive());

    answer_parser chunked;
    CHECK(chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n") == progress::incomplete);
    CHECK(chunked.take_body() == "hello");
    CHECK(chunked.feed("0\r\n\r\n") == progress::complete);

    answer_parser unframed;
    CHECK(unframed.feed("HTTP/1.1 200 OK\r\n\r\nhello") == progress::incomplete);
    CHECK(unframed.feed_end() == progress::complete);
    CHECK_FALSE(unframed.keep_alive());
}

TEST_CASE("an answer that ends early or is no answer is broken") {
    using progress = answer_parser::progress;
    answer_parser short_of_length;
    short_of_length.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
    CHECK(short_of_length.feed_end() == progress::broken);
    answer_parser short_of_chunk;
    short_of_chunk.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    CHECK(short_of_chunk.feed_end() == progress::broken);
    answer_parser nothing;
    CHECK(nothing.feed_end() == progress::broken);
    answer_parser noise;
    CHECK(noise.feed("\x01\x02 noise that is no answer\r\n\r\n") == progress::broken);
}

TEST_CASE("bytes after an answer are seen, and an interim answer is passed over") {
    using progress = answer_parser::progress;
    answer_parser parser;
    CHECK(parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nmore") == progress::complete);
    CHECK(parser.head().status == 204);
    CHECK(parser.has_surplus());
}

TEST_CASE("an answer is complete however its bytes are cut") {
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"};
    for (const auto& bytes : answers) {
        for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
            answer_parser parser;
            parser.restart(false);
            auto progress = answer_parser::progress::incomplete;
            std::string body;
            for (std::size_t begin = 0; begin < bytes.size() && progress != answer_parser::progress::broken;
                 begin += cut) {
                progress = parser.feed(std::string_view(bytes).substr(begin, cut));
                body += parser.take_body();
            }
            INFO("cut at " << cut << ": " << parser.fault());
            CHECK(progress == answer_parser::progress::complete);
            CHECK(body == "hello");
        }
    }
}

TEST_CASE("bytes that never become an answer are given up within a bounded number of them") {
    constexpr std::size_t bound = 256 * 1024;
    const std::vector<std::pair<std::string, std::string>> endless{
        {"", "no line ends in these bytes "},
        {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"HTTP/1.1 200 OK\r\nName: ", "value without end "},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", "an extension without end "},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"}};
    for (const auto& [begin, repeated] : endless) {
        answer_parser parser;
        auto progress = parser.feed(begin);
        std::size_t fed = begin.size();
        while (progress == answer_parser::progress::incomplete && fed < bound) {
            progress = parser.feed(repeated);
            fed += repeated.size();
            parser.take_body();
        }
        INFO(begin << repeated);
        CHECK(progress == answer_parser::progress::broken);
    }
}
