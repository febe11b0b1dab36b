// Guards against values of the platform's protocol that are decoded into the
// wrong fields, and against callers that forge headers which only the system
// may set.
#include "operator_rows.hpp"
#include "request_headers.hpp"
#include "server_rows.hpp"
#include "settings_file.hpp"
#include "store_calls.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

http_request sample_request() {
    return {"POST",
            "/a/b",
            {{"Host", "h.example"},
             {"Verbenahold-Attempt-Id", "at-1"},
             {"Authorization", "Bearer key-1"},
             {"Verbenahold-Deadline-Ms", "1500"},
             {"Verbenahold-Token-Usage", "1460,80"},
             {"Verbenahold-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"},
             {"Last-Event-Id", "12"},
             {"Connection", "X-Private, keep-alive"},
             {"X-Private", "one connection only"},
             {"X-Kept", "yes"},
             {"Verbenahold-Tenant", "forged"},
             {"Verbenahold-Helpers", "10.0.0.1:1"},
             {"Verbenahold-Expect-Instance", "forged"},
             {"Verbenahold-Request-Priority", "0"}},
            "body"};
}

store_row config_row(const std::string& text) {
    return {"config", text, 9, false};
}

}  // namespace

TEST_CASE("a caller's request is decoded and headers that only the system may set are dropped") {
    const auto decoded = platform::decode_request(sample_request());
    CHECK(decoded.host == "h.example");
    CHECK(decoded.attempt_id == "at-1");
    CHECK(decoded.api_key == "key-1");
    CHECK(decoded.time_limit == 1'500ms);
    CHECK(decoded.prompt_tokens == 1'460);
    CHECK(decoded.max_output_tokens == 80);
    CHECK(decoded.last_event_id == 12);
    CHECK(decoded.shared_parts == std::vector<std::string>{"5c1e07a2", "91bd3f06"});
    const auto& kept = decoded.request.fields;
    CHECK(field_value(kept, "X-Kept") == "yes");
    CHECK(field_value(kept, "Verbenahold-Prompt-Prefix") == "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    for (const char* dropped : {"X-Private", "Authorization", "Verbenahold-Tenant", "Verbenahold-Helpers",
                                "Verbenahold-Expect-Instance", "Verbenahold-Request-Priority", "Connection"}) {
        CAPTURE(dropped);
        CHECK(field_value(kept, dropped).empty());
    }
}

TEST_CASE("a time limit beyond any clock leaves the request time") {
    const auto stated = GENERATE("9999999999992000", "9223372036854775807");
    const auto request =
        platform::decode_request({"GET", "/x", {{"Host", "h"}, {"Verbenahold-Deadline-Ms", stated}}, {}});
    REQUIRE(request.time_limit);
    CHECK(*request.time_limit > std::chrono::hours(1));
    CHECK(*request.time_limit < std::chrono::hours(24 * 366));
}

TEST_CASE("a request to a server carries the remaining time, the server and the account") {
    forwarding added;
    added.server = server_name("i-7");
    added.time_left = 900ms;
    added.account = account_name("first");
    added.priority = 3;
    added.last_event_id = 15;
    added.helpers = {{"10.0.0.2:80", "t-1"}, {"10.0.0.3:80", ""}};
    const auto request = platform::encode_server_request(platform::decode_request(sample_request()), added);
    CHECK(request.body == "body");
    CHECK(field_value(request.fields, "Verbenahold-Deadline-Ms") == "900");
    CHECK(field_value(request.fields, "Verbenahold-Expect-Instance") == "i-7");
    CHECK(field_value(request.fields, "Verbenahold-Tenant") == "first");
    CHECK(field_value(request.fields, "Verbenahold-Request-Priority") == "3");
    CHECK(field_value(request.fields, "Last-Event-Id") == "15");
    CHECK(field_value(request.fields, "Verbenahold-Helpers") == "10.0.0.2:80/t-1,10.0.0.3:80");
    CHECK(field_value(request.fields, "Verbenahold-Attempt-Id") == "at-1");
}

TEST_CASE("only status 421 or the server's header states that a request did not run") {
    CHECK_FALSE(platform::decode_answer({503, "", {}}).not_executed);
    CHECK(platform::decode_answer({503, "", {{"Verbenahold-Not-Executed", "1"}}}).not_executed);
    CHECK(platform::decode_answer({421, "", {}}).not_executed);
    CHECK_FALSE(platform::decode_answer({200, "", {}}).proved);
    CHECK(platform::decode_answer({200, "", {{"Verbenahold-Origin-Signature", "x"}}}).proved);
}

TEST_CASE("a limit that a server states is read, and one that is no amount is none") {
    const auto limit_of = [](const std::string& value) {
        return platform::decode_answer({200, {}, {{"Server-Limit", value}}}).requests_per_second;
    };
    CHECK(limit_of("3.75") == 3.75);
    CHECK(limit_of(" 4 ") == 4);
    CHECK(limit_of("0") == 0);
    for (const char* value : {"", "many", "-1", "nan", "inf", "3 a second", "1e999"}) {
        CAPTURE(value);
        CHECK_FALSE(limit_of(value));
    }
}

TEST_CASE("a pause is read from a rejection, and one that is no amount of seconds is ignored") {
    const auto answer_with = [](int status, const std::string& value) {
        return platform::decode_answer({status, {}, {{"Retry-After", value}}});
    };
    CHECK(answer_with(503, "2").pause == 2s);
    CHECK(answer_with(503, " 0.25 ").pause == 250ms);
    CHECK(answer_with(503, "1e300").pause == 24h);
    CHECK_FALSE(answer_with(503, "").has_unreadable_statement);
    CHECK_FALSE(answer_with(200, "2").pause);
    CHECK_FALSE(answer_with(429, "2").pause);
    for (const char* value : {"-1", "nan", "inf", "soon", "2 s", "1e999", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CAPTURE(value);
        CHECK_FALSE(answer_with(503, value).pause);
        CHECK(answer_with(503, value).has_unreadable_statement);
    }
    const header_fields twice{{"Retry-After", "2"}, {"Retry-After", "9"}};
    CHECK(platform::decode_answer({503, {}, twice}).pause == 2s);
}

TEST_CASE("a server leaves only if it says so plainly") {
    const auto answer_with = [](const std::string& value) {
        return platform::decode_answer({200, {}, {{"Server-Leaving", value}}});
    };
    CHECK(answer_with("1").leaving);
    CHECK(answer_with(" 1").leaving);
    CHECK_FALSE(platform::decode_answer({200, {}, {}}).leaving);
    for (const char* value : {"0", "true", "11", "-1", "1, 1"}) {
        CAPTURE(value);
        CHECK_FALSE(answer_with(value).leaving);
        CHECK(answer_with(value).has_unreadable_statement);
    }
}

TEST_CASE("a desired state is decoded into retry rules, time limits and engine figures") {
    const auto state = platform::decode_desired_state(config_row(R"({"version":7,
        "routes":[
          {"name":"s","host":"h","prefix":"/s/","kind":"streaming","timeout-ms":10000,"target-latency-ms":300,
           "priority":1,"service":"llm","max-attempts":2,"can-resume":true,"target-gap-ms":250},
          {"name":"u","host":"h","prefix":"/u/","kind":"unsafe","timeout-ms":1000,
           "traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
          {"name":"n","host":"h","prefix":"/n/","kind":"of a later release","timeout-ms":1000,"service":"a"},
          {"name":"t","host":"h","prefix":"/t/","kind":"streaming","timeout-ms":1000,"service":"a"}],
        "services":[{"name":"llm","health-check":"/health","max-connections":314,"cold-s":3.0,"cold-per-s":26.0,
          "engine":{"slots":16,"kv-capacity":315000,"stride":51,"step_ms":0.85,"read_per_s":177000.0,
                    "pairs_per_m":0.184,"chunk":2048,"usual":{"prompt":11121,"answer":1622},"hop-ms":0.05,
                    "prefix-cache-tokens":120000}}],
        "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
        "tenants":[{"name":"first","api-keys":["k1","k2"],"priority":1}]})"));
    REQUIRE(state);
    CHECK(state->version == 7);
    CHECK(state->routes[0].retry == retry_rule::idempotent);
    CHECK(state->routes[0].event_gap_target == 250ms);
    CHECK(state->routes[1].retry == retry_rule::at_most_once);
    CHECK(state->routes[1].split.size() == 2);
    CHECK(state->routes[2].retry == retry_rule::at_most_once);
    CHECK(state->routes[3].retry == retry_rule::at_most_once);
    const auto& engine = *state->services.at(service_name("llm")).engine;
    CHECK(engine.prefill_tokens_per_ms == Approx(177));
    CHECK(engine.mean_prompt_tokens == Approx(11'121));
    CHECK(engine.mean_answer_tokens == Approx(1'622));
    CHECK(engine.prefix_cache_tokens == 120'000);
    CHECK(state->limits.max_header_bytes == 1'000);
    CHECK(state->accounts.front().api_keys.size() == 2);
}

TEST_CASE("an engine caches no prefixes unless its figures state for how many tokens") {
    const auto decode = [](const std::string& more) {
        return platform::decode_desired_state(config_row(
            R"({"version":1,"routes":[],"services":[{"name":"llm","engine":{"slots":16,"kv-capacity":315000,"step_ms":1,"read_per_s":1000)" +
            more + "}}]}"));
    };
    const auto plain = decode("");
    REQUIRE(plain);
    CHECK(plain->services.at(service_name("llm")).engine->prefix_cache_tokens == 0);
    CHECK(decode(R"(,"prefix-cache-tokens":0)"));
    CHECK_FALSE(decode(R"(,"prefix-cache-tokens":-1)"));
    CHECK_FALSE(decode(R"(,"prefix-cache-tokens":"many")"));
}

TEST_CASE("the parts of a prompt are read with their tokens, and not at all if one can't be read") {
    const auto parts_of = [](const std::string& value) {
        return platform::decode_request({"POST", "/a", {{"Verbenahold-Prompt-Prefix", value}}, ""}).prompt_parts;
    };
    const auto parts = parts_of("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    REQUIRE(parts.size() == 3);
    CHECK(parts[0].id == "5c1e07a2");
    CHECK(parts[0].tokens == 800);
    CHECK(parts[1].id == "91bd3f06");
    CHECK(parts[2].tokens == 250);
    for (const char* value : {"", "a", "a:", "a:x", "a:0", "a:-5", "a:1,b", "a:1,,b:2", "a:99999999999999999999"}) {
        CAPTURE(value);
        CHECK(parts_of(value).empty());
    }
}

TEST_CASE("keys are required also where the desired state names no account any more") {
    const auto decode = [](const std::string& more) {
        return platform::decode_desired_state(config_row(R"({"version":1,"routes":[],"services":[])" + more + "}"));
    };
    CHECK(decode(R"(,"tenants":[{"name":"first","api-keys":["k1"]}])")->requires_keys);
    CHECK(decode(R"(,"tenants":[])")->requires_keys);
    CHECK_FALSE(decode("")->requires_keys);
}

TEST_CASE("limits that are absent, empty or in part have defaults, and unreadable ones are a fault") {
    const auto decode = [](const std::string& limits) {
        return platform::decode_desired_state(config_row(R"({"version":1,"routes":[],"services":[])" + limits + "}"));
    };
    const caller_limits usual;
    for (const std::string text : {"", R"(,"limits":{})", R"(,"limits":{"idle-timeout-ms":9000})"}) {
        CAPTURE(text);
        REQUIRE(decode(text));
        CHECK(decode(text)->limits.max_body_bytes == usual.max_body_bytes);
        CHECK(decode(text)->limits.max_header_bytes == usual.max_header_bytes);
    }
    CHECK(decode(R"(,"limits":{"max-body-bytes":0})")->limits.max_body_bytes == 0);
    for (const std::string value : {R"("4 MB")", "-1", "null", "[]", "1e300", "0.5"}) {
        CAPTURE(value);
        CHECK_FALSE(decode(R"(,"limits":{"max-body-bytes":)" + value + "}"));
        CHECK_FALSE(decode(R"(,"limits":{"max-header-bytes":)" + value + "}"));
    }
    CHECK_FALSE(decode(R"(,"limits":null)"));
}

TEST_CASE("lists of a desired state that are unreadable are a fault, and empty ones are not") {
    const auto decode = [](const std::string& text) {
        return platform::decode_desired_state(config_row(R"({"version":1,)" + text + "}"));
    };
    CHECK(decode(R"("routes":[],"services":[],"tenants":[])"));
    for (const std::string text :
         {R"("services":[])", R"("routes":[])", R"("routes":null,"services":[])", R"("routes":[],"services":{})",
          R"("routes":[],"services":[],"tenants":null)", R"("routes":[],"services":[],"tenants":{})",
          R"("routes":[],"services":[],"tenants":[{"name":"first"}])",
          R"("routes":[],"services":[],"tenants":[{"name":"first","api-keys":null}])",
          R"("routes":[],"services":[],"tenants":[{"name":"first","api-keys":[7]}])",
          R"("routes":[7],"services":[])"}) {
        CAPTURE(text);
        CHECK_FALSE(decode(text));
    }
}

TEST_CASE("a desired state with any malformed field is rejected as a whole") {
    CHECK_FALSE(platform::decode_desired_state(config_row("no JSON")));
    CHECK_FALSE(platform::decode_desired_state(config_row(R"({"version":7,"routes":[{"name":1}],"services":[]})")));
    CHECK_FALSE(platform::decode_desired_state({"other", "{}", 1, false}));
    CHECK(platform::decode_evacuation("evacuate/zone-a")->zone.value == "zone-a");
    CHECK_FALSE(platform::decode_evacuation("config"));
}

TEST_CASE("a malformed server entry is rejected") {
    const auto decode = [](const char* text) { return platform::decode_server_entry({"i-1", text, 1, false}); };
    const auto good = decode(R"({"service":"llm","address":"10.0.0.1:80","zone":"a","slots":8,"state":"draining"})");
    REQUIRE(good);
    CHECK(good->phase == server_phase::draining);
    CHECK_FALSE(decode(R"({"service":"llm","address":"10.0.0.1:80","zone":"a","slots":8,"state":"asleep"})"));
    CHECK_FALSE(decode(R"({"service":5,"address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready"})"));
    CHECK_FALSE(decode(R"({"service":"llm","address":"nowhere","zone":"a","slots":8,"state":"ready"})"));
    CHECK_FALSE(decode(R"({"service":"llm","zone":"a","slots":8,"state":"ready"})"));
    CHECK_FALSE(decode("\x01\x02"));
}

TEST_CASE("a load report with a missing or malformed field is rejected as a whole") {
    const auto read = [](int status, const char* body) {
        return platform::decode_load_report(server_name("i-1"), {{status, "", {}}, body});
    };
    const auto report = read(200, R"({"stage":"unified","queued":1,"running":12,"kv-used":41000,"pace":1.5})");
    REQUIRE(report);
    CHECK(report->requests == 13);
    CHECK(report->held_tokens == 41'000);
    CHECK(report->slowdown == 1.5);
    CHECK(read(200, R"({"queued":1,"running":12,"kv-used":41000})")->slowdown == 1);
    CHECK(read(200, R"({"queued":1,"running":12,"kv-used":41000})")->started_at_unix_ms == 0);
    CHECK(read(200, R"({"queued":1,"running":12,"kv-used":41000,"born":77})")->started_at_unix_ms == 77);
    CHECK_FALSE(read(200, R"({"queued":1,"running":12,"kv-used":41000,"born":"77"})"));
    CHECK_FALSE(read(200, R"({"queued":1,"kv-used":41000})"));
    CHECK_FALSE(read(200, R"({"queued":"1","running":12,"kv-used":41000})"));
    CHECK_FALSE(read(503, R"({"queued":1,"running":12,"kv-used":41000})"));
    CHECK_FALSE(read(200, "<html>"));
}

TEST_CASE("a reservation counts as used only if the server's report says so") {
    const auto state_of = [](const std::string& tickets) {
        return platform::decode_reservation_state("1-7-0", {{200, "", {}}, R"({"queued":1)" + tickets + "}"});
    };
    const auto ticket = [](const std::string& id, const std::string& state) {
        return R"(,"tickets":[{"id":"1-7","tokens":5,"state":"used","age-ms":1},{"id":")" + id +
               R"(","tokens":5,"state":")" + state + R"(","age-ms":1}])";
    };
    CHECK(state_of(ticket("1-7-0", "used")) == reservation_state::used);
    CHECK(state_of(ticket("1-7-0", "held")) == reservation_state::unused);
    CHECK(state_of(ticket("1-7-0", "waiting")) == reservation_state::unused);
    CHECK(state_of(ticket("1-7-1", "used")) == reservation_state::absent);
    CHECK(state_of(R"(,"tickets":[])") == reservation_state::absent);
    CHECK_FALSE(state_of(""));
    CHECK_FALSE(state_of(R"(,"tickets":5)"));
    CHECK_FALSE(state_of(ticket("1-7-0", "asleep")));
    CHECK_FALSE(state_of(R"(,"tickets":[{"id":"1-7-0"}])"));
    CHECK_FALSE(state_of(R"(,"tickets":[{"id":7,"state":"used"}])"));
    CHECK_FALSE(state_of(R"(,"tickets":["1-7-0"])"));
    CHECK_FALSE(platform::decode_reservation_state("1-7-0", {{503, "", {}}, R"({"tickets":[]})"}));
    CHECK_FALSE(platform::decode_reservation_state("1-7-0", {{200, "", {}}, "<html>"}));
}

TEST_CASE("the store's answers are distinguished: rows, expired history, refusals and malformed bodies") {
    const auto answer = [](int status, const char* body) { return platform::decode_page({{status, "", {}}, body}); };
    const auto page = answer(200, R"({"rows":[{"table":"op","part":"","key":"config","value":"bm9kZS0x","ver":4},
        {"table":"op","part":"","key":"old","ver":5,"deleted":true}],"has-more":true,"ver":9,"server-time-ms":1})");
    REQUIRE(std::holds_alternative<store_page>(page));
    const auto& rows = std::get<store_page>(page).rows;
    CHECK(std::get<store_page>(page).position.version == 9);
    CHECK(rows[0].value == "node-1");
    CHECK(rows[1].removed);
    CHECK(std::get<store_fault>(answer(410, "")) == store_fault::history_gone);
    CHECK(std::get<store_fault>(answer(429, "")) == store_fault::unavailable);
    CHECK(std::get<store_fault>(answer(200, "<html>")) == store_fault::malformed);
    CHECK(std::get<store_fault>(answer(200, R"({"rows":[{}],"ver":1})")) == store_fault::malformed);
    CHECK(std::get<store_page>(answer(200, R"({"rows":[],"ver":1})")).rows.empty());
    CHECK(std::get<store_fault>(answer(200, R"({"rows":[],"has-more":true,"ver":1})")) == store_fault::malformed);
    CHECK(std::get<store_fault>(answer(200, R"({"rows":null,"ver":1})")) == store_fault::malformed);
    CHECK(std::get<store_fault>(answer(200, R"({"rows":[],"ver":1e300})")) == store_fault::malformed);
}

TEST_CASE("a missing or invalid setting is reported by its key") {
    const std::string good = R"({"node":"n","zone":"z","ip":"10.0.0.1","internal-ports":[7340,7355],
        "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2","directory":"10.0.0.1:3"},
        "bounds":{"grace-s":8,"budget-ratio":0.2,"budget-slack":106,"budget-window-s":10,"cold-overage":1.5,
                  "cold-slack":5},"provider":{"address":"10.0.0.9:1"},"a-new-key":true})";
    const auto read = platform::decode_settings(good);
    REQUIRE(std::holds_alternative<serving_settings>(read));
    CHECK(std::get<serving_settings>(read).peer_address == "10.0.0.1:7340");
    CHECK(std::get<serving_settings>(read).zones == 1);
    CHECK(std::get<serving_settings>(read).cores == 1);
    auto larger = good;
    larger.replace(larger.find("\"a-new-key\":true"), 16,
                   R"("zones":{"z":"r","y":"r","x":"r"},"limits":{"cpu-share":0.25,"cpu-cores":2})");
    const auto read_larger = platform::decode_settings(larger);
    REQUIRE(std::holds_alternative<serving_settings>(read_larger));
    CHECK(std::get<serving_settings>(read_larger).zones == 3);
    CHECK(std::get<serving_settings>(read_larger).cores == 0.5);
    const auto fault_of = [&](const std::string& from, const std::string& to) {
        auto text = good;
        text.replace(text.find(from), from.size(), to);
        const auto result = platform::decode_settings(text);
        REQUIRE(std::holds_alternative<platform::settings_fault>(result));
        return std::get<platform::settings_fault>(result).key;
    };
    CHECK(fault_of("\"a-new-key\":true", "\"limits\":{\"cpu-share\":\"much\"}") == "limits.cpu-share");
    CHECK(fault_of("\"zone\"", "\"zonk\"") == "zone");
    CHECK(fault_of("\"grace-s\":8", "\"grace-s\":\"8\"") == "bounds.grace-s");
    CHECK(fault_of("10.0.0.1:1\"", "nowhere\"") == "listen.address");
    CHECK(fault_of("[7340,7355]", "7340") == "internal-ports");
    CHECK(fault_of("\"provider\"", "\"store\"") == "provider");
    CHECK(fault_of("\"a-new-key\":true", "\"zones\":[]") == "zones");
    CHECK(std::get<serving_settings>(read).memory_bytes == 260'000'000);
    CHECK(fault_of("\"a-new-key\":true", "\"limits\":{\"memory-mb\":0}") == "limits.memory-mb");
}

TEST_CASE("the bound on unused memory is read, and a reload takes it over") {
    const std::string text = R"({"node":"n","zone":"z","ip":"10.0.0.1","internal-ports":[7340,7355],
        "listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2","directory":"10.0.0.1:3"},
        "bounds":{"grace-s":8,"budget-ratio":0.2,"budget-slack":106,"budget-window-s":10,"cold-overage":1.5,
                  "cold-slack":5,"idle-max-ms":6500},"provider":{"address":"10.0.0.9:1"}})";
    const auto read = platform::decode_settings(text);
    REQUIRE(std::holds_alternative<serving_settings>(read));
    serving_settings current;
    apply_reload(current, std::get<serving_settings>(read));
    CHECK(current.max_unused_reservation == 6'500ms);
}

// The settings file may change while the daemon runs, with or without a signal.
TEST_CASE("a reload changes limits, and addresses change only at a restart") {
    serving_settings current;
    current.front_address = "10.0.0.1:1";
    auto fresh = current;
    fresh.repeats = {0.1, 50, std::chrono::seconds(5)};
    fresh.cold = {1.2, 3};
    fresh.stop_grace = std::chrono::seconds(4);
    CHECK(apply_reload(current, fresh).empty());
    CHECK(current.repeats.allowance == 50);
    CHECK(current.cold.slack == 3);
    CHECK(current.stop_grace == std::chrono::seconds(4));
    fresh.front_address = "10.0.0.1:2";
    fresh.zone = zone_name("b");
    CHECK(apply_reload(current, fresh) == std::vector<std::string>{"zone", "front"});
    CHECK(current.front_address == "10.0.0.1:1");
}
