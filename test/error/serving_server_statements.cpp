// Tests servers that state that they leave or want a pause. Guards against requests
// that reach them all the same, and against sound servers that are taken out.
#include "scripted_engines.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;
using clock_type = std::chrono::steady_clock;

// The platform's bounds: a leaving server gets no request that was sent this much later,
// and a pausing one at most two from half a second after its answer on.
constexpr auto drain_time = 2s;
constexpr auto pause_begins = 500ms;
constexpr int max_requests_in_pause = 2;

std::string with_field(std::string answer, const std::string& field) {
    return answer.insert(answer.find("\r\n") + 2, field + "\r\n");
}

void answer_well(const http_request& request, const session_pointer& session) {
    session->write(proved_answer(request, "fine"));
}

// A server under test, i-0, beside sound ones, behind several daemons.
class statement_rig : public serving_rig {
public:
    explicit statement_rig(std::vector<std::string> names, int sound_servers = 2) : hosts(std::move(names)) {
        server = &add_server("i-0", [this](const auto& request, const auto& session) {
            arrivals.push_back(clock_type::now());
            respond(request, session);
        });
        for (int index = 1; index <= sound_servers; ++index) {
            add_server("i-" + std::to_string(index), answer_well);
        }
        put_entry(1);
        put_desired_state();
        for (const auto& host : hosts) {
            start_daemon(host);
        }
        for (const auto& host : hosts) {
            all_ready = all_ready && run_until_ready(host);
        }
        run_for(700ms);
    }

    // Writes the entry of the server under test, with its start time.
    void put_entry(int born, const std::string& state = "ready") {
        store.put("servers", "i-0",
                  R"({"service":"app","address":")" + server->address() + R"(","zone":"zone-a","slots":4,"state":")" +
                      state + R"(","born":)" + std::to_string(born) + "}");
    }

    // Sends requests by turns to the hosts, one each 20 ms. Returns how many were
    // answered with success.
    int load(const std::vector<std::string>& to, duration length) {
        std::vector<scripted_caller*> callers;
        for (const auto end = clock_type::now() + length; clock_type::now() < end; run_for(20ms)) {
            const auto id = "a-" + std::to_string(++m_asked);
            callers.push_back(&call(to[callers.size() % to.size()], request_text("GET", "/safe/x", id)));
        }
        run_for(100ms);
        return static_cast<int>(std::count_if(callers.begin(), callers.end(), [](const scripted_caller* caller) {
            return caller->received().starts_with("HTTP/1.1 200");
        }));
    }

    // Requests that the server got since a moment.
    [[nodiscard]] auto arrived_since(clock_type::time_point start) const {
        return std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& at) { return at >= start; });
    }

    std::vector<std::string> hosts;
    scripted_server* server = nullptr;
    scripted_server::handler respond = answer_well;
    std::vector<clock_type::time_point> arrivals;
    bool all_ready = true;

private:
    int m_asked = 0;
};

void answer_leaving(const http_request& request, const session_pointer& session) {
    session->write(with_field(proved_answer(request, "fine"), "Server-Leaving: 1"));
}

}  // namespace

