// Tests the parsing of records: unknown fields survive a rewrite, and records of
// both schema versions have a typed view.
#include "verbenahold/records.hpp"

#include <QJsonArray>
#include <QJsonDocument>

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

namespace {

QJsonObject read(const char* text) {
    return QJsonDocument::fromJson(QByteArray(text).replace('\'', '"')).object();
}

record parsed(const char* text) {
    const auto result = parse_record(read(text));
    REQUIRE(result);
    return result.value();
}

config_snapshot snapshot_of(const record& value) {
    return {1, {{value.key, value}}};
}

const std::string some_hash(64, 'a');

}  // namespace

TEST_CASE("unknown fields of a spec survive a rewrite") {
    const QJsonObject json = read(
        "{'kind':'service','name':'shade-llm','schema_version':2,'record_version':7,"
        "'spec':{'type':'model','cold_capacity':3,'warm_capacity':9,'from_the_future':{'a':[1,2]}}}");
    REQUIRE(to_json(parse_record(json).value()) == json);
    std::cout << "unknown fields survive: passed\n";
}

TEST_CASE("the cold capacity of a version 1 service is a quarter of its capacity") {
    const auto large =
        snapshot_of(parsed("{'kind':'service','name':'s','schema_version':1,'spec':{'type':'model','capacity':16}}"));
    const auto small =
        snapshot_of(parsed("{'kind':'service','name':'s','schema_version':1,'spec':{'type':'model','capacity':3}}"));
    REQUIRE(large.find_service(service_name("s"))->warm_capacity == 16);
    REQUIRE(large.find_service(service_name("s"))->cold_capacity == 4);
    REQUIRE(small.find_service(service_name("s"))->cold_capacity == 1);
    std::cout << "version 1 capacity: passed\n";
}

TEST_CASE("accounts are found by any of their keys in both schema versions") {
    record old_form{{record_kind::client_account, "a"}, 1, 1, {}};
    old_form.spec = {{"key_hash", QString::fromStdString(some_hash)}, {"tokens_per_second", 5}};
    record new_form{{record_kind::client_account, "b"}, 2, 1, {}};
    const std::string other_hash(64, 'b');
    new_form.spec = {{"key_hashes", QJsonArray{QString(64, 'c'), QString(64, 'b')}}, {"tokens_per_second", 5}};
    const config_snapshot snapshot(2, {{old_form.key, old_form}, {new_form.key, new_form}});
    REQUIRE(snapshot.find_account_by_key_hash(some_hash) != nullptr);
    REQUIRE(snapshot.find_account_by_key_hash(some_hash)->name == account_name("a"));
    REQUIRE(snapshot.find_account_by_key_hash(other_hash) != nullptr);
    REQUIRE(snapshot.find_account_by_key_hash(other_hash)->name == account_name("b"));
    REQUIRE(snapshot.find_account_by_key_hash(std::string(64, 'd')) == nullptr);
    std::cout << "accounts by key: passed\n";
}

TEST_CASE("zones without a record are in and services without a routing record get the defaults") {
    const auto snapshot =
        snapshot_of(parsed("{'kind':'availability_zone','name':'zone-a','schema_version':2,'spec':{'state':'out'}}"));
    REQUIRE(snapshot.is_zone_out(zone_name("zone-a")));
    REQUIRE_FALSE(snapshot.is_zone_out(zone_name("zone-b")));
    REQUIRE(snapshot.routing_for(service_name("s")).policy == placement_policy::headroom);
    const auto routed =
        snapshot_of(parsed("{'kind':'routing_intention','name':'s','schema_version':1,"
                           "'spec':{'policy':'round_robin','long_share':0.25}}"));
    REQUIRE(routed.routing_for(service_name("s")).policy == placement_policy::round_robin);
    REQUIRE(routed.routing_for(service_name("s")).long_share == 0.25);
    std::cout << "zones and routing: passed\n";
}
