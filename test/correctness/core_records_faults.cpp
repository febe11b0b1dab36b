// Tests that invalid records are refused, with the name of the invalid field.
#include "verbenahold/commands.hpp"
#include "verbenahold/records.hpp"

#include <QJsonDocument>

#include <catch2/catch.hpp>

#include <iostream>
#include <set>

using namespace verbenahold;

namespace {

struct invalid_record {
    const char* text;
    record_error error;
    const char* field;
};

}  // namespace

TEST_CASE("a faulty record is refused with the name of its field") {
    const auto invalid = GENERATE(
        invalid_record{"{'kind':'host','name':'a','schema_version':2,'spec':{}}", record_error::unknown_kind, "kind"},
        invalid_record{"{'kind':'service','name':'A/b','schema_version':2,'spec':{}}", record_error::bad_name, "name"},
        invalid_record{"{'kind':'service','name':'a','schema_version':3,'spec':{'type':'model'}}",
                       record_error::unsupported_schema_version, "schema_version"},
        invalid_record{"{'kind':'service','name':'a','schema_version':2}", record_error::missing_field, "spec"},
        invalid_record{"{'kind':'service','name':'a','schema_version':2,'spec':[]}", record_error::not_an_object,
                       "spec"},
        invalid_record{"{'kind':'service','name':'a','schema_version':1,'spec':{'type':'model'}}",
                       record_error::missing_field, "capacity"},
        invalid_record{"{'kind':'service','name':'a','schema_version':2,'spec':{'type':'model','max_unavailable':0}}",
                       record_error::bad_value, "max_unavailable"},
        invalid_record{"{'kind':'service','name':'a','schema_version':2,'spec':{'type':'model','warm_capacity':1.5}}",
                       record_error::bad_value, "warm_capacity"},
        invalid_record{"{'kind':'service','name':'a','schema_version':2,"
                       "'spec':{'type':'model','cold_capacity':5,'warm_capacity':4}}",
                       record_error::bad_value, "cold_capacity"},
        invalid_record{"{'kind':'client_account','name':'a','schema_version':2,"
                       "'spec':{'key_hashes':['secret'],'tokens_per_second':1}}",
                       record_error::bad_value, "key_hashes"},
        invalid_record{"{'kind':'routing_intention','name':'a','schema_version':2,'spec':{'long_share':1.5}}",
                       record_error::bad_value, "long_share"},
        invalid_record{"{'kind':'availability_zone','name':'a','schema_version':2,'spec':{'state':'away'}}",
                       record_error::bad_value, "state"});
    const auto json = QJsonDocument::fromJson(QByteArray(invalid.text).replace('\'', '"')).object();
    REQUIRE_FALSE(json.isEmpty());
    const auto result = parse_record(json);
    REQUIRE_FALSE(result);
    REQUIRE(result.error().error == invalid.error);
    REQUIRE(result.error().field == invalid.field);
    REQUIRE_FALSE(result.error().message.empty());
    std::cout << "refused with its field " << invalid.field << ": passed\n";
}

TEST_CASE("a stored record that does not parse has no typed view") {
    const record unparsable{{record_kind::service, "a"}, 2, 1, {{"type", "unheard-of"}}};
    const config_snapshot snapshot(3, {{unparsable.key, unparsable}});
    REQUIRE(snapshot.records().size() == 1);
    REQUIRE(snapshot.find_service(service_name("a")) == nullptr);
    std::cout << "no view of an invalid record: passed\n";
}

TEST_CASE("every refusal has its own name and an HTTP error status") {
    std::set<std::string_view> names;
    for (int code = 0; code <= static_cast<int>(refusal::outcome_unknown); ++code) {
        names.insert(to_string(static_cast<refusal>(code)));
        REQUIRE(http_status(static_cast<refusal>(code)) >= 400);
    }
    REQUIRE(names.size() == static_cast<std::size_t>(refusal::outcome_unknown) + 1);
    REQUIRE(http_status(refusal::account_limit) == 429);
    REQUIRE(http_status(refusal::request_crashes_servers) == 403);
    std::cout << "names of refusals: passed\n";
}
