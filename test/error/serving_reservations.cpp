// Guards against memory that stays reserved at engines while no request uses it, or
// after its request has ended.
#include "scripted_engines.hpp"

#include <catch2/catch.hpp>

#include <csignal>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using order_handling = scripted_engines::order_handling;

// The platform's bound on memory that stays reserved after its last use.
constexpr duration max_after_use = 4s;
// A request waits at most half its latency target of three seconds for a place. Each
// reservation and its release are two orders.
constexpr int max_orders_of_refused_prompt = 40;
// Two servers are left for a prompt over the memory of one when a third has rejected it.
constexpr int engine_count = 3;

// Engines that queue a long prompt behind one daemon.
struct engine_rig : serving_rig {
    explicit engine_rig(duration max_unused) {
        max_unused_reservation = max_unused;
        start_daemon("host-1");
        ready = run_until_ready("host-1");
    }

    // Sends a long prompt and waits until it is in a server's queue.
    scripted_caller& queue_long_request(const std::string& path) {
        auto& caller = call("host-1", scripted_engines::long_request(path, "a-1"));
        queued = run_until([&] { return engines.count_queued() == 1; });
        return caller;
    }

    // Runs until no memory is reserved, or some was reserved for `most`.
    void run_until_released(duration most) {
        while (engines.count_held() > 0 && engines.longest_unused() < most) {
            run_until([&] { return engines.count_held() == 0 || engines.longest_unused() >= most; });
        }
    }

    [[nodiscard]] int gauge(const std::string& name) {
        auto& asking = call_address(settings("host-1").metrics_address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto label = "\nverbenahold_" + name + ' ';
        run_until([&] { return asking.received().find(label) != std::string::npos; });
        return std::stoi(asking.received().substr(asking.received().find(label) + label.size()));
    }

    scripted_engines engines{*this, engine_count};
    bool ready = false;
    bool queued = false;
};

}  // namespace

TEST_CASE("memory is released while its request waits in the first server's queue") {
    engine_rig rig(3s);
    REQUIRE(rig.ready);
    auto& caller = rig.queue_long_request("/long/x");
    REQUIRE(rig.queued);
    REQUIRE(rig.engines.count_held() > 0);
    rig.run_until_released(4s);
    CHECK(rig.engines.longest_unused() < 3s);
    // The first server rejects the request for its missing memory, and it runs elsewhere.
    rig.engines.starts_at_once = true;
    rig.engines.start_all();
    REQUIRE(rig.run_until([&] { return !rig.engines.runs.empty() || caller.received().size() > 12; }));
    rig.engines.send_first_events();
    rig.engines.finish_all();
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    CHECK(caller.received().starts_with("HTTP/1.1 200"));
    CHECK(rig.engines.runs.size() == 1);
    CHECK(rig.run_until([&] { return rig.engines.count_held() == 0; }));
}

TEST_CASE("memory of a request that reads its prompt for long is kept") {
    engine_rig rig(3s);
    REQUIRE(rig.ready);
    rig.engines.starts_at_once = true;
    auto& caller = rig.call("host-1", scripted_engines::long_request("/long/x", "a-1"));
    REQUIRE(rig.run_until([&] { return rig.engines.runs.size() == 1; }));
    const auto held = rig.engines.count_held();
    REQUIRE(held > 0);
    rig.run_for(6s);
    CHECK(rig.engines.count_held() == held);
    rig.engines.send_first_events();
    rig.engines.finish_all();
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    CHECK(rig.run_until([&] { return rig.engines.count_held() == 0; }));
    CHECK(rig.engines.count_made() == static_cast<std::size_t>(held));
}

TEST_CASE("memory lapses in time although no server tells of it") {
    engine_rig rig(4s);
    REQUIRE(rig.ready);
    rig.queue_long_request("/long/x");
    REQUIRE(rig.queued);
    rig.engines.reports = false;
    rig.engines.late_by = 10s;
    SECTION("releases are carried out") {}
    SECTION("no release is carried out in time") {
        rig.engines.on_order = [](const std::string&, const std::string& operation) {
            return operation == "release" ? order_handling::late : order_handling::at_once;
        };
    }
    rig.run_until_released(5s);
    CHECK(rig.engines.longest_unused() < 4s);
}

