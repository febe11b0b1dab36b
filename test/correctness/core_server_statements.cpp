// Guards against requests to servers that state that they leave or want a pause, and
// against statements that outlive the run that made them.
#include "server_statements.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

server_entry entry_of(const std::string& name, std::int64_t born, server_phase phase = server_phase::ready) {
    return {server_name(name), service_name("app"), "10.0.0.1:80", zone_name("a"), 4, phase, born};
}

}  // namespace

TEST_CASE("leaving holds for the run that stated it, whatever the list says of that run") {
    server_statements statements(1);
    statements.on_entry(entry_of("s", 5), start);
    CHECK(statements.on_leaving({server_name("s"), 5}, start));
    CHECK_FALSE(statements.on_leaving({server_name("s"), 5}, start));
    CHECK_FALSE(statements.may_send(entry_of("s", 5), start));
    statements.on_entry(entry_of("s", 5, server_phase::draining), start);
    statements.on_entry_gone(server_name("s"), start + 1s);
    statements.on_entry(entry_of("s", 5), start + 2s);
    CHECK_FALSE(statements.may_send(entry_of("s", 5), start + 2s));
    CHECK(statements.may_send(entry_of("s", 6), start + 2s));
    CHECK(statements.may_send(entry_of("other", 5), start + 2s));
    statements.on_entry(entry_of("s", 6), start + 3s);
    CHECK(statements.count_leaving() == 0);
}

TEST_CASE("without a start time a server is used again once it was gone") {
    server_statements statements(1);
    statements.on_entry(entry_of("s", 0), start);
    statements.on_leaving({server_name("s"), 0}, start);
    statements.on_entry(entry_of("s", 0), start);
    CHECK_FALSE(statements.may_send(entry_of("s", 0), start));
    statements.on_entry_gone(server_name("s"), start);
    statements.on_entry(entry_of("s", 0), start);
    CHECK(statements.may_send(entry_of("s", 0), start));
}

TEST_CASE("late word of an earlier run takes no server out and is not passed on") {
    server_statements statements(1);
    statements.on_entry(entry_of("s", 9), start);
    CHECK_FALSE(statements.on_leaving({server_name("s"), 5}, start));
    CHECK(statements.may_send(entry_of("s", 9), start));
    CHECK(statements.list_leaving().empty());
}

TEST_CASE("daemons that tell each other of a server that is gone forget it in the end") {
    std::array<server_statements, 2> daemons{server_statements(1), server_statements(2)};
    for (auto& daemon : daemons) {
        daemon.on_entry(entry_of("s", 5), start);
        daemon.on_entry(entry_of("other", 5), start);
        daemon.on_leaving({server_name("s"), 5}, start);
    }
    for (auto now = start; now < start + 2 * leaving_retention; now += 1s) {
        for (std::size_t teller = 0; teller < daemons.size(); ++teller) {
            for (const auto& statement : daemons[teller].list_leaving()) {
                daemons[1 - teller].on_leaving(statement, now);
            }
        }
        // The second daemon hears a little later that the entry is gone.
        daemons[0].on_entry_gone(server_name("s"), now);
        if (now > start + 500ms) {
            daemons[1].on_entry_gone(server_name("s"), now);
        }
    }
    CHECK(daemons[0].count_leaving() == 0);
    CHECK(daemons[1].count_leaving() == 0);
}

TEST_CASE("a daemon that starts learns of a leaving server before it knows the list") {
    server_statements statements(1);
    CHECK(statements.on_leaving({server_name("s"), 5}, start));
    statements.on_entry(entry_of("s", 5), start + 1s);
    CHECK_FALSE(statements.may_send(entry_of("s", 5), start + 1s));
    CHECK(statements.list_leaving().size() == 1);
}

TEST_CASE("nothing is sent in a pause, and one request first after it") {
    server_statements statements(1);
    const auto server = entry_of("s", 5);
    statements.on_entry(server, start);
    CHECK(statements.on_pause(server.id, 5, 3s, start));
    CHECK_FALSE(statements.on_pause(server.id, 5, 1s, start + 500ms));
    CHECK_FALSE(statements.may_send(server, start + 2'900ms));
    const auto after = start + 3s;
    CHECK(statements.may_send(server, after));
    statements.on_sent(server.id, after);
    CHECK_FALSE(statements.may_send(server, after + 100ms));
    SECTION("its answer ends the pause") {
        statements.on_answer(server.id, after + 200ms);
        CHECK(statements.may_send(server, after + 200ms));
    }
    SECTION("without an answer others follow later") {
        CHECK(statements.may_send(server, after + answer_wait_after_pause));
    }
    SECTION("another pause may follow") {
        CHECK(statements.on_pause(server.id, 5, 3s, after + 200ms));
        CHECK_FALSE(statements.may_send(server, after + 3s));
    }
}

TEST_CASE("an answer to an earlier request does not end a pause") {
    server_statements statements(1);
    const auto server = entry_of("s", 5);
    statements.on_pause(server.id, 5, 3s, start);
    statements.on_answer(server.id, start + 1s);
    CHECK_FALSE(statements.may_send(server, start + 2s));
}

TEST_CASE("a pause of a day is kept for a bounded time") {
    server_statements statements(1);
    const auto server = entry_of("s", 5);
    statements.on_pause(server.id, 5, 24h, start);
    CHECK_FALSE(statements.may_send(server, start + max_pause - 1ms));
    CHECK(statements.may_send(server, start + max_pause));
}

TEST_CASE("a pause ends with the run that asked for it, and not with a lapse of its entry") {
    server_statements statements(1);
    const auto server = entry_of("s", 5);
    statements.on_entry(server, start);
    statements.on_pause(server.id, 5, 10s, start);
    statements.on_entry_gone(server.id, start + 1s);
    statements.on_entry(server, start + 2s);
    CHECK_FALSE(statements.may_send(server, start + 2s));
    statements.on_entry(entry_of("s", 6), start + 3s);
    CHECK(statements.may_send(entry_of("s", 6), start + 3s));
}

TEST_CASE("the time until a server takes requests is known only if all want a pause") {
    server_statements statements(1);
    const auto first = entry_of("a", 5);
    const auto second = entry_of("b", 5);
    const auto third = entry_of("c", 5);
    const std::vector<const server_entry*> all{&first, &second, &third};
    statements.on_pause(first.id, 5, 8s, start);
    statements.on_leaving({third.id, 5}, start);
    CHECK(statements.time_until_end_of_pause(all, start) == 0s);
    statements.on_pause(second.id, 5, 5s, start);
    CHECK(statements.time_until_end_of_pause(all, start + 1s) == 4s);
    CHECK(statements.count_pausing(start + 6s) == 1);
}