TEST_CASE("a server that says that it leaves gets no further request from any daemon") {
    const int host_count = GENERATE(3, 9);
    std::vector<std::string> names;
    for (int index = 1; index <= host_count; ++index) {
        names.push_back("host-" + std::to_string(index));
    }
    statement_rig rig(names);
    REQUIRE(rig.all_ready);
    rig.respond = answer_leaving;
    rig.load(rig.hosts, 300ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    const auto told = clock_type::now();
    CHECK(rig.load(rig.hosts, 1s) > 30);
    CHECK(rig.arrived_since(told) == 0);
    // A daemon that starts later learns of it from the others.
    rig.start_daemon("host-late");
    REQUIRE(rig.run_until_ready("host-late"));
    rig.run_for(2 * heartbeat_period);
    CHECK(rig.load({"host-late"}, drain_time) > 60);
    CHECK(rig.arrived_since(told) == 0);
}

TEST_CASE("a server that left is used again once it has started again, and its entry alone is no start") {
    statement_rig rig({"host-1"});
    REQUIRE(rig.all_ready);
    rig.respond = answer_leaving;
    rig.load(rig.hosts, 300ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    rig.respond = answer_well;
    auto told = clock_type::now();
    rig.put_entry(1, "draining");
    rig.load(rig.hosts, 200ms);
    rig.put_entry(1);
    rig.load(rig.hosts, 300ms);
    CHECK(rig.arrived_since(told) == 0);
    rig.put_entry(2);
    rig.load(rig.hosts, 500ms);
    CHECK(rig.arrived_since(told) > 0);
}

TEST_CASE("the address of a server that left is used for the next server there") {
    statement_rig rig({"host-1"});
    REQUIRE(rig.all_ready);
    rig.respond = answer_leaving;
    rig.load(rig.hosts, 300ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    rig.respond = answer_well;
    const auto told = clock_type::now();
    rig.put_entry(1, "draining");
    rig.store.put("servers", "i-9",
                  R"({"service":"app","address":")" + rig.server->address() +
                      R"(","zone":"zone-a","slots":4,"state":"ready","born":5})");
    rig.load(rig.hosts, 500ms);
    CHECK(rig.arrived_since(told) > 0);
}

TEST_CASE("an answer that is not the server's own does not take the server out") {
    statement_rig rig({"host-1"});
    REQUIRE(rig.all_ready);
    std::string foreign;
    SECTION("another server has the address") {
        foreign = "HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n";
    }
    SECTION("the answer names neither the request nor its origin") {
        foreign = "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nRetry-After: 5\r\nContent-Length: 2\r\n\r\nok";
    }
    rig.respond = [&](const auto&, const auto& session) { session->write(foreign); };
    rig.load(rig.hosts, 300ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    rig.respond = answer_well;
    rig.run_for(max_ejection_time);
    const auto start = clock_type::now();
    rig.load(rig.hosts, 500ms);
    CHECK(rig.arrived_since(start) > 0);
}

TEST_CASE("a server that asks for a pause gets at most two requests from a daemon in it, and is used afterwards") {
    statement_rig rig({"host-1"});
    REQUIRE(rig.all_ready);
    rig.respond = [](const auto&, const auto& session) { session->write(with_field(rejection(), "Retry-After: 2.5")); };
    REQUIRE(rig.run_until([&] {
        rig.load(rig.hosts, 40ms);
        return !rig.arrivals.empty();
    }));
    const auto paused = rig.arrivals.front();
    CHECK(rig.load(rig.hosts, 2s) > 60);
    CHECK(rig.arrived_since(paused + pause_begins) <= max_requests_in_pause);
    rig.respond = answer_well;
    rig.run_for(std::chrono::duration_cast<duration>(paused + 2500ms - clock_type::now()));
    rig.load(rig.hosts, 1s);
    CHECK(rig.arrived_since(paused + 2500ms) > 3);
}

TEST_CASE("a request waits out no pause of the only server, and is refused until its end") {
    statement_rig rig({"host-1"}, 0);
    REQUIRE(rig.all_ready);
    rig.respond = [](const auto&, const auto& session) { session->write(with_field(rejection(), "Retry-After: 3")); };
    auto& first = rig.call("host-1", request_text("POST", "/unsafe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return !first.received().empty(); }));
    const auto paused = clock_type::now();
    auto& second = rig.call("host-1", request_text("POST", "/unsafe/x", "a-2"));
    REQUIRE(rig.run_until([&] { return second.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(second.received().starts_with("HTTP/1.1 503"));
    const auto field = second.received().find("Retry-After: ");
    REQUIRE(field != std::string::npos);
    const auto left = 3.0 - std::chrono::duration<double>(clock_type::now() - paused).count();
    CHECK(std::stod(second.received().substr(field + 13)) >= left - 0.1);
    CHECK(rig.arrivals.size() == 1);
}

TEST_CASE("a pause of one daemon does not bind the others") {
    statement_rig rig({"host-1", "host-2"});
    REQUIRE(rig.all_ready);
    bool turned_away = false;
    rig.respond = [&](const auto& request, const auto& session) {
        if (std::exchange(turned_away, true)) {
            session->write(proved_answer(request, "fine"));
        } else {
            session->write(with_field(rejection(), "Retry-After: 20"));
        }
    };
    REQUIRE(rig.run_until([&] {
        rig.load({"host-1"}, 40ms);
        return turned_away;
    }));
    const auto paused = clock_type::now();
    rig.load({"host-1"}, 700ms);
    CHECK(rig.arrived_since(paused) == 0);
    rig.load({"host-2"}, 700ms);
    CHECK(rig.arrived_since(paused) > 0);
}

TEST_CASE("a report that a server leaves counts if it names the run, and is told to the other daemons") {
    serving_rig rig;
    scripted_engines engines(rig, 2);
    engines.report_fields = "Server-Leaving: 1\r\n";
    bool names_run = true;
    SECTION("it names the run") {}
    SECTION("it names another run") {
        names_run = false;
        engines.reported_born = scripted_engines::born + 1;
    }
    rig.start_daemon("host-1");
    rig.start_daemon("host-2");
    REQUIRE(rig.run_until_ready("host-1"));
    REQUIRE(rig.run_until_ready("host-2"));
    const auto count_leaving = [&](const std::string& host) {
        auto& asking = rig.call_address(rig.settings(host).metrics_address, "GET /m HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string label = "\nverbenahold_leaving_servers ";
        rig.run_until([&] { return asking.received().find(label) != std::string::npos; });
        return std::stoi(asking.received().substr(asking.received().find(label) + label.size()));
    };
    rig.run_for(heartbeat_period + 3 * report_period);
    for (const char* host : {"host-1", "host-2"}) {
        CHECK(count_leaving(host) == (names_run ? 2 : 0));
    }
}