TEST_CASE("memory lapses in time when its daemon freezes or stops while the request is queued") {
    engine_rig rig(4s);
    REQUIRE(rig.ready);
    rig.queue_long_request("/long/x");
    REQUIRE(rig.queued);
    rig.run_for(1500ms);
    SECTION("it freezes") {
        rig.silence_daemon("host-1");
    }
    SECTION("it is asked to stop") {
        std::raise(SIGTERM);
    }
    rig.run_until_released(5s);
    CHECK(rig.engines.longest_unused() < 4s);
}

TEST_CASE("memory is gone soon after its request although renewals are carried out late") {
    engine_rig rig(9s);
    REQUIRE(rig.ready);
    rig.queue_long_request("/long/x");
    REQUIRE(rig.queued);
    rig.engines.start_all();
    rig.engines.send_first_events();
    rig.engines.late_by = 2s;
    rig.engines.on_order = [](const std::string&, const std::string& operation) {
        return operation == "reserve" ? order_handling::late : order_handling::at_once;
    };
    rig.run_for(1800ms);
    rig.engines.finish_all();
    rig.run_for(max_after_use);
    CHECK(rig.engines.count_held() == 0);
    CHECK(rig.engines.longest_after_use() < max_after_use);
}

TEST_CASE("a reservation that one server refuses is given up at the others") {
    engine_rig rig(9s);
    REQUIRE(rig.ready);
    rig.engines.on_order = [](const std::string& server, const std::string&) {
        return server == "i-0" || server == "i-1" ? order_handling::refused : order_handling::at_once;
    };
    auto& caller = rig.call("host-1", scripted_engines::long_request("/long/x", "a-1"));
    REQUIRE(rig.run_until([&] { return rig.engines.count_queued() == 1 || !caller.received().empty(); }));
    caller.leave();
    CHECK(rig.run_until([&] { return rig.engines.count_held() == 0; }));
    CHECK(rig.engines.longest_unused() < 3s);
}

TEST_CASE("a prompt that no server has memory for is refused without asking for it over and over") {
    engine_rig rig(9s);
    REQUIRE(rig.ready);
    rig.engines.on_order = [](const std::string&, const std::string& operation) {
        return operation == "reserve" ? order_handling::refused : order_handling::at_once;
    };
    auto& caller = rig.call("host-1", scripted_engines::long_request("/long/x", "a-1"));
    CHECK(rig.run_until([&] { return caller.received().find("Retry-After") != std::string::npos; }));
    CHECK(caller.received().starts_with("HTTP/1.1 503"));
    CHECK(rig.engines.orders <= max_orders_of_refused_prompt);
    CHECK(rig.engines.count_queued() == 0);
}

TEST_CASE("memory is released however its request ends") {
    engine_rig rig(9s);
    REQUIRE(rig.ready);
    SECTION("the caller leaves") {
        rig.queue_long_request("/long/x").leave();
    }
    SECTION("the first server ends the connection") {
        rig.queue_long_request("/long/x");
        rig.engines.reset_queued();
    }
    SECTION("the first server rejects it, and no other takes it") {
        rig.queue_long_request("/long/x");
        rig.engines.reject_queued();
        rig.run_until([&] { return rig.engines.count_queued() == 1; });
        rig.engines.reject_queued();
        rig.run_until([&] { return rig.engines.count_queued() == 1; });
        rig.engines.reject_queued();
    }
    SECTION("its answer ends") {
        rig.queue_long_request("/long/x");
        rig.engines.start_all();
        rig.engines.send_first_events();
        rig.engines.finish_all();
    }
    CHECK(rig.run_until([&] { return rig.engines.count_held() == 0; }));
    CHECK(rig.gauge("reservations_held") == 0);
    CHECK(rig.gauge("reservations_unused") == 0);
    CHECK(rig.gauge("open_requests") == 0);
}
