// Tests the entry's table access against the stand-in of the platform: claims
// whose answer is lost are read back, and the configuration is read as ordered
// changes or as all records.
#include <catch2/catch.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>

#include "entry_table_client.hpp"
#include "fake_platform.hpp"
#include "io_wait.hpp"
#include "record_rows.hpp"
#include "standin_server.hpp"

using namespace verbenahold;

namespace {

const daemon_id self{host_name("entry-1"), 0xfedcba9876543210ULL};

struct table_access {
    table_access()
        : platform({}, timers),
          server([this](const auto& call, const auto& reply) { platform.handle(call, reply); }),
          address(*server.start("127.0.0.1:0")),
          calls(client, url_of(address, "")),
          table(calls, self, [this](entry_event&& event) { events.push_back(std::move(event)); }) {}

    template <class T>
    T next() {
        const std::size_t index = taken++;
        REQUIRE(wait_until([&] { return events.size() > index; }));
        REQUIRE(std::holds_alternative<T>(events[index]));
        return std::get<T>(events[index]);
    }

    void set_fault(const char* json) {
        bool done = false;
        client.send({.method = "POST", .url = url_of(address, "/v1/admin/faults"), .body = json},
                    [&](const http_answer& answer) { done = answer.is_success(); });
        REQUIRE(wait_until([&] { return done; }));
    }

    void put(const std::string& key, const QJsonObject& value) {
        bool done = false;
        calls.transact({{}, {{key, value}}, {}}, [&](const auto& result) { done = result.has_value(); });
        REQUIRE(wait_until([&] { return done; }));
    }

    void accept(std::uint64_t version, const char* zone, bool with_change = true) {
        const record_key key{record_kind::availability_zone, zone};
        const record value{key, 2, version, QJsonObject{{"state", "out"}, {"extra", 1}}};
        put(record_row_key(key), to_json(value));
        if (with_change) {
            put(change_row_key(version), change_row({version, key, value}, std::chrono::seconds(1)));
        }
        put(std::string(head_row_key), head_row(version));
    }

    timer_service timers;
    standins::fake_platform platform;
    standins::standin_server server;
    std::string address;
    http_client client;
    platform_client calls;
    std::vector<entry_event> events;
    std::size_t taken = 0;
    entry_table_client table;
};

}  // namespace

TEST_CASE("a claim whose answer is lost is read back and found to be ours") {
    table_access access;
    access.set_fault(R"({"lose_answers":1})");
    access.table.run(claim_key{"acme/k1", 77});
    const auto lost = access.next<claim_answered>();
    CHECK(lost.state == claim_state::held_by_other);
    CHECK(lost.holder == self);
    CHECK(lost.body_hash == 77);
    access.table.run(claim_key{"acme/k2", 78});
    CHECK(access.next<claim_answered>().state == claim_state::granted);
    const keyed_reply outcome{"k2", account_name("acme"), true, 201, "text/plain", "made", "", ran_state::yes};
    access.table.run(record_outcome{"acme/k2", outcome});
    REQUIRE(wait_until([&] {
        access.table.run(claim_key{"acme/k2", 78});
        return access.next<claim_answered>().state == claim_state::finished;
    }));
    const auto finished = std::get<claim_answered>(access.events.back());
    CHECK(finished.outcome->body == "made");
    CHECK(finished.outcome->ran == ran_state::yes);
    access.set_fault(R"({"table_down_ms":60000})");
    access.table.run(claim_key{"acme/k3", 79});
    CHECK(access.next<claim_answered>().state == claim_state::unavailable);
    access.table.run(read_head{});
    CHECK(access.next<table_failed>().operation == table_operation::read_head);
    std::cout << "claims in the table: passed\n";
}

TEST_CASE("changes are read in order, and all records when changes are missing") {
    table_access access;
    access.table.run(read_head{});
    CHECK(access.next<table_head_read>().version == 0);
    access.accept(1, "a");
    access.accept(2, "b");
    access.accept(3, "a");
    access.table.run(read_changes{1});
    const auto changes = access.next<table_changes_read>().delta;
    CHECK_FALSE(changes.is_snapshot);
    CHECK(changes.to_version == 3);
    REQUIRE(changes.changes.size() == 2);
    CHECK(changes.changes[0].key.name == "b");
    CHECK(changes.changes[0].value->spec["extra"].toInt() == 1);
    access.accept(4, "c", false);
    access.accept(5, "d");
    access.table.run(read_changes{3});
    const auto whole = access.next<table_changes_read>().delta;
    CHECK(whole.is_snapshot);
    CHECK(whole.to_version == 5);
    CHECK(whole.changes.size() == 4);
    std::cout << "configuration from the table: passed\n";
}
