// Tests planned stops of a daemon. Guards against requests that are read, or forwarded,
// and whose connection ends without a complete answer.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;

// Routes as in serving_rig::put_desired_state, but with time limits of ten seconds.
void put_patient_state(serving_rig& rig) {
    rig.store.put("op", "config",
                  R"({"version":1,"routes":[
                      {"name":"unsafe","host":"h.example","prefix":"/unsafe/","kind":"unsafe","timeout-ms":10000,
                       "target-latency-ms":300,"service":"app","max-attempts":1},
                      {"name":"stream","host":"h.example","prefix":"/stream/","kind":"streaming","timeout-ms":10000,
                       "target-latency-ms":300,"service":"app","max-attempts":2,"target-gap-ms":250}],
                      "services":[{"name":"app"}],"tenants":[{"name":"first","api-keys":["key-1"]}]})");
}

std::string patient_request(const std::string& path, const std::string& id) {
    auto text = request_text("POST", path, id, "body");
    text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: 9000");
    return text;
}

int answers_in(const scripted_caller& caller, const std::string& status) {
    int count = 0;
    const auto start = "HTTP/1.1 " + status;
    for (auto at = caller.received().find(start); at != std::string::npos; at = caller.received().find(start, at + 1)) {
        ++count;
    }
    return count;
}

// A daemon whose server keeps each request open until the test answers it.
struct stopping_daemon {
    stopping_daemon() {
        rig.stop_grace = 2s;
        server = &rig.add_server("i-1", [this](const http_request& request, const session_pointer& session) {
            open.emplace_back(request, session);
            if (request.target.starts_with("/stream/")) {
                session->write(stream_head(request) + stream_chunk(1));
            }
        });
        put_patient_state(rig);
        rig.start_daemon("host-1");
        REQUIRE(rig.run_until_ready("host-1"));
    }

    // Stops the daemon and runs until it accepts no more connections.
    void stop_and_run_past_accept_time() {
        rig.stop_daemons();
        rig.run_for(1'200ms);
    }

    serving_rig rig;
    scripted_server* server = nullptr;
    std::vector<std::pair<http_request, session_pointer>> open;
};

}  // namespace

TEST_CASE("a connection whose stream began before a planned stop is closed when the stream ends") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& caller = rig.call("host-1", patient_request("/stream/x", "a-1"));
    REQUIRE(rig.run_until([&] { return caller.received().find("piece 1") != std::string::npos; }));
    daemon.stop_and_run_past_accept_time();
    daemon.open[0].second->write(stream_chunk(2) + stream_end);
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(caller.received().ends_with(stream_end));
    CHECK_FALSE(caller.was_reset());
    CHECK_FALSE(rig.has_exited("host-1"));
    CHECK(daemon.server->requests().size() == 1);
}

