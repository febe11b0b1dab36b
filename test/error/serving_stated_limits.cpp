// Tests servers that state how many requests per second they take. Guards against a
// daemon, or all of them together, sending more than that.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

using session_pointer = std::shared_ptr<scripted_server::session>;
using clock_type = std::chrono::steady_clock;

constexpr double stated_limit = 1.5;
constexpr duration counted_window = 4s;
// The platform's bound on the requests in four seconds.
constexpr auto max_requests = static_cast<std::ptrdiff_t>(1.5 * stated_limit * 4 + 5);

// A server that states a limit beside two that state none, behind several daemons.
class limited_rig : public serving_rig {
public:
    explicit limited_rig(const std::vector<std::string>& hosts, std::size_t zone_count = 1) {
        zones = zone_count;
        add_server("i-limited", [this](const auto& request, const auto& session) {
            arrivals.push_back(clock_type::now());
            auto answer = proved_answer(request, "fine");
            if (states_limit) {
                answer.insert(answer.find("\r\n") + 2, "Server-Limit: " + std::to_string(stated_limit) + "\r\n");
            }
            session->write(answer);
        });
        const auto answer_well = [](const http_request& request, const session_pointer& session) {
            session->write(proved_answer(request, "fine"));
        };
        add_server("i-1", answer_well);
        add_server("i-2", answer_well);
        put_desired_state();
        for (const auto& host : hosts) {
            start_daemon(host);
        }
        for (const auto& host : hosts) {
            all_ready = all_ready && run_until_ready(host);
        }
        run_for(700ms);
    }

    // Sends requests by turns to the hosts, one each 25 ms. Returns how many were
    // answered.
    int load(const std::vector<std::string>& hosts, duration length) {
        std::vector<scripted_caller*> callers;
        for (const auto end = clock_type::now() + length; clock_type::now() < end; run_for(25ms)) {
            const auto id = std::to_string(++m_asked);
            callers.push_back(&call(hosts[callers.size() % hosts.size()], request_text("GET", "/safe/x", "a-" + id)));
        }
        run_for(100ms);
        return static_cast<int>(std::count_if(callers.begin(), callers.end(), [](const scripted_caller* caller) {
            return caller->received().starts_with("HTTP/1.1 200");
        }));
    }

    // The most requests that the limited server got within four seconds since `start`.
    [[nodiscard]] std::ptrdiff_t most_requests(clock_type::time_point start) const {
        std::ptrdiff_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first >= start) {
                const auto last = std::lower_bound(first, arrivals.end(), *first + counted_window);
                most = std::max(most, last - first);
            }
        }
        return most;
    }

    bool all_ready = true;
    bool states_limit = true;
    std::vector<clock_type::time_point> arrivals;

private:
    int m_asked = 0;
};

}  // namespace

TEST_CASE("all daemons together send a server no more than the limit that it states") {
    const std::vector<std::string> hosts{"host-1", "host-2", "host-3"};
    limited_rig rig(hosts);
    REQUIRE(rig.all_ready);
    rig.load(hosts, 500ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    const auto start = clock_type::now();
    const int answered = rig.load(hosts, 5s);
    CHECK(rig.most_requests(start) <= max_requests);
    CHECK(answered > 150);
}

TEST_CASE("a daemon that starts after a limit was stated keeps it, and one that is lifted is forgotten") {
    const std::vector<std::string> hosts{"host-1", "host-2"};
    limited_rig rig(hosts);
    REQUIRE(rig.all_ready);
    rig.load(hosts, 500ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    rig.start_daemon("host-3");
    REQUIRE(rig.run_until_ready("host-3"));
    rig.run_for(2 * heartbeat_period);
    const auto start = clock_type::now();
    rig.load({"host-1", "host-2", "host-3"}, 4500ms);
    CHECK(rig.most_requests(start) <= max_requests);

    rig.states_limit = false;
    rig.load(hosts, 1500ms);
    const auto before = rig.arrivals.size();
    rig.load({"host-1", "host-2", "host-3"}, 2s);
    // A third of the requests, less what the other servers get by chance.
    CHECK(static_cast<double>(rig.arrivals.size() - before) > 2 * stated_limit * 2);
}

TEST_CASE("hosts that stand by keep a limit with those that are active") {
    const std::vector<std::string> hosts{"host-1", "host-2", "host-3", "host-4", "host-5"};
    limited_rig rig(hosts, min_active_hosts / min_active_hosts_per_zone);
    REQUIRE(rig.all_ready);
    rig.run_for(2s);
    rig.load({"host-1", "host-2", "host-3"}, 500ms);
    REQUIRE_FALSE(rig.arrivals.empty());
    rig.run_for(2 * heartbeat_period);
    const auto start = clock_type::now();
    CHECK(rig.load(hosts, 5s) > 150);
    CHECK(rig.most_requests(start) <= max_requests);
}
