// Plays daemons that tell each other who is active, in virtual time. Guards against
// zones without an active host, heartbeats that grow with the square of the hosts,
// hosts that never stand by again, and callers sent to small hosts while large ones
// are idle.
#include "active_role.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <set>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

time_point at(duration since_start) {
    return time_point(since_start);
}

// Daemons on hosts that start, stop and hear each other without delay or loss.
class played_daemons {
public:
    static constexpr duration step = 100ms;

    explicit played_daemons(std::size_t number_of_zones) : zones(number_of_zones) {}

    void add(const std::string& zone, int count, double cores) {
        for (int number = 0; number < count; ++number) {
            const auto name = zone + "-" + std::to_string(static_cast<int>(cores * 100)) + "-" + std::to_string(number);
            m_records[name] = {name, name, zone_name(zone), cores};
            power_on(name);
        }
    }

    void power_on(const std::string& name) {
        auto& daemon = m_daemons[name];
        daemon.view = std::make_unique<daemon_view>();
        daemon.role = std::make_unique<active_role>(m_records.at(name), zones, *daemon.view);
        daemon.boot = ++m_boots;
        for (const auto& [other, record] : m_records) {
            if (other != name) {
                daemon.view->on_record(record);
            }
        }
        daemon.role->on_listed();
    }

    void power_off(const std::string& name) { m_daemons.erase(name); }

    void run_for(duration time) {
        for (const auto end = m_now + time; m_now < end; m_now += step) {
            ++m_steps;
            for (auto& [name, daemon] : m_daemons) {
                const bool changed = daemon.role->update(requests_per_second, false, m_now);
                const std::uint64_t interval = daemon.role->shares_work(m_now) ? 3 : 9;
                if (changed || m_steps % interval == 0) {
                    send_status(name, daemon);
                }
                daemon.view->remove_dead(m_now);
            }
        }
    }

    [[nodiscard]] std::set<std::string> active(const std::string& zone = {}) const {
        std::set<std::string> names;
        for (const auto& [name, daemon] : m_daemons) {
            if (daemon.role->is_active() && name.starts_with(zone)) {
                names.insert(name);
            }
        }
        return names;
    }

    std::int64_t take_sent() { return std::exchange(m_sent, 0); }
    // The hosts that this one tells of its work.
    [[nodiscard]] std::set<std::string> told_by(const std::string& name) const {
        const auto targets = m_daemons.at(name).role->work_targets();
        return {targets.begin(), targets.end()};
    }
    [[nodiscard]] std::size_t heard_by(const std::string& name) const {
        return m_daemons.at(name).view->members().size();
    }

    const std::size_t zones;
    // Requests per second that each active host receives.
    double requests_per_second = 0;

private:
    struct played_daemon {
        std::unique_ptr<daemon_view> view;
        std::unique_ptr<active_role> role;
        std::uint64_t boot = 0;
    };

    void send_status(const std::string& name, played_daemon& daemon) {
        daemon_status status;
        status.boot = daemon.boot;
        status.name = name;
        status.peer_address = name;
        status.zone = m_records.at(name).zone;
        status.cores = m_records.at(name).cores;
        status.accepting = true;
        status.active = daemon.role->is_active();
        status.shares_work = daemon.role->shares_work(m_now);
        status.requests_per_second = status.active ? requests_per_second : 0;
        status.chosen_hosts = status.active ? daemon.role->chosen_hosts() : std::vector<std::string>();
        deliver(status, daemon.role->heartbeat_targets_elsewhere(m_now));
        deliver(status, daemon.role->heartbeat_targets_in_zone(m_now));
    }

    void deliver(const daemon_status& status, const std::vector<std::string>& targets) {
        for (const auto& target : targets) {
            ++m_sent;
            const auto found = m_daemons.find(target);
            if (found != m_daemons.end()) {
                found->second.view->on_status(status, m_now);
            }
        }
    }

    std::map<std::string, daemon_record> m_records;
    std::map<std::string, played_daemon> m_daemons;
    time_point m_now = at(0s);
    std::uint64_t m_steps = 0;
    std::uint64_t m_boots = 0;
    std::int64_t m_sent = 0;
};

const std::vector<std::string> five_zones{"a", "b", "c", "d", "e"};

void add_large_fleet(played_daemons& fleet, int small_hosts) {
    for (const auto& zone : five_zones) {
        fleet.add(zone, 3, 0.5);
        fleet.add(zone, small_hosts, 0.12);
    }
}

}  // namespace

TEST_CASE("on a few hosts all are active") {
    played_daemons fleet(3);
    for (const std::string zone : {"a", "b", "c"}) {
        fleet.add(zone, 3, 0.25);
    }
    fleet.run_for(3s);
    CHECK(fleet.active().size() == 9);
}

