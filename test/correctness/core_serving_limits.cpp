// Guards against cold servers that get more than they bear, a shared budget for
// repeats that is overdrawn, crashing requests that are handed on for ever and
// daemons that stay known after their death.
#include "daemon_view.hpp"
#include "repeat_budget.hpp"
#include "request_guard.hpp"
#include "send_pacer.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

time_point at(duration since_start) {
    return time_point(since_start);
}

service cold_service() {
    service made;
    made.name = service_name("llm");
    made.cold_requests_per_second = 26;
    return made;
}

}  // namespace

TEST_CASE("all daemons together send a cold server no more than its bound in any second") {
    constexpr int daemons = 9;
    const cold_bound bound{1.5, 5};
    const auto service = cold_service();
    std::vector<send_pacer> pacers(daemons, send_pacer(bound));
    std::vector<time_point> sent;
    for (duration now{}; now < 5s; now += 10ms) {
        for (auto& pacer : pacers) {
            if (pacer.may_send(server_name("one"), service, daemons, at(now))) {
                pacer.on_sent(server_name("one"), at(now));
                sent.push_back(at(now));
            }
        }
    }
    const auto allowed = static_cast<std::ptrdiff_t>(service.cold_requests_per_second * bound.overage + bound.slack);
    for (auto first = sent.begin(); first != sent.end(); ++first) {
        const auto last = std::lower_bound(first, sent.end(), *first + 1s);
        CHECK(last - first <= allowed);
    }
    CHECK(sent.size() > 100);
}

TEST_CASE("a service whose servers don't get cold is not paced") {
    send_pacer pacer({1, 0});
    service warm;
    for (int count = 0; count < 1'000; ++count) {
        CHECK(pacer.may_send(server_name("one"), warm, 9, at(0s)));
        pacer.on_sent(server_name("one"), at(0s));
    }
}

TEST_CASE("the daemons' repeats stay within the shared budget, whoever gets the requests") {
    constexpr int daemons = 9;
    const repeat_limits limits{0.2, 106, 10s};
    std::vector<repeat_budget> budgets(daemons, repeat_budget(limits));
    const service_name service("llm");
    int requests = 0;
    int repeats = 0;
    // One daemon gets all requests; every daemon repeats whenever it may.
    for (duration now{}; now < 10s; now += 20ms) {
        budgets.front().on_request(service, at(now));
        ++requests;
        for (auto& budget : budgets) {
            repeats += budget.take(service, daemons, at(now)) ? 1 : 0;
        }
    }
    CHECK(repeats <= limits.ratio * requests + limits.allowance);
    CHECK(repeats > 0);
}

TEST_CASE("a request is held after its deaths, for any daemon that hears of them, until it completes") {
    const auto print = request_fingerprint("account", "/path", "body");
    CHECK(print != request_fingerprint("account", "/path", "other"));
    CHECK(print != request_fingerprint("other", "/path", "body"));
    request_guard guard;
    for (int death = 1; death < deaths_to_hold; ++death) {
        guard.on_server_death(print, at(1s));
        CHECK_FALSE(guard.holds(print, at(1s)));
    }
    guard.on_server_death(print, at(2s));
    CHECK(guard.holds(print, at(2s)));
    CHECK_FALSE(guard.holds(print, at(2s) + death_memory + 1s));

    request_guard other;
    other.on_heard(print, deaths_to_hold, at(2s));
    CHECK(other.holds(print, at(2s)));
    other.on_completed(print);
    CHECK_FALSE(other.holds(print, at(2s)));
}

TEST_CASE("a silent daemon is dead after a few heartbeats and its boot is reported once") {
    daemon_view view;
    daemon_status status;
    status.boot = 7;
    status.name = "host-1";
    status.accepting = true;
    CHECK(view.on_status(status, at(0s)));
    CHECK_FALSE(view.on_status(status, at(1s)));
    CHECK(view.take_dead(at(1s) + silence_of_the_dead - 1ms).empty());
    CHECK(view.take_dead(at(1s) + silence_of_the_dead) == std::vector<std::uint64_t>{7});
    CHECK(view.take_dead(at(9s)).empty());
    CHECK(view.senders() == 1);
    // Its requests may still be on their way.
    CHECK(view.senders_lately(at(3s)) == 1);
}
