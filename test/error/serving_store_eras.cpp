// Tests daemons whose store comes back from an older copy, after which it gives out
// versions again. Guards against rows of the era before that outlive those of the new one.
#include "serving_rig.hpp"

#include "table_follower.hpp"

#include <catch2/catch.hpp>

#include <QByteArray>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

// Follows one table of a scripted store.
struct follower_rig {
    follower_rig() {
        // Versions that the copy lacks, and that the store gives out again later.
        store.put("servers", "a", "first");
        store.take_copy();
    }
    ~follower_rig() { calls.abandon_all(); }
    follower_rig(const follower_rig&) = delete;
    follower_rig& operator=(const follower_rig&) = delete;
    follower_rig(follower_rig&&) = delete;
    follower_rig& operator=(follower_rig&&) = delete;

    bool run_until(const std::function<bool()>& condition) {
        const auto deadline = std::chrono::steady_clock::now() + 3s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            loop.run_one_for(5ms);
        }
        return condition();
    }
    void run_for(duration time) {
        run_until([end = std::chrono::steady_clock::now() + time] { return std::chrono::steady_clock::now() >= end; });
    }

    boost::asio::io_context loop;
    metrics counters;
    handler_guard guard{counters};
    loop_timers timers{loop, guard};
    scripted_store store{loop};
    const std::string address = store.address();
    const platform::platform_protocol protocol;
    http_client calls{loop, timers};
    std::map<std::string, std::string> seen;
    table_follower table{
        store_table::server_rows, address, protocol, calls, timers, [this](const auto& rows, const auto&) {
            seen.clear();
            for (const auto& [key, row] : rows) {
                seen[key] = row.value;
            }
        }};
};

std::string answer_of(serving_rig& rig, const std::string& daemon, const std::string& id) {
    auto& caller = rig.call(daemon, request_text("GET", "/safe/x", id));
    rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    return caller.received();
}

void answer_fine(const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
    session->write(proved_answer(request, "fine"));
}

std::string server_text(const scripted_server& server, const std::string& state) {
    return R"({"service":"app","address":")" + server.address() + R"(","zone":"zone-a","slots":4,"state":")" + state +
           R"(","born":1700000000000})";
}

const std::string emptied_state = R"({"version":9,"routes":[],"services":[],"tenants":[]})";

}  // namespace

TEST_CASE("rows of a store that came back from an older copy replace those of the era before") {
    follower_rig rig;
    rig.table.start(0ms);
    REQUIRE(rig.run_until([&] { return rig.seen.contains("a"); }));
    rig.store.skip_versions(40);
    rig.store.put("servers", "b", "lost");
    REQUIRE(rig.run_until([&] { return rig.seen.contains("b"); }));
    rig.store.restore_copy();
    rig.store.put("servers", "a", "second");
    CHECK(rig.run_until([&] { return rig.seen["a"] == "second" && !rig.seen.contains("b"); }));
    rig.store.put("servers", "c", "third");
    CHECK(rig.run_until([&] { return rig.seen["c"] == "third"; }));
}

TEST_CASE("a table is loaded anew when the store's versions have overtaken those before its return") {
    follower_rig rig;
    rig.table.start(0ms);
    REQUIRE(rig.run_until([&] { return rig.seen.contains("a"); }));
    rig.store.put("servers", "a", "lost");
    REQUIRE(rig.run_until([&] { return rig.seen["a"] == "lost"; }));
    // The daemon doesn't reach the store until that has given out the version that it knows again.
    rig.store.set_serving(false);
    rig.run_for(50ms);
    rig.store.restore_copy();
    rig.store.put("servers", "a", "second");
    rig.store.skip_versions(40);
    rig.store.put("servers", "b", "later");
    rig.store.set_serving(true);
    CHECK(rig.run_until([&] { return rig.seen["a"] == "second" && rig.seen["b"] == "later"; }));
}

