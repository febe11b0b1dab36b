// Tests requests that wait in a daemon because all batch slots of the servers are taken. Guards
// against requests that are sent into a server's own queue, that run after their caller was
// refused or has left, and that wait although a slot is free again.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

std::string short_request(const std::string& id) {
    return "POST /short/ HTTP/1.1\r\nHost: h.example\r\nVerbenahold-Attempt-Id: " + id +
           "\r\nVerbenahold-Deadline-Ms: 5000\r\nVerbenahold-Token-Usage: 100,100\r\nContent-Length: 0\r\n\r\n";
}

// A daemon before one engine with two batch slots, both of which are taken.
struct full_rig {
    // `first_daemon` has the requests that take them.
    explicit full_rig(const std::string& first_daemon = "host-1") {
        const auto& engine = rig.add_server("i-1", [this](const http_request& request, const session_pointer& session) {
            if (request.method == "POST") {
                running.emplace_back(request, session);
            } else {
                session->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        });
        rig.store.put(
            "servers", "i-1",
            R"({"service":"app","address":")" + engine.address() + R"(","zone":"zone-a","slots":2,"state":"ready"})");
        rig.store.put("op", "config",
                      R"({"version":1,"routes":[{"name":"short","prefix":"/short/","host":"h.example",)"
                      R"("kind":"streaming","timeout-ms":5000,"target-latency-ms":400,"target-gap-ms":250,)"
                      R"("max-attempts":2,"service":"app"}],"services":[{"name":"app","health-check":"/health",)"
                      R"("max-connections":10,"engine":{"slots":2,"kv-capacity":100000,"stride":10,"step_ms":1,)"
                      R"("read_per_s":10000,"usual":{"prompt":100,"answer":100}}}]})");
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
        if (first_daemon != "host-1") {
            rig.start_daemon(first_daemon);
            REQUIRE(rig.run_until_ready(first_daemon));
            // Until they have heard each other's heartbeats.
            rig.run_for(2 * heartbeat_period);
        }
        rig.call(first_daemon, short_request("first-1"));
        rig.call(first_daemon, short_request("first-2"));
        REQUIRE(rig.run_until([&] { return running.size() == 2; }));
    }

    // Ends the first request that runs.
    void finish_one() {
        const auto [request, session] = running.front();
        running.erase(running.begin());
        session->write(stream_head(request) + stream_chunk(1) + stream_end);
    }

    serving_rig rig;
    std::vector<std::pair<http_request, session_pointer>> running;
};

}  // namespace

TEST_CASE("a request waits in the daemon while all batch slots are taken, and runs when one is free") {
    full_rig full;
    const auto& caller = full.rig.call("host-1", short_request("waits"));
    full.rig.run_for(200ms);
    CHECK(full.running.size() == 2);
    CHECK(caller.received().empty());
    full.finish_one();
    REQUIRE(full.rig.run_until([&] { return full.running.size() == 2; }));
}

TEST_CASE("a request that gets no batch slot is refused with a Retry-After, and never runs") {
    full_rig full;
    const auto& caller = full.rig.call("host-1", short_request("refused"));
    REQUIRE(full.rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    CHECK(caller.received().find("Retry-After: ") != std::string::npos);
    full.finish_one();
    full.rig.run_for(300ms);
    CHECK(full.running.size() == 1);
}

// The requests of a daemon that is killed took batch slots in the view of the others until
// they expired, seconds later.
TEST_CASE("a daemon that is killed and starts again takes no batch slots with what it had in progress") {
    full_rig full("host-2");
    full.rig.run_for(50ms);
    const auto& refused = full.rig.call("host-1", short_request("too-many"));
    REQUIRE(full.rig.run_until([&] { return refused.received().starts_with("HTTP/1.1 503 "); }));
    full.running.clear();
    full.rig.start_daemon("host-2");
    REQUIRE(full.rig.run_until_ready("host-2"));
    full.rig.run_for(2 * heartbeat_period);
    full.rig.call("host-1", short_request("next"));
    CHECK(full.rig.run_until([&] { return full.running.size() == 1; }));
}

TEST_CASE("of two daemons with waiting requests one takes a free slot, and the other the next one") {
    full_rig full("host-2");
    for (int number = 0; number < 3; ++number) {
        full.rig.call("host-1", short_request("one-" + std::to_string(number)));
        full.rig.call("host-2", short_request("two-" + std::to_string(number)));
        full.rig.run_for(50ms);
        for (std::size_t waiting = 2; waiting > 0; --waiting) {
            full.finish_one();
            REQUIRE(full.rig.run_until([&] { return full.running.size() >= 2; }));
            full.rig.run_for(60ms);
            CHECK(full.running.size() == 2);
        }
    }
}

TEST_CASE("a waiting request whose caller has left is not run") {
    full_rig full;
    auto& caller = full.rig.call("host-1", short_request("leaves"));
    full.rig.run_for(100ms);
    caller.leave();
    full.rig.run_for(100ms);
    full.finish_one();
    full.rig.run_for(300ms);
    CHECK(full.running.size() == 1);
}

// The service of a waiting request was taken for one with an engine.
TEST_CASE("a waiting request whose route moves to a service without engines is refused there") {
    full_rig full;
    const auto& caller = full.rig.call("host-1", short_request("moved"));
    full.rig.run_for(100ms);
    full.rig.store.put("op", "config",
                       R"({"version":2,"routes":[{"name":"short","prefix":"/short/","host":"h.example",)"
                       R"("kind":"streaming","timeout-ms":5000,"target-latency-ms":400,"target-gap-ms":250,)"
                       R"("max-attempts":2,"service":"plain"}],"services":[{"name":"plain",)"
                       R"("health-check":"/health","max-connections":10}]})");
    REQUIRE(full.rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    const auto& next = full.rig.call("host-1", short_request("next"));
    CHECK(full.rig.run_until([&] { return next.received().starts_with("HTTP/1.1 503 "); }));
}
