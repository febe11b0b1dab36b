// Tests requests that crash the servers which run them. Guards against such requests
// going on to crash servers when no two of them are alike, when they come at different
// daemons, and against blocking sound requests that share nearly everything with them.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

constexpr const char* deadly_part = "dead01";
// The platform's bound on harmful requests that reach servers once they should be known.
constexpr int max_harmful_requests = 3;
// A daemon's word of a crash has reached the others.
constexpr duration telling_time = 20ms;

bool has_answer(const scripted_caller& caller) {
    return caller.received().find("\r\n\r\n") != std::string::npos;
}

bool is_deadly(const http_request& request) {
    return field_value(request.fields, "Verbenahold-Prompt-Prefix").find(deadly_part) != std::string_view::npos;
}

// Servers that crash when they begin to answer a prompt with the deadly part, behind
// several daemons.
class crashing_rig : public serving_rig {
public:
    explicit crashing_rig(std::vector<std::string> hosts, std::size_t zone_count = 1) : m_hosts(std::move(hosts)) {
        zones = zone_count;
        for (int number = 0; number < server_count; ++number) {
            add_server("i-" + std::to_string(number), [this](const auto& request, const auto& session) {
                if (loses_all || is_deadly(request)) {
                    harmful_requests += is_deadly(request) ? 1 : 0;
                    // A server that crashes resets its connections or just ends them.
                    ends_by_reset ? session->reset() : session->close();
                    return;
                }
                session->write(stream_head(request));
                for (int id = 1; id <= 3; ++id) {
                    session->write(stream_chunk(id));
                }
                session->write(stream_end);
            });
        }
        put_desired_state();
        for (const auto& host : m_hosts) {
            start_daemon(host);
        }
        for (const auto& host : m_hosts) {
            m_all_ready = m_all_ready && run_until_ready(host);
        }
        run_for(settling_time);
    }

    // Sends a request of its own whose prompt has the given part among its shared ones.
    scripted_caller& ask(const std::string& host, const std::string& part) {
        const auto id = std::to_string(++m_asked);
        std::string parts = "c0de:40,";
        for (int number = 0; number < parts_before; ++number) {
            parts += "b" + std::to_string(number) + ":10,";
        }
        return call(host, request_text("POST", "/resumable/x", "a-" + id, "prompt " + id,
                                       "Verbenahold-Prompt-Prefix: " + parts + part + ":900,f" + id + ":100\r\n"));
    }
    bool is_served(const std::string& host, const std::string& part) {
        auto& caller = ask(host, part);
        run_until([&] { return has_answer(caller); });
        return caller.received().starts_with("HTTP/1.1 200");
    }
    // Ends all daemons at once and starts them again.
    bool restart_all() {
        for (const auto& host : m_hosts) {
            kill_daemon(host);
        }
        bool all = true;
        for (const auto& host : m_hosts) {
            start_daemon(host);
        }
        for (const auto& host : m_hosts) {
            all = run_until_ready(host) && all;
        }
        run_for(settling_time);
        return all;
    }
    // Sends harmful and sound requests by turns to the hosts until `crashes` servers
    // have ended, or harmful ones don't reach servers any more.
    void crash_servers(int crashes) { crash_servers(crashes, m_hosts); }
    void crash_servers(int crashes, const std::vector<std::string>& hosts) {
        for (std::size_t turn = 0; harmful_requests < crashes && turn < max_turns; ++turn) {
            is_served(hosts[turn % hosts.size()], deadly_part);
            run_for(time_between_requests);
            is_served(hosts[turn % hosts.size()], "50f7");
        }
    }

    [[nodiscard]] bool all_ready() const { return m_all_ready; }

    // Parts that all prompts have before the one that differs.
    int parts_before = 0;
    int harmful_requests = 0;
    // Servers end whatever they are asked.
    bool loses_all = false;
    bool ends_by_reset = true;

private:
    static constexpr int server_count = 12;
    static constexpr std::size_t max_turns = 12;
    static constexpr duration settling_time = 700ms;
    static constexpr duration time_between_requests = 150ms;

    std::vector<std::string> m_hosts;
    int m_asked = 0;
    bool m_all_ready = true;
};

const std::vector<std::string> three_hosts{"host-1", "host-2", "host-3"};

}  // namespace

