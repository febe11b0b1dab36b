// Tests which requests are let in: keys, framing and limits on their size. Guards against
// requests that run without a valid key, requests smuggled inside the body of another, and
// limits of an older desired state on kept connections.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

const auto answer_well = [](const http_request& request, const session_pointer& session) {
    session->write(proved_answer(request, "fine"));
};

constexpr const char* one_account = R"(,"tenants":[{"name":"first","api-keys":["key-1"]}])";
constexpr const char* no_accounts = R"(,"tenants":[])";

// A desired state with a route for all requests, and one that needs no key; `more` begins
// with a comma.
std::string state_text(int version, const std::string& more) {
    const std::string common =
        R"("host":"h.example","kind":"unsafe","timeout-ms":2000,"service":"app","max-attempts":1)";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"all","prefix":"/",)" + common +
           R"(},{"name":"open","prefix":"/open/","anonymous":true,)" + common +
           R"(}],"services":[{"name":"app","health-check":"/health","max-connections":10}])" + more + "}";
}

std::string with_key(const std::string& path, const std::string& key) {
    auto text = request_text("POST", path, "a-1", "body");
    const std::string field = "Authorization: Bearer key-1\r\n";
    return text.replace(text.find(field), field.size(), key.empty() ? "" : "Authorization: Bearer " + key + "\r\n");
}

class admission_rig : public serving_rig {
public:
    explicit admission_rig(const std::string& more) {
        store.put("op", "config", state_text(1, more));
        start_daemon("host-1");
    }

    // The status that the daemon answers on a connection of its own; 0 if it answers nothing.
    int status_of(const std::string& request) { return last_status(call("host-1", request), 1); }

    // The status of the `count`th answer on a connection.
    int last_status(const scripted_caller& caller, int count) {
        std::size_t found = 0;
        const bool answered = run_until([&] {
            found = 0;
            for (int number = 1; number <= count; ++number) {
                found = caller.received().find("HTTP/1.1 ", found + (number > 1 ? 1 : 0));
                if (found == std::string::npos) {
                    return false;
                }
            }
            return caller.received().find("\r\n\r\n", found) != std::string::npos;
        });
        return answered ? std::stoi(caller.received().substr(found + 9, 3)) : 0;
    }

    scripted_server& server = add_server("i-1", answer_well);
};

}  // namespace

TEST_CASE("no request runs without a valid key after the last account was removed") {
    admission_rig rig(one_account);
    REQUIRE(rig.run_until_ready("host-1"));
    REQUIRE(rig.status_of(with_key("/x", "key-1")) == 200);
    CHECK(rig.status_of(with_key("/x", "key-nobody-held")) == 401);
    rig.store.put("op", "config", state_text(2, no_accounts));
    REQUIRE(rig.run_until([&] { return rig.status_of(with_key("/x", "key-1")) == 401; }));
    const auto ran = rig.server.requests().size();
    CHECK(rig.status_of(with_key("/x", "key-nobody-held")) == 401);
    CHECK(rig.status_of(with_key("/x", "")) == 401);
    CHECK(rig.server.requests().size() == ran);
    CHECK(rig.status_of(with_key("/open/x", "")) == 200);
}

TEST_CASE("requests need no key where the desired state does not speak of accounts") {
    admission_rig rig("");
    REQUIRE(rig.run_until_ready("host-1"));
    CHECK(rig.status_of(with_key("/x", "")) == 200);
    CHECK(field_value(rig.server.requests().front().fields, "Verbenahold-Tenant").empty());
}

TEST_CASE("a daemon that starts while the list of accounts is empty or unreadable runs nothing") {
    const auto [list, status] =
        GENERATE(table<std::string, int>({{no_accounts, 401}, {R"(,"tenants":null)", 503}, {R"(,"tenants":{})", 503}}));
    CAPTURE(list);
    admission_rig rig(list);
    rig.run_for(300ms);
    for (const std::string key : {"key-1", "unknown", ""}) {
        CHECK(rig.status_of(with_key("/x", key)) == status);
    }
    CHECK(rig.server.requests().empty());
}

TEST_CASE("a desired state that can't be read leaves the one before in force") {
    admission_rig rig(one_account);
    REQUIRE(rig.run_until_ready("host-1"));
    rig.store.put("op", "config", state_text(2, R"(,"tenants":null)"));
    rig.run_for(300ms);
    CHECK(rig.status_of(with_key("/x", "key-1")) == 200);
    CHECK(rig.status_of(with_key("/x", "")) == 401);
    rig.store.put("op", "config", state_text(3, no_accounts));
    CHECK(rig.run_until([&] { return rig.status_of(with_key("/x", "key-1")) == 401; }));
}

