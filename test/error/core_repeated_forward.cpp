// Checks at-most-once execution when a forward is repeated late: a forward that
// was answered "not run" arrives again at a time when the call could run. It must
// not run, because the caller was told that it had not.
#include "keyed_calls.hpp"

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonObject>

#include <iostream>

using namespace verbenahold;

namespace {

const daemon_id home{host_name("entry-1"), 5};
const daemon_id forwarder{host_name("entry-2"), 6};

shared_config make_config(bool with_service) {
    const auto make = [](record_kind kind, const std::string& name, const QJsonObject& spec) {
        return std::pair(record_key{kind, name}, record{{kind, name}, newest_schema_version, 1, spec});
    };
    config_snapshot::record_map records;
    records.insert(make(record_kind::client_account, "shop",
                        {{"key_hashes", QJsonArray{QString(64, 'a')}}, {"tokens_per_second", 1000000}}));
    if (with_service) {
        records.insert(make(record_kind::service, "orders", {{"type", "plain"}}));
    }
    return std::make_shared<const config_snapshot>(with_service ? 2 : 1, records);
}

}  // namespace

TEST_CASE("a repeated forward that was answered not run stays not run") {
    entry_settings settings;
    settings.self = home;
    settings.zone = zone_name("a");
    const membership members(settings, 1);
    const ownership owners(home, settings.zone);
    crash_evidence evidence;
    std::vector<entry_command> out;
    caller_side callers(home, settings.zone, 2);
    keyed_calls keys(home, 3);
    const time_point now{std::chrono::seconds(10)};

    keyed_call call;
    call.key = keys.issue_key(now);
    call.forward_number = 1;
    call.service = service_name("orders");
    call.account = account_name("shop");
    call.method = "POST";
    call.path = "/orders";
    call.body = std::make_shared<const std::string>("one kit");
    call.time_left = std::chrono::seconds(10);
    const auto receive = [&](const shared_config& config) {
        caller_side::context ctx{now, *config, true, members, owners, evidence, out};
        keys.on_keyed_call(forwarder, call, callers, ctx);
    };

    // The service is not known yet, so the call is refused as not run.
    receive(make_config(false));
    REQUIRE(callers.count_open() == 0);
    REQUIRE(keys.count_open() == 0);
    // The same forward arrives again when the service is known.
    receive(make_config(true));
    REQUIRE(callers.count_open() == 0);
    // A new forward of the same key may run.
    call.forward_number = 2;
    receive(make_config(true));
    REQUIRE(callers.count_open() == 1);
    std::cout << "repeated forward: passed\n";
}
