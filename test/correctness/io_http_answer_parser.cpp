// Guards the parser of HTTP answers: every way to cut an answer into pieces
// gives the same body, and broken answers are told from whole ones.
#include <catch2/catch.hpp>

#include <iostream>

#include "http_answer_parser.hpp"

using namespace verbenahold;

namespace {

using state = http_answer_parser::state;

struct parsed {
    state end = state::head;
    int status = 0;
    QByteArray body;
    bool keeps = false;
};

parsed parse(const QByteArray& answer, qsizetype step) {
    http_answer_parser parser;
    parsed result;
    for (qsizetype at = 0; at < answer.size(); at += step) {
        result.end = parser.feed(answer.mid(at, step), result.body);
    }
    result.status = parser.status();
    result.keeps = parser.keeps_connection();
    return result;
}

}  // namespace

TEST_CASE("an answer in pieces of any size has the same body") {
    const std::vector<QByteArray> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:11\r\n\r\nhello world"};
    for (const QByteArray& answer : answers) {
        for (qsizetype step = 1; step <= answer.size(); ++step) {
            const parsed result = parse(answer, step);
            REQUIRE(result.end == state::done);
            REQUIRE(result.status == 200);
            REQUIRE(result.body == "hello world");
            REQUIRE(result.keeps);
        }
    }
    std::cout << "answers in pieces: passed\n";
}

TEST_CASE("broken, unfinished and closing answers are told apart") {
    CHECK(parse("SSH-2.0-server\r\n\r\n", 100).end == state::bad);
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", 100).end == state::bad);
    CHECK(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 100).end == state::bad);
    CHECK(parse("HTTP/1.1 200 OK\r\nX: " + QByteArray(100'000, 'a'), 1000).end == state::bad);
    CHECK(parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", 100).end == state::body);
    CHECK(parse("HTTP/1.1 204 No Content\r\n\r\n", 100).end == state::done);
    CHECK_FALSE(parse("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 100).keeps);
    http_answer_parser until_close;
    QByteArray body;
    CHECK(until_close.feed("HTTP/1.0 200 OK\r\n\r\nall", body) == state::body);
    CHECK(until_close.end_of_input() == state::done);
    std::cout << "broken answers: passed\n";
}
