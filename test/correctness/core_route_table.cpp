// Guards against requests that are routed to a wrong service, and API keys that are
// accepted for an account that they don't belong to.
#include "route_table.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;

namespace {

route route_to(const char* host, const char* prefix, const char* service) {
    route made;
    made.name = prefix;
    made.host = host;
    made.path_prefix = prefix;
    made.split = {{service_name(service), 1}};
    return made;
}

desired_state two_services() {
    desired_state state;
    state.version = 3;
    state.routes = {route_to("a.example", "/", "wide"), route_to("a.example", "/deep/", "narrow")};
    for (const char* name : {"wide", "narrow"}) {
        service made;
        made.name = service_name(name);
        state.services.emplace(made.name, made);
    }
    state.accounts = {{account_name("first"), {"key-1", "key-2"}, std::nullopt},
                      {account_name("second"), {"key-3"}, 2}};
    return state;
}

}  // namespace

TEST_CASE("the route with the longest prefix of the path is selected") {
    const route_table table(two_services());
    CHECK(table.match("a.example", "/deep/x")->split.front().service.value == "narrow");
    CHECK(table.match("a.example", "/deeper/x")->split.front().service.value == "wide");
    CHECK(table.match("a.example", "/deep")->split.front().service.value == "wide");
}

TEST_CASE("hosts are compared without port and regardless of case") {
    const route_table table(two_services());
    CHECK(table.match("A.Example:8080", "/x") != nullptr);
    CHECK(table.match("b.example", "/x") == nullptr);
    CHECK(table.match("", "/x") == nullptr);
}

TEST_CASE("a key belongs to one account only") {
    const route_table table(two_services());
    CHECK(table.account_of("key-2")->name.value == "first");
    CHECK(table.account_of("key-3")->name.value == "second");
    CHECK(table.account_of("key-4") == nullptr);
    CHECK(table.account_of("") == nullptr);
}

TEST_CASE("an empty key of an account admits no request that has none") {
    auto state = two_services();
    state.accounts.front().api_keys.emplace_back();
    CHECK(route_table(state).account_of("") == nullptr);
}

TEST_CASE("services of a split get requests by weight, and none with weight zero") {
    auto state = two_services();
    state.routes.front().split = {{service_name("wide"), 3}, {service_name("narrow"), 1}};
    const route_table table(state);
    const auto& split = table.state().routes.front();
    CHECK(table.pick_service(split, 0.0)->name.value == "wide");
    CHECK(table.pick_service(split, 0.74)->name.value == "wide");
    CHECK(table.pick_service(split, 0.76)->name.value == "narrow");
    auto none = split;
    none.split = {{service_name("wide"), 0}};
    CHECK(table.pick_service(none, 0.5) == nullptr);
}