TEST_CASE("early in a planned stop the next request on a connection that was not announced to close is answered") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& caller = rig.call("host-1", patient_request("/stream/x", "a-1"));
    REQUIRE(rig.run_until([&] { return caller.received().find("piece 1") != std::string::npos; }));
    rig.stop_daemons();
    rig.run_for(100ms);
    daemon.open[0].second->write(stream_chunk(2) + stream_end);
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    caller.send(patient_request("/unsafe/x", "a-2"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 2 || caller.ended(); }));
    REQUIRE(daemon.open.size() == 2);
    daemon.open[1].second->write(proved_answer(daemon.open[1].first, "fine"));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(answers_in(caller, "200") == 2);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("requests that are open at the end of a planned stop are answered before the process exits") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& caller = rig.call("host-1", patient_request("/unsafe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    rig.stop_daemons();
    REQUIRE(rig.run_until([&] { return rig.has_exited("host-1"); }));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(answers_in(caller, "502") == 1);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
}

TEST_CASE("a pipelined request that was read before the answer of the first one is answered in a planned stop") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& caller =
        rig.call("host-1", patient_request("/unsafe/x", "a-1") + request_text("POST", "/unsafe/x", "a-2", "body"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    rig.stop_daemons();
    rig.run_for(200ms);
    daemon.open[0].second->write(proved_answer(daemon.open[0].first, "fine"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 2; }));
    daemon.open[1].second->write(proved_answer(daemon.open[1].first, "fine"));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(answers_in(caller, "200") == 2);
    CHECK_FALSE(caller.was_reset());
}

TEST_CASE("requests that are pipelined beyond what is buffered are all answered") {
    const bool stops = GENERATE(false, true);
    CAPTURE(stops);
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    std::string requests;
    for (const std::string id : {"a-1", "a-2", "a-3"}) {
        requests += request_text("POST", "/unsafe/x", id, std::string(60'000, 'x'));
    }
    auto& caller = rig.call("host-1", requests);
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    rig.run_for(100ms);
    if (stops) {
        rig.stop_daemons();
        rig.run_for(100ms);
    }
    for (std::size_t next = 0; next < 3; ++next) {
        if (!rig.run_until([&] { return daemon.open.size() > next || caller.ended(); }) || caller.ended()) {
            break;
        }
        daemon.open[next].second->write(proved_answer(daemon.open[next].first, "fine"));
    }
    REQUIRE(rig.run_until([&] { return answers_in(caller, "200") == 3 || caller.ended(); }));
    // A stop may close the connection before requests that were not read whole.
    CHECK(answers_in(caller, "200") >= (stops ? 2 : 3));
    CHECK(daemon.open.size() == static_cast<std::size_t>(answers_in(caller, "200")));
}

TEST_CASE("a request of which a part has arrived at the end of a planned stop is told that it has not run") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    const auto request = request_text("POST", "/unsafe/x", "a-1", "body");
    auto& caller = rig.call("host-1", request.substr(0, request.size() - 2));
    rig.run_for(100ms);
    rig.stop_daemons();
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(answers_in(caller, "503") == 1);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK(daemon.open.empty());
}

TEST_CASE("late in a planned stop a request that could be cut at the exit is refused and not forwarded") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& caller = rig.call("host-1", patient_request("/unsafe/x", "a-1") + patient_request("/unsafe/x", "a-2"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    daemon.stop_and_run_past_accept_time();
    daemon.open[0].second->write(proved_answer(daemon.open[0].first, "fine"));
    REQUIRE(rig.run_until([&] { return caller.ended(); }));
    CHECK(answers_in(caller, "200") == 1);
    CHECK(answers_in(caller, "503") == 1);
    CHECK(daemon.server->requests().size() == 1);
}

TEST_CASE("a daemon without open requests exits when it accepts no more connections") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& idle = rig.call("host-1", patient_request("/unsafe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    daemon.open[0].second->write(proved_answer(daemon.open[0].first, "fine"));
    REQUIRE(rig.run_until([&] { return answers_in(idle, "200") == 1; }));
    const auto began = std::chrono::steady_clock::now();
    rig.stop_daemons();
    REQUIRE(rig.run_until([&] { return rig.has_exited("host-1"); }));
    CHECK(std::chrono::steady_clock::now() - began < 1'500ms);
    CHECK(rig.run_until([&] { return idle.ended(); }));
}

TEST_CASE("a new desired state, a server that leaves and a reload end no request that runs") {
    stopping_daemon daemon;
    auto& rig = daemon.rig;
    auto& plain = rig.call("host-1", patient_request("/unsafe/x", "a-1"));
    REQUIRE(rig.run_until([&] { return daemon.open.size() == 1; }));
    auto& stream = rig.call("host-1", patient_request("/stream/x", "a-2"));
    REQUIRE(rig.run_until([&] { return stream.received().find("piece 1") != std::string::npos; }));
    // Version 2 has neither the routes nor the key of the two requests.
    rig.store.put("op", "config",
                  R"({"version":2,"routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe",
                      "timeout-ms":500,"service":"app"}],"services":[{"name":"app"}],
                      "tenants":[{"name":"first","api-keys":["key-2"]}]})");
    rig.store.put("servers", "i-1",
                  R"({"service":"app","address":")" + daemon.server->address() +
                      R"(","zone":"zone-a","slots":4,"state":"draining"})");
    std::raise(SIGHUP);
    REQUIRE(rig.run_until([&] {
        auto& asking = rig.call("host-1", patient_request("/unsafe/x", "a-3"));
        rig.run_until([&] { return asking.received().find("\r\n\r\n") != std::string::npos; });
        return answers_in(asking, "404") == 1;
    }));
    rig.run_for(700ms);
    daemon.open[0].second->write(proved_answer(daemon.open[0].first, "fine"));
    daemon.open[1].second->write(stream_chunk(2) + stream_end);
    CHECK(rig.run_until([&] { return plain.received().ends_with("fine"); }));
    CHECK(rig.run_until([&] { return stream.received().ends_with(stream_end); }));
}
