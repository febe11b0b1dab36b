// Tests daemons of which only a part is active. Guards against directories that name
// hosts that stand by or are dead, and against hosts that stand by and can't serve.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> hosts{"host-1", "host-2", "host-3", "host-4", "host-5"};

// A rig whose zone has more hosts than are needed.
class standby_rig : public serving_rig {
public:
    standby_rig() {
        zones = min_active_hosts / min_active_hosts_per_zone;
        add_server("i-1", [](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
            session->write(proved_answer(request, "fine"));
        });
        put_desired_state();
        for (const auto& host : hosts) {
            start_daemon(host);
        }
    }

    // The hosts that this daemon's directory names.
    std::vector<std::string> named_by(const std::string& daemon) {
        const auto answer = ask_directory(daemon);
        std::vector<std::string> named;
        std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(named), [&](const std::string& host) {
            return answer.find('"' + settings(host).front_address + '"') != std::string::npos;
        });
        return named;
    }

    // Runs until all daemons name the same hosts, as many as should be active.
    bool run_until_agreed() {
        const auto deadline = std::chrono::steady_clock::now() + 8s;
        while (std::chrono::steady_clock::now() < deadline) {
            run_for(100ms);
            m_active = named_by(alive().front());
            const auto daemons = alive();
            const bool names_killed = std::find(m_active.begin(), m_active.end(), m_killed) != m_active.end();
            if (m_active.size() == min_active_hosts_per_zone && !names_killed &&
                std::all_of(daemons.begin(), daemons.end(),
                            [&](const std::string& daemon) { return named_by(daemon) == m_active; })) {
                return true;
            }
        }
        return false;
    }

    void kill(const std::string& host) {
        m_killed = host;
        silence_daemon(host);
    }

    [[nodiscard]] const std::vector<std::string>& active() const { return m_active; }
    [[nodiscard]] std::string first_standby() const {
        return *std::find_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
            return std::find(m_active.begin(), m_active.end(), host) == m_active.end();
        });
    }

private:
    [[nodiscard]] std::vector<std::string> alive() const {
        auto remaining = hosts;
        std::erase(remaining, m_killed);
        return remaining;
    }

    std::vector<std::string> m_active;
    std::string m_killed;
};

}  // namespace

TEST_CASE("directories of all hosts name the active ones, and a host that stands by serves its callers") {
    standby_rig rig;
    REQUIRE(rig.run_until_agreed());
    const auto standby = rig.first_standby();
    REQUIRE(rig.run_until_ready(standby));
    auto& caller = rig.call(standby, request_text("POST", "/unsafe/x", "a-1", "the body"));
    REQUIRE(rig.run_until([&] { return caller.received().ends_with("fine"); }));
    CHECK(caller.received().starts_with("HTTP/1.1 200"));
}

TEST_CASE("when an active host dies the directories name another one instead") {
    standby_rig rig;
    REQUIRE(rig.run_until_agreed());
    const auto lost = rig.active().front();
    rig.kill(lost);
    CHECK(rig.run_until_agreed());
}

TEST_CASE("a change of the desired state reaches the hosts that stand by") {
    standby_rig rig;
    REQUIRE(rig.run_until_agreed());
    const auto standby = rig.first_standby();
    REQUIRE(rig.run_until_ready(standby));
    rig.store.put("op", "config", R"({"version":9,"routes":[],"services":[],"tenants":[]})");
    REQUIRE(rig.run_until([&] {
        auto& caller = rig.call(standby, request_text("GET", "/safe/x", "a-2"));
        rig.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
        return caller.received().starts_with("HTTP/1.1 404");
    }));
}
