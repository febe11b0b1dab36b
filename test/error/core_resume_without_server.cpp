// Checks that a request which has begun and lost its server waits for another one
// until its deadline. It was once refused as overloaded after 5 s, although its
// deadline was far off.
#include "caller_side.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonObject>

#include <iostream>

using namespace verbenahold;
using namespace std::chrono_literals;

namespace {

const daemon_id self{host_name("entry-1"), 5};
const std::string key_hash(64, 'a');

config_snapshot make_config() {
    config_snapshot::record_map records;
    const auto add = [&records](record_kind kind, const std::string& name, const QJsonObject& spec) {
        records[{kind, name}] = record{{kind, name}, newest_schema_version, 1, spec};
    };
    add(record_kind::client_account, "web",
        {{"key_hashes", QJsonArray{QString::fromStdString(key_hash)}}, {"tokens_per_second", 1000000}});
    add(record_kind::service, "llm", {{"type", "model"}});
    return {1, records};
}

owner_summary make_summary(std::uint64_t sequence, bool with_server) {
    owner_summary summary;
    summary.sequence = sequence;
    if (with_server) {
        headroom room;
        room.service = service_name("llm");
        room.zone = zone_name("a");
        room.servers = 1;
        room.free_slots = 4;
        room.free_short_tokens = 100'000;
        room.largest_free_kv_tokens = 100'000;
        summary.entries.push_back(room);
    }
    return summary;
}

// The submits among the commands, in order.
std::vector<submit> submits(const std::vector<entry_command>& commands) {
    std::vector<submit> found;
    for (const entry_command& command : commands) {
        if (const auto* sent = std::get_if<send_peer>(&command)) {
            if (const auto* one = std::get_if<submit>(&sent->message)) {
                found.push_back(*one);
            }
        }
    }
    return found;
}

bool has_refusal(const std::vector<entry_command>& commands) {
    return std::ranges::any_of(commands,
                               [](const auto& command) { return std::holds_alternative<reply_refused>(command); });
}

}  // namespace

TEST_CASE("a request that has begun waits for a server until its deadline") {
    entry_settings settings;
    settings.self = self;
    settings.zone = zone_name("a");
    const membership members(settings, 1);
    const ownership owners(self, settings.zone);
    const config_snapshot config = make_config();
    crash_evidence evidence;
    std::vector<entry_command> out;
    caller_side callers(self, settings.zone, 2);
    time_point now{10s};
    const auto context = [&] { return caller_side::context{now, config, true, members, owners, evidence, out}; };

    auto ctx = context();
    callers.on_summary(self, make_summary(1, true), ctx);
    caller_request request;
    request.ticket = 1;
    request.service = service_name("llm");
    request.key_hash = key_hash;
    request.body = std::make_shared<const std::string>("a long answer, please");
    request.deadline = 60s;
    callers.on_caller_request(request, ctx);
    REQUIRE(submits(out).size() == 1);
    const attempt_id attempt = submits(out)[0].attempt;
    callers.on_accepted(self, {attempt, server_name("s1"), {}}, ctx);
    callers.on_tokens(self, {attempt, 0, {"first"}}, ctx);

    // The only server dies, and for 20 s there is no other one.
    callers.on_summary(self, make_summary(2, false), ctx);
    callers.on_failed(self, {attempt, attempt_failure::server_died, ran_state::yes, 0, "", {}}, ctx);
    for (const time_point end = now + 20s; now < end; now += 50ms) {
        auto later = context();
        callers.on_tick(later);
    }
    REQUIRE_FALSE(has_refusal(out));
    auto returned = context();
    callers.on_summary(self, make_summary(3, true), returned);
    now += 200ms;
    auto next = context();
    callers.on_tick(next);
    REQUIRE(submits(out).size() == 2);
    REQUIRE(submits(out)[1].generated == std::vector<std::string>{"first"});

    // Without a server until the deadline, the request is refused then.
    callers.on_summary(self, make_summary(4, false), next);
    callers.on_failed(self, {submits(out)[1].attempt, attempt_failure::server_died, ran_state::yes, 0, "", {}}, next);
    now += 60s;
    auto last = context();
    callers.on_tick(last);
    REQUIRE(has_refusal(out));
    REQUIRE(callers.count_open() == 0);
    std::cout << "begun requests wait for a server: passed\n";
}
