// Tests the memory parts of very long prompts: an unconfirmed part must be
// freed, and a lost part must be replaced or else fail the attempt.
#include "../correctness/owner_fixture.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

const daemon_id self{host_name("entry-1"), 42};

reserve_part make_part(const submit& message, const std::string& server, std::int64_t tokens) {
    return {message.attempt, server_name(server), to_string(message.attempt) + "." + server, tokens,
            std::chrono::seconds(5)};
}

void reserve(owner_fixture& fixture, const reserve_part& part) {
    auto context = fixture.ctx();
    fixture.owner.on_reserve_part(self, part, context);
}

// A running attempt led by s1 with a confirmed part on s2.
submit start_group(owner_fixture& fixture) {
    submit message = fixture.make_submit(600'000);
    const reserve_part part = make_part(message, "s2", 300'000);
    reserve(fixture, part);
    fixture.feed(memory_reserved{part.server, part.reservation, true});
    auto context = fixture.ctx();
    fixture.owner.on_confirm_part(self, {part.attempt, part.server, part.reservation}, context);
    message.preferred_server = server_name("s1");
    message.parts = {{part.server, part.reservation, part.tokens}};
    return fixture.send(message);
}

}  // namespace

TEST_CASE("a part that is not confirmed in time is released") {
    owner_fixture fixture;
    fixture.add_server("s1");
    const submit message = fixture.make_submit(600'000);
    const reserve_part part = make_part(message, "s1", 300'000);
    reserve(fixture, part);
    REQUIRE(fixture.all<reserve_memory>().size() == 1);
    fixture.feed(memory_reserved{part.server, part.reservation, true});
    REQUIRE(fixture.answers<part_answer>(message).size() == 1);
    REQUIRE(fixture.answers<part_answer>(message)[0].granted);
    // The memory is in use: a second part of this size does not fit.
    const submit other = fixture.make_submit(600'000);
    reserve(fixture, make_part(other, "s1", 300'000));
    REQUIRE(fixture.answers<part_answer>(other).size() == 1);
    REQUIRE(!fixture.answers<part_answer>(other)[0].granted);

    fixture.run_for(std::chrono::milliseconds(5'200));
    REQUIRE(fixture.all<release_memory>().size() == 1);
    auto context = fixture.ctx();
    fixture.owner.on_confirm_part(self, {part.attempt, part.server, part.reservation}, context);
    fixture.list("s1", {});
    fixture.owner.on_confirm_part(self, {part.attempt, part.server, part.reservation}, context);
    REQUIRE(!fixture.answers<part_answer>(message).back().granted);
    std::cout << "part expiry: passed\n";
}

TEST_CASE("a confirmed part survives its first expiry and is freed by its release") {
    owner_fixture fixture;
    fixture.add_server("s1");
    fixture.add_server("s2");
    const submit message = start_group(fixture);
    REQUIRE(fixture.server_of(message) == "s1");
    REQUIRE(fixture.all<reserve_memory>().back().expires_in == duration::zero());
    fixture.run_for(std::chrono::milliseconds(1'900));
    REQUIRE(fixture.all<release_memory>().empty());
    auto context = fixture.ctx();
    const memory_part& part = message.parts[0];
    fixture.owner.on_release_part(self, {message.attempt, part.server, part.reservation}, context);
    REQUIRE(fixture.all<release_memory>().size() == 1);
    std::cout << "confirmed part: passed\n";
}

TEST_CASE("a dead part is replaced on another owned server") {
    owner_fixture fixture;
    for (const char* server : {"s1", "s2", "s3"})
        fixture.add_server(server);
    const submit message = start_group(fixture);
    fixture.feed(load_failed{server_name("s2"), backend_failure::refused});
    const reserve_memory asked = fixture.all<reserve_memory>().back();
    REQUIRE(asked.server == server_name("s3"));
    fixture.feed(memory_reserved{asked.server, asked.reservation, true});
    REQUIRE(fixture.all<replace_part>().size() == 1);
    REQUIRE(fixture.all<replace_part>()[0].lost_server == server_name("s2"));
    REQUIRE(fixture.all<replace_part>()[0].replacement == memory_part{asked.server, asked.reservation, 300'000});
    fixture.finish(message);
    REQUIRE(fixture.all<release_memory>().back().reservation == asked.reservation);
    std::cout << "part replaced: passed\n";
}

TEST_CASE("a part that another owner reports as lost is replaced once") {
    owner_fixture fixture;
    for (const char* server : {"s1", "s3"})
        fixture.add_server(server);
    // s2 is owned by another daemon, and only that one sees it die.
    submit message = fixture.make_submit(600'000);
    const reserve_part part = make_part(message, "s2", 300'000);
    message.preferred_server = server_name("s1");
    message.parts = {{part.server, part.reservation, part.tokens}};
    fixture.send(message);
    auto context = fixture.ctx();
    for (int repetition = 0; repetition < 2; ++repetition)
        fixture.owner.on_part_lost({message.attempt, part.server, part.reservation, false}, context);
    const std::vector<reserve_memory> asked = fixture.all<reserve_memory>();
    REQUIRE(asked.size() == 1);
    REQUIRE(asked[0].server == server_name("s3"));
    fixture.feed(memory_reserved{asked[0].server, asked[0].reservation, true});
    REQUIRE(fixture.all<replace_part>().size() == 1);
    REQUIRE(fixture.all<replace_part>()[0].lost_server == server_name("s2"));
    std::cout << "part lost at another owner: passed\n";
}

TEST_CASE("a dead part without a replacement ends the attempt") {
    owner_fixture fixture;
    fixture.add_server("s1");
    fixture.add_server("s2");
    const submit message = start_group(fixture);
    fixture.feed(load_failed{server_name("s2"), backend_failure::refused});
    REQUIRE(fixture.answers<attempt_failed>(message).size() == 1);
    REQUIRE(fixture.answers<attempt_failed>(message)[0].reason == attempt_failure::part_lost);
    REQUIRE(fixture.all<cancel_stream>().size() == 1);
    std::cout << "part lost: passed\n";
}