TEST_CASE("a store that has returned with lower versions is not asked without a pause") {
    follower_rig rig;
    rig.table.start(0ms);
    REQUIRE(rig.run_until([&] { return rig.seen.contains("a"); }));
    rig.store.skip_versions(1'000);
    rig.store.put("servers", "a", "lost");
    REQUIRE(rig.run_until([&] { return rig.seen["a"] == "lost"; }));
    rig.store.restore_copy();
    const auto before = rig.store.calls();
    rig.run_for(1s);
    CHECK(rig.store.calls() - before <= 4);
}

TEST_CASE("answers that state no era belong to the known one") {
    follower_rig rig;
    rig.table.start(0ms);
    REQUIRE(rig.run_until([&] { return rig.seen.contains("a"); }));
    rig.store.set_states_era(false);
    rig.store.put("servers", "a", "second");
    CHECK(rig.run_until([&] { return rig.seen["a"] == "second"; }));
    CHECK_FALSE(rig.table.last_trouble());
}

TEST_CASE("rows of an earlier era are not taken from another daemon, however high their versions") {
    // Host 1 is cut off from the store when that comes back, and host 2 starts after that.
    serving_rig rig;
    rig.add_server("i-1", answer_fine);
    rig.put_desired_state(5);
    rig.store.take_copy();
    scripted_store earlier(rig.loop);
    earlier.put("servers", "i-1", rig.store.value_of("servers", "i-1"));
    earlier.put("op", "config", rig.store.value_of("op", "config"));
    earlier.put("op", "evacuate/zone-a", "{}");
    earlier.skip_versions(1'000);
    earlier.put("servers", "i-9", "unreadable");
    earlier.put("op", "other", "unreadable");
    rig.store.restore_copy();
    rig.start_daemon("host-2");
    REQUIRE(rig.run_until_ready("host-2"));
    rig.start_daemon("host-1", earlier.address());
    REQUIRE(rig.run_until_ready("host-1"));
    earlier.set_serving(false);
    REQUIRE(rig.run_until(
        [&] { return rig.ask_directory("host-2").find(rig.settings("host-1").front_address) != std::string::npos; }));
    rig.store.put("op", "config", emptied_state);
    rig.run_for(2 * heartbeat_period);
    CHECK(answer_of(rig, "host-2", "a-1").starts_with("HTTP/1.1 404"));
    // Host 1 learns the rows of the new era from host 2.
    CHECK(rig.run_until([&] { return answer_of(rig, "host-1", "a-2").starts_with("HTTP/1.1 404"); }));
}

TEST_CASE("a daemon writes its own row again when the store came back without it") {
    serving_rig rig;
    rig.add_server("i-1", answer_fine);
    rig.put_desired_state();
    rig.store.take_copy();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    rig.run_for(300ms);
    REQUIRE_FALSE(rig.store.value_of("daemons", "host-1").empty());
    rig.store.restore_copy();
    CHECK(rig.run_until([&] { return !rig.store.value_of("daemons", "host-1").empty(); }));
}

TEST_CASE("what the copy lacks is kept until it can have been written again") {
    serving_rig rig;
    auto& leaving = rig.add_server("i-1", answer_fine);
    auto& staying = rig.add_server("i-2", answer_fine);
    rig.store.put("servers", "i-1", server_text(leaving, "ready"));
    rig.put_desired_state();
    rig.store.take_copy();
    SECTION("a server that drains gets no requests, though the copy has it as ready") {
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
        rig.store.put("servers", "i-1", server_text(leaving, "draining"));
        rig.run_for(200ms);
        rig.store.restore_copy();
        rig.run_for(500ms);
        const auto before = leaving.requests().size();
        for (int turn = 0; turn < 12; ++turn) {
            CHECK(answer_of(rig, "host-1", "a-" + std::to_string(turn)).starts_with("HTTP/1.1 200"));
        }
        CHECK(leaving.requests().size() == before);
        CHECK_FALSE(staying.requests().empty());
    }
    SECTION("an evacuation holds") {
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
        rig.store.put("op", "evacuate/zone-a", "{}");
        rig.run_for(200ms);
        rig.store.restore_copy();
        rig.run_for(500ms);
        const auto before = leaving.requests().size() + staying.requests().size();
        CHECK_FALSE(answer_of(rig, "host-1", "a-1").starts_with("HTTP/1.1 200"));
        CHECK(leaving.requests().size() + staying.requests().size() == before);
        // It was taken back in the lost time, so that nobody writes it again.
        CHECK(rig.run_until([&] { return answer_of(rig, "host-1", "a-2").starts_with("HTTP/1.1 200"); }));
    }
    SECTION("a server whose entry is missing is used on") {
        rig.store.remove("servers", "i-2");
        rig.store.take_copy();
        rig.store.put("servers", "i-2", server_text(staying, "ready"));
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
        rig.store.put("servers", "i-1", server_text(leaving, "draining"));
        rig.run_for(200ms);
        rig.store.restore_copy();
        rig.run_for(300ms);
        CHECK(answer_of(rig, "host-1", "a-1").starts_with("HTTP/1.1 200"));
    }
}
