// Guards against overloading cold servers, exceeding the shared retry budget and
// keeping daemons that have died.
#include "daemon_view.hpp"
#include "retry_budget_share.hpp"
#include "send_pacer.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
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

TEST_CASE("all daemons together stay within the rate limit of a cold server in any second") {
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

TEST_CASE("a service without a cold phase has no rate limit") {
    send_pacer pacer({1, 0});
    service warm;
    for (int count = 0; count < 1'000; ++count) {
        CHECK(pacer.may_send(server_name("one"), warm, 9, at(0s)));
        pacer.on_sent(server_name("one"), at(0s));
    }
}

TEST_CASE("the memory of requests sent to a server without a rate limit does not grow for good") {
    send_pacer pacer({1, 0});
    for (duration now{}; now < 60s; now += 10ms) {
        pacer.on_sent(server_name("one"), at(now));
    }
    CHECK(pacer.remembered(server_name("one")) <= static_cast<std::size_t>(pacing_window / 10ms) + 1);
}

TEST_CASE("retries of all daemons stay within the shared budget, wherever requests arrive") {
    constexpr int daemons = 9;
    const retry_limits limits{0.2, 106, 10s};
    std::vector<retry_budget_share> budgets(daemons, retry_budget_share(limits));
    const service_name service("llm");
    int requests = 0;
    int repeats = 0;
    // One daemon gets all requests; every daemon retries whenever it may.
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

TEST_CASE("a daemon without heartbeats is dead after the timeout and its boot is returned once") {
    daemon_view view;
    daemon_status status;
    status.boot = 7;
    status.name = "host-1";
    status.accepting = true;
    CHECK(view.on_status(status, at(0s)));
    CHECK_FALSE(view.on_status(status, at(1s)));
    CHECK(view.remove_dead(at(1s) + daemon_timeout - 1ms).empty());
    CHECK(view.remove_dead(at(1s) + daemon_timeout) == std::vector<std::uint64_t>{7});
    CHECK(view.remove_dead(at(9s)).empty());
    CHECK(view.senders() == 1);
    // Its requests may still be in flight.
    CHECK(view.recent_max_senders(at(3s)) == 1);
}

TEST_CASE("a daemon that starts again has ended before, and its earlier boot is returned once") {
    daemon_view view;
    daemon_status status;
    status.boot = 7;
    status.name = "host-1";
    view.on_status(status, at(0s));
    status.boot = 8;
    CHECK(view.on_status(status, at(1s)));
    CHECK(view.remove_dead(at(1s)) == std::vector<std::uint64_t>{7});
    CHECK(view.remove_dead(at(1s)).empty());
    CHECK(view.members().at("host-1").status.boot == 8);
}

TEST_CASE("each subject has one responsible daemon, and another one when its heartbeats stop") {
    const std::vector<std::string> names{"host-1", "host-2", "host-3", "host-4", "host-5"};
    std::map<std::string, daemon_view> views;
    const auto hear_all = [&](time_point now, const std::string& silent) {
        for (auto& [own, view] : views) {
            for (const auto& name : names) {
                daemon_status status;
                status.name = name;
                status.accepting = true;
                if (name != own && name != silent) {
                    view.on_status(status, now);
                }
            }
        }
    };
    for (const auto& name : names) {
        views[name];
    }
    const auto responsible = [&](const std::string& subject, time_point now) {
        std::vector<std::string> found;
        for (const auto& [own, view] : views) {
            if (view.is_responsible(own, subject, now)) {
                found.push_back(own);
            }
        }
        return found;
    };
    hear_all(at(0s), "");
    std::set<std::string> used;
    for (int subject = 0; subject < 40; ++subject) {
        const auto found = responsible("server-" + std::to_string(subject), at(100ms));
        REQUIRE(found.size() == 1);
        used.insert(found.front());
    }
    CHECK(used.size() == names.size());
    hear_all(at(1s), "host-3");
    for (int subject = 0; subject < 40; ++subject) {
        auto found = responsible("server-" + std::to_string(subject), at(1'100ms));
        std::erase(found, "host-3");
        CHECK(found.size() == 1);
    }
}

// Daemons that started in the same microsecond had the same boot. They took each
// other's messages for their own, so neither tracked the other's requests.
TEST_CASE("the boot differs between hosts that start together and between starts of one host") {
    CHECK(make_boot_id("host-1", 1'000) != make_boot_id("host-2", 1'000));
    CHECK(make_boot_id("host-1", 1'000) != make_boot_id("host-1", 1'001));
}

TEST_CASE("new limits apply to later requests") {
    retry_budget_share budget({0.2, 100, 10s});
    const service_name service("llm");
    CHECK(budget.take(service, 1, at(0s)));
    budget.set_limits({0, 0, 10s});
    CHECK_FALSE(budget.take(service, 1, at(1s)));
    send_pacer pacer({1.5, 5});
    const auto cold = cold_service();
    CHECK(pacer.may_send(server_name("one"), cold, 1, at(0s)));
    pacer.on_sent(server_name("one"), at(0s));
    pacer.set_bound({0, 0});
    CHECK_FALSE(pacer.may_send(server_name("one"), cold, 1, at(100ms)));
}