TEST_CASE("different requests that share a part which crashes servers are kept from them at every daemon") {
    crashing_rig rig(three_hosts);
    rig.ends_by_reset = GENERATE(true, false);
    REQUIRE(rig.all_ready());
    rig.crash_servers(5);
    const int before = rig.harmful_requests;
    for (int turn = 0; turn < 12; ++turn) {
        const auto& host = three_hosts[static_cast<std::size_t>(turn) % three_hosts.size()];
        auto& caller = rig.ask(host, deadly_part);
        REQUIRE(rig.run_until([&] { return has_answer(caller); }));
        CAPTURE(caller.received());
        if (rig.harmful_requests == before) {
            // It has not run, so that the refusal may say so.
            CHECK(caller.received().starts_with("HTTP/1.1 503"));
            CHECK(caller.received().find("Retry-After: ") != std::string::npos);
        }
    }
    CHECK(rig.harmful_requests - before <= max_harmful_requests);
    for (const auto& host : three_hosts) {
        CHECK(rig.is_served(host, "50f7"));
        CHECK(rig.is_served(host, "50f8"));
    }
}

TEST_CASE("a daemon that starts after the crashes, or again, keeps harmful requests from servers") {
    const std::string started = GENERATE("host-2", "host-9");
    CAPTURE(started);
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.crash_servers(5);
    rig.start_daemon(started);
    REQUIRE(rig.run_until_ready(started));
    rig.run_for(2 * heartbeat_period);
    const int before = rig.harmful_requests;
    for (int turn = 0; turn < 6; ++turn) {
        CHECK_FALSE(rig.is_served(started, deadly_part));
    }
    CHECK(rig.harmful_requests - before <= max_harmful_requests);
    CHECK(rig.is_served(started, "50f7"));
}

TEST_CASE("hosts that stand by keep harmful requests from servers, and tell active hosts of crashes") {
    const std::vector<std::string> hosts{"host-1", "host-2", "host-3", "host-4", "host-5"};
    // Of five hosts of equal size those with the first names are active.
    const std::vector<std::string> active(hosts.begin(), hosts.begin() + 3);
    const std::vector<std::string> standby(hosts.begin() + 3, hosts.end());
    const bool learned_by_active = GENERATE(true, false);
    CAPTURE(learned_by_active);
    crashing_rig rig(hosts, min_active_hosts / min_active_hosts_per_zone);
    REQUIRE(rig.all_ready());
    rig.run_for(2s);
    REQUIRE(rig.ask_directory("host-1").find(rig.settings(standby.front()).front_address) == std::string::npos);
    rig.crash_servers(5, learned_by_active ? active : standby);
    // The heartbeats of three periods reach hosts that stand by.
    rig.run_for(4 * heartbeat_period);
    const int before = rig.harmful_requests;
    for (const auto& host : hosts) {
        CHECK_FALSE(rig.is_served(host, deadly_part));
        CHECK(rig.is_served(host, "50f7"));
    }
    CHECK(rig.harmful_requests - before <= max_harmful_requests);
}

TEST_CASE("sound requests are served on after all servers were lost at once, whatever they share") {
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.loses_all = true;
    std::vector<scripted_caller*> callers;
    for (int turn = 0; turn < 24; ++turn) {
        callers.push_back(&rig.ask(three_hosts[static_cast<std::size_t>(turn) % three_hosts.size()], "50f7"));
    }
    REQUIRE(rig.run_until(
        [&] { return std::all_of(callers.begin(), callers.end(), [](auto* c) { return has_answer(*c); }); }));
    rig.loses_all = false;
    // Servers that failed are left alone for a moment.
    rig.run_for(first_ejection_time);
    for (const auto& host : three_hosts) {
        CHECK(rig.is_served(host, "50f7"));
    }
}

