// Tests one request without failures. The caller side would reject an answer
// that is truncated, reordered or has a wrong checksum.
#include "answer_checksum.hpp"
#include "owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("owner streams an answer and ends it with count and checksum") {
    owner_fixture fixture;
    fixture.add_server("s1");
    submit message = fixture.make_submit();
    message.generated = {"a", "b"};
    fixture.send(message);
    REQUIRE(fixture.server_of(message) == "s1");
    REQUIRE(fixture.answers<submit_accepted>(message).size() == 1);
    REQUIRE(fixture.owner.running() == 1);

    const std::string stream = fixture.stream_of(message);
    fixture.feed(stream_opened{server_name("s1"), stream});
    fixture.feed(stream_tokens{server_name("s1"), stream, 2, {"c", "d"}});
    // A reopened stream repeats tokens.
    fixture.feed(stream_tokens{server_name("s1"), stream, 3, {"d", "e"}});
    fixture.feed(stream_finished{server_name("s1"), stream, 5, 0, "stop"});

    const auto parts = fixture.answers<attempt_tokens>(message);
    REQUIRE(parts.size() == 2);
    REQUIRE(parts[1].first_index == 4);
    REQUIRE(parts[1].tokens == std::vector<std::string>{"e"});
    const auto ends = fixture.answers<attempt_finished>(message);
    REQUIRE(ends.size() == 1);
    answer_checksum expected;
    for (const char* token : {"a", "b", "c", "d", "e"})
        expected.add(token);
    REQUIRE(ends[0].token_count == 5);
    REQUIRE(ends[0].checksum == expected.value());
    REQUIRE(fixture.owner.running() == 0);
    std::cout << "owner streams one answer: passed\n";
}
