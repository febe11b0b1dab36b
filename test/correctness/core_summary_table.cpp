// The table that placement reads: an outdated row would send work to the wrong
// owner.
#include "summary_table.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

const service_name chat("chat");
const zone_name zone_a("a");

owner_summary summary_of(std::uint64_t sequence, std::uint16_t free_slots) {
    headroom room;
    room.service = chat;
    room.zone = zone_a;
    room.servers = 1;
    room.free_slots = free_slots;
    return {sequence, {room}};
}

}  // namespace

TEST_CASE("a summary that arrives late does not replace a newer one") {
    summary_table table;
    const daemon_id owner{host_name("entry-1"), 5};
    table.on_summary(owner, summary_of(2, 7), {});
    table.on_summary(owner, summary_of(1, 3), {});
    table.on_summary({host_name("entry-1"), 4}, summary_of(9, 4), {});
    REQUIRE(table.rows(chat).size() == 1);
    REQUIRE(table.rows(chat)[0].room.free_slots == 7);
    REQUIRE(table.rows(chat)[0].owner == owner);
    std::cout << "late summaries: passed\n";
}

TEST_CASE("work sent counts until the next summary") {
    summary_table table;
    const daemon_id owner{host_name("entry-1"), 5};
    table.on_summary(owner, summary_of(1, 7), {});
    table.record_sent(owner, chat, zone_a, 100, length_class::short_prompt);
    table.record_sent(owner, chat, zone_a, 50'000, length_class::long_prompt);
    REQUIRE(table.rows(chat)[0].requests_sent_since == 2);
    REQUIRE(table.rows(chat)[0].tokens_sent_since == 50'100);
    REQUIRE(table.rows(chat)[0].long_tokens_sent_since == 50'000);
    table.on_summary(owner, summary_of(2, 5), {});
    REQUIRE(table.rows(chat)[0].requests_sent_since == 0);
    REQUIRE(table.rows(chat)[0].tokens_sent_since == 0);
    std::cout << "work sent since a summary: passed\n";
}

TEST_CASE("rows are removed with their daemon or with servers that it no longer lists") {
    summary_table table;
    const daemon_id one{host_name("entry-1"), 5};
    const daemon_id two{host_name("entry-2"), 5};
    table.on_summary(one, summary_of(1, 7), {});
    table.on_summary(two, summary_of(1, 7), {});
    table.on_summary(one, owner_summary{2, {}}, {});
    REQUIRE(table.rows(chat).size() == 1);
    REQUIRE(table.rows(chat)[0].owner == two);
    // The death of an earlier incarnation leaves the rows of the current one.
    table.forget({host_name("entry-2"), 4});
    REQUIRE(table.rows(chat).size() == 1);
    table.forget(two);
    REQUIRE(table.rows(chat).empty());
    std::cout << "removal of rows: passed\n";
}