TEST_CASE("a crashing part behind hundreds of others is kept from servers by all daemons, also by one that starts") {
    crashing_rig rig(three_hosts);
    rig.parts_before = GENERATE(150, 1'000);
    CAPTURE(rig.parts_before);
    REQUIRE(rig.all_ready());
    rig.crash_servers(5);
    rig.run_for(2 * heartbeat_period);
    const int before = rig.harmful_requests;
    for (int turn = 0; turn < 12; ++turn) {
        CHECK_FALSE(rig.is_served(three_hosts[static_cast<std::size_t>(turn) % three_hosts.size()], deadly_part));
    }
    CHECK(rig.harmful_requests - before <= max_harmful_requests);
    for (const auto& host : three_hosts) {
        CHECK(rig.is_served(host, "50f7"));
    }
    rig.start_daemon("host-9");
    REQUIRE(rig.run_until_ready("host-9"));
    rig.run_for(2 * heartbeat_period);
    const int before_start = rig.harmful_requests;
    CHECK_FALSE(rig.is_served("host-9", deadly_part));
    CHECK(rig.harmful_requests == before_start);
    CHECK(rig.is_served("host-9", "50f7"));
}

TEST_CASE("a daemon that starts learns of a block of more traits than a datagram has room for") {
    // No sound request tells the parts apart, so that all of them are blocked together.
    crashing_rig rig(three_hosts);
    rig.parts_before = 1'000;
    REQUIRE(rig.all_ready());
    for (int turn = 0; turn < 4; ++turn) {
        rig.is_served(three_hosts[static_cast<std::size_t>(turn) % three_hosts.size()], deadly_part);
        rig.run_for(150ms);
    }
    const int before = rig.harmful_requests;
    REQUIRE(before >= crashes_to_block);
    CHECK_FALSE(rig.is_served("host-1", deadly_part));
    CHECK(rig.harmful_requests == before);
    rig.start_daemon("host-9");
    REQUIRE(rig.run_until_ready("host-9"));
    // Its parts come with several heartbeats.
    rig.run_for(12 * heartbeat_period);
    CHECK_FALSE(rig.is_served("host-9", deadly_part));
    CHECK(rig.harmful_requests == before);
    CHECK(rig.is_served("host-9", "50f7"));
}

TEST_CASE("which requests crash servers outlives all daemons, and their restart refuses no sound request") {
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.crash_servers(5);
    REQUIRE(rig.run_until([&] { return rig.store.transactions("blocks") > 0; }));
    rig.run_for(1s);
    // The three daemons write a block once.
    CHECK(rig.store.transactions("blocks") <= 2);
    const int before = rig.harmful_requests;
    REQUIRE(rig.restart_all());
    for (int turn = 0; turn < 9; ++turn) {
        const auto& host = three_hosts[static_cast<std::size_t>(turn) % three_hosts.size()];
        CHECK_FALSE(rig.is_served(host, deadly_part));
        rig.run_for(telling_time);
        CHECK(rig.is_served(host, "50f7"));
    }
    // One crash confirms the block.
    CHECK(rig.harmful_requests - before <= 1);
    rig.run_for(1s);
    const int confirmed = rig.harmful_requests;
    REQUIRE(rig.restart_all());
    for (const auto& host : three_hosts) {
        CHECK_FALSE(rig.is_served(host, deadly_part));
        CHECK(rig.is_served(host, "50f7"));
    }
    CHECK(rig.harmful_requests == confirmed);
}

TEST_CASE("a block that was learned while the store was down is kept once it is back, with few calls") {
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.store.set_serving(false);
    rig.run_for(500ms);
    rig.crash_servers(5);
    CHECK_FALSE(rig.is_served("host-1", deadly_part));
    CHECK(rig.is_served("host-1", "50f7"));
    rig.run_for(2s);
    // Pauses of 0.5 s and 1 s at the daemon that is responsible.
    CHECK(rig.store.transactions("blocks") <= 4);
    rig.store.set_serving(true);
    const int failed = rig.store.transactions("blocks");
    CHECK(rig.run_until([&] { return rig.store.transactions("blocks") > failed; }));
    rig.run_for(200ms);
    const int before = rig.harmful_requests;
    REQUIRE(rig.restart_all());
    for (const auto& host : three_hosts) {
        CHECK_FALSE(rig.is_served(host, deadly_part));
        rig.run_for(telling_time);
        CHECK(rig.is_served(host, "50f7"));
    }
    CHECK(rig.harmful_requests - before <= 1);
}

TEST_CASE("blocks are written again when the store came back from a copy without them") {
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.store.take_copy();
    rig.crash_servers(5);
    REQUIRE(rig.run_until([&] { return rig.store.transactions("blocks") > 0; }));
    rig.run_for(600ms);
    rig.store.restore_copy();
    const int lost = rig.store.transactions("blocks");
    CHECK(rig.run_until([&] { return rig.store.transactions("blocks") > lost; }));
    rig.run_for(200ms);
    const int before = rig.harmful_requests;
    REQUIRE(rig.restart_all());
    CHECK_FALSE(rig.is_served("host-1", deadly_part));
    rig.run_for(telling_time);
    CHECK_FALSE(rig.is_served("host-2", deadly_part));
    CHECK(rig.harmful_requests - before <= 1);
}

TEST_CASE("daemons serve while the store doesn't answer about blocks, and after rows that can't be read") {
    crashing_rig rig(three_hosts);
    REQUIRE(rig.all_ready());
    rig.store.put("blocks", "0123456789abcdef", "not a block");
    SECTION("no answer") {
        rig.store.silence_table("blocks");
    }
    SECTION("rows that can't be read are removed") {}
    REQUIRE(rig.restart_all());
    for (const auto& host : three_hosts) {
        CHECK(rig.is_served(host, "50f7"));
    }
    rig.crash_servers(5);
    const int before = rig.harmful_requests;
    for (const auto& host : three_hosts) {
        CHECK_FALSE(rig.is_served(host, deadly_part));
        CHECK(rig.is_served(host, "50f8"));
    }
    CHECK(rig.harmful_requests - before <= max_harmful_requests);
}