TEST_CASE("on many hosts the large ones of each zone are active and the others stand by") {
    played_daemons fleet(five_zones.size());
    add_large_fleet(fleet, 36);
    fleet.run_for(10s);
    for (const auto& zone : five_zones) {
        CHECK(fleet.active(zone) == std::set<std::string>{zone + "-50-0", zone + "-50-1", zone + "-50-2"});
    }
}

TEST_CASE("heartbeats grow with the number of hosts, not with its square") {
    const auto heartbeats_in_10s = [](int small_hosts) {
        played_daemons fleet(five_zones.size());
        add_large_fleet(fleet, small_hosts);
        fleet.run_for(10s);
        fleet.take_sent();
        fleet.run_for(10s);
        return static_cast<double>(fleet.take_sent());
    };
    const double of_75 = heartbeats_in_10s(12);
    const double of_255 = heartbeats_in_10s(48);
    std::cout << "heartbeats in 10 s: " << of_75 << " of 75 hosts, " << of_255 << " of 255 hosts\n";
    CHECK(of_255 / 255 <= 1.25 * of_75 / 75);
}

// Actives that knew one host of another zone told no other host there, so each
// placed without knowing a part of the others' work.
TEST_CASE("the active hosts of all zones know each other, however many they are") {
    for (const double requests_per_second : {0.0, 60.0}) {
        played_daemons fleet(five_zones.size());
        fleet.requests_per_second = requests_per_second;
        add_large_fleet(fleet, 36);
        fleet.run_for(20s);
        const auto active = fleet.active();
        for (const auto& host : active) {
            auto expected = active;
            expected.erase(host);
            CHECK(fleet.told_by(host) == expected);
        }
    }
}

TEST_CASE("a host that stands by hears the active hosts of its zone only") {
    played_daemons fleet(five_zones.size());
    add_large_fleet(fleet, 36);
    fleet.run_for(15s);
    CHECK(fleet.heard_by("a-12-7") <= 2 * min_active_hosts_per_zone);
}

TEST_CASE("when active hosts die others take over, and stand by again when the hosts return") {
    played_daemons fleet(five_zones.size());
    add_large_fleet(fleet, 36);
    fleet.run_for(10s);
    fleet.power_off("a-50-0");
    fleet.run_for(1'500ms);
    CHECK(fleet.active("a").size() == min_active_hosts_per_zone);
    fleet.power_on("a-50-0");
    for (int moment = 0; moment < 100; ++moment) {
        fleet.run_for(100ms);
        REQUIRE(fleet.active("a").size() >= min_active_hosts_per_zone - 1);
    }
    CHECK(fleet.active("a") == std::set<std::string>{"a-50-0", "a-50-1", "a-50-2"});
}

TEST_CASE("when all active hosts of a zone die at once, others of the zone take over") {
    played_daemons fleet(five_zones.size());
    add_large_fleet(fleet, 36);
    fleet.run_for(10s);
    for (const std::string name : {"a-50-0", "a-50-1", "a-50-2"}) {
        fleet.power_off(name);
    }
    fleet.run_for(active_timeout + 2 * takeover_step + 200ms);
    CHECK_FALSE(fleet.active("a").empty());
    fleet.run_for(4s);
    CHECK(fleet.active("a").size() == min_active_hosts_per_zone);
}

TEST_CASE("more hosts become active when callers send more than the active ones carry") {
    played_daemons fleet(five_zones.size());
    add_large_fleet(fleet, 12);
    fleet.run_for(10s);
    REQUIRE(fleet.active("b").size() == min_active_hosts_per_zone);
    fleet.requests_per_second = 110;
    fleet.run_for(5s);
    CHECK(fleet.active("b").size() > min_active_hosts_per_zone);
}

TEST_CASE("a daemon's row keeps its zone and cores, and a row of an older release its address") {
    const daemon_record record{"host-1", "10.0.0.1:7340", zone_name("zone-a"), 0.25};
    const auto decoded = decode_daemon_record("host-1", encode_daemon_record(record));
    CHECK(decoded.peer_address == record.peer_address);
    CHECK(decoded.zone == record.zone);
    CHECK(decoded.cores == record.cores);
    const auto older = decode_daemon_record("host-2", "10.0.0.2:7340");
    CHECK(older.peer_address == "10.0.0.2:7340");
    CHECK(older.zone.value.empty());
    const auto newer = decode_daemon_record("host-3", "10.0.0.3:7340;rack=7;zone=zone-b;cores=much");
    CHECK(newer.zone == zone_name("zone-b"));
    CHECK(newer.cores == 0);
    for (const std::string cores : {"nan", "inf", "-1", ""}) {
        CHECK(decode_daemon_record("host-4", "10.0.0.4:7340;zone=zone-b;cores=" + cores).cores == 0);
    }
}