TEST_CASE("a request that waits is handled as the newest desired state says") {
    // The service named here, and the status that the waiting request gets.
    const auto [change, status] =
        GENERATE(table<std::string, int>({{no_accounts, 401},
                                          {R"(,"tenants":[{"name":"first","api-keys":["key-2"]}])", 401},
                                          {one_account, 200},
                                          {"no route", 404},
                                          {"another service", 200}}));
    CAPTURE(change);
    const auto text = [](int version, const std::string& route, const std::string& more) {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route +
               R"(],"services":[{"name":"app"},{"name":"other"}])" + more + "}";
    };
    const auto route_to = [](const std::string& service) {
        return R"({"name":"all","prefix":"/","host":"h.example","kind":"unsafe","timeout-ms":5000,
                   "target-latency-ms":4000,"max-attempts":2,"service":")" +
               service + R"("})";
    };
    serving_rig rig;
    auto& pausing = rig.add_server("i-1", [](const http_request& request, const session_pointer& session) {
        if (request.target == "/first") {
            session->write(
                "HTTP/1.1 503 Busy\r\nVerbenahold-Not-Executed: 1\r\nRetry-After: 0.6\r\n"
                "Content-Length: 0\r\n\r\n");
        } else {
            session->write(proved_answer(request, "fine"));
        }
    });
    scripted_server other(rig.loop, answer_well);
    rig.store.put(
        "servers", "i-other",
        R"({"service":"other","address":")" + other.address() + R"(","zone":"zone-a","slots":4,"state":"ready"})");
    rig.store.put("op", "config", text(1, route_to("app"), one_account));
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    rig.call("host-1", request_text("POST", "/first", "a-1", "body"));
    REQUIRE(rig.run_until([&] { return pausing.requests().size() == 1; }));
    rig.run_for(50ms);
    auto& waiting = rig.call("host-1", request_text("POST", "/second", "a-2", "body"));
    rig.run_for(100ms);
    REQUIRE(waiting.received().empty());
    rig.store.put("op", "config",
                  change == "no route"          ? text(2, "", one_account)
                  : change == "another service" ? text(2, route_to("other"), one_account)
                                                : text(2, route_to("app"), change));
    REQUIRE(rig.run_until([&] { return waiting.received().find("\r\n\r\n") != std::string::npos; }));
    INFO(waiting.received());
    CHECK(waiting.received().starts_with("HTTP/1.1 " + std::to_string(status)));
    CHECK(pausing.requests().size() == (change == one_account ? 2 : 1));
    CHECK(other.requests().size() == (change == "another service" ? 2 : 0));
}

TEST_CASE("a body behind an ambiguous length is never run as a request of its own") {
    const auto fields =
        GENERATE(as<std::string>{}, "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
                 "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                 "Content-Length: 0\r\nContent-Length: 0\r\n");
    CAPTURE(fields);
    admission_rig rig(one_account);
    REQUIRE(rig.run_until_ready("host-1"));
    auto& caller = rig.call("host-1", "POST /open/x HTTP/1.1\r\nHost: h.example\r\nVerbenahold-Attempt-Id: a-1\r\n" +
                                          fields + "\r\n" + with_key("/open/smuggled", ""));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 400"));
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK(rig.server.requests().empty());
}

TEST_CASE("a raised limit on bodies holds for the next request on a kept connection") {
    const auto limits = [](int bytes) { return R"(,"limits":{"max-body-bytes":)" + std::to_string(bytes) + "}"; };
    const auto long_request = request_text("POST", "/open/x", "a-2", std::string(200, 'x'));
    admission_rig rig(one_account + limits(100));
    REQUIRE(rig.run_until_ready("host-1"));
    auto& kept = rig.call("host-1", request_text("POST", "/open/x", "a-1", "short"));
    REQUIRE(rig.last_status(kept, 1) == 200);
    REQUIRE(rig.status_of(long_request) == 413);
    rig.store.put("op", "config", state_text(2, one_account + limits(300)));
    REQUIRE(rig.run_until([&] { return rig.status_of(long_request) == 200; }));
    kept.send(long_request);
    CHECK(rig.last_status(kept, 2) == 200);
}
