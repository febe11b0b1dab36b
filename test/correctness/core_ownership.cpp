// Ownership: daemons with the same view of the members must agree on the owner of
// every server, and the loss of a daemon must move only the servers that it owned.
#include "member_group.hpp"
#include "ownership.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>
#include <set>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{1s};

// Membership of daemon 0, with daemons 1 to count - 1 alive.
membership membership_of(std::size_t count) {
    membership members(settings_for(0, 1, 1), 1);
    std::vector<entry_command> out;
    std::vector<host_entry> hosts;
    for (std::size_t number = 1; number < count; ++number) {
        hosts.push_back(host_entry_for(settings_for(number, 0, 1)));
    }
    members.on_host_list(hosts, now, out);
    for (std::size_t number = 1; number < count; ++number) {
        members.on_probe(settings_for(number, 1, 1).self, {}, now, out);
    }
    members.on_tick(now, out);
    return members;
}

std::vector<host_entry> servers(std::size_t count, std::size_t zones) {
    std::vector<host_entry> hosts;
    for (std::size_t number = 0; number < count; ++number) {
        hosts.push_back(server_entry("worker-" + std::to_string(number), "zone-" + std::to_string(number % zones)));
    }
    return hosts;
}

ownership ownership_for(std::size_t number, std::span<const host_entry> hosts) {
    const entry_settings settings = settings_for(number, 1, 1);
    ownership owners(settings.self, settings.zone);
    owners.set_servers(hosts);
    return owners;
}

config_snapshot zone_out(const std::string& zone) {
    record out;
    out.key = {record_kind::availability_zone, zone};
    out.record_version = 1;
    out.spec = QJsonObject{{"state", "out"}};
    return {1, {{out.key, out}}};
}

}  // namespace

TEST_CASE("servers belong to daemons of their own zone") {
    const auto hosts = servers(300, 3);
    ownership owners = ownership_for(0, hosts);
    const membership members = membership_of(9);
    const ownership_change change = owners.update(members, {});
    REQUIRE(change.lost.empty());
    std::size_t own = 0;
    for (const backend_server& server : owners.servers()) {
        const auto owner = owners.owner_of(server.name);
        REQUIRE(owner);
        REQUIRE((owner->host == members.self().host ? settings_for(0, 1, 1).zone : members.find(*owner)->zone) ==
                server.zone);
        own += owners.owns(server.name) ? 1 : 0;
    }
    REQUIRE(change.gained.size() == own);
    REQUIRE(own > 0);
    REQUIRE(owners.update(members, {}).gained.empty());
    std::cout << "owners in the own zone: passed\n";
}

TEST_CASE("servers of a zone without daemons go to zones that are in") {
    const auto hosts = servers(50, 4);
    ownership owners = ownership_for(0, hosts);
    const membership members = membership_of(9);
    owners.update(members, zone_out("zone-1"));
    for (const backend_server& server : owners.servers()) {
        if (server.zone == zone_name("zone-3")) {
            const daemon_id owner = owners.owner_of(server.name).value();
            const member* known = members.find(owner);
            REQUIRE((known == nullptr || known->zone != zone_name("zone-1")));
        }
    }
    std::cout << "fallback to zones that are in: passed\n";
}

TEST_CASE("incremental updates end with the owners of a fresh computation") {
    const auto hosts = servers(400, 3);
    ownership owners = ownership_for(0, hosts);
    membership members = membership_of(18);
    owners.update(members, {});
    std::vector<entry_command> out;
    std::set<server_name> own;
    for (const backend_server& server : owners.servers()) {
        if (owners.owns(server.name)) {
            own.insert(server.name);
        }
    }
    for (const std::size_t number : {3U, 6U, 4U, 9U, 1U, 7U, 10U, 13U, 16U}) {
        members.on_leave(settings_for(number, 1, 1).self, now, out);
        const ownership_change change = owners.update(members, {});
        ownership fresh = ownership_for(0, hosts);
        fresh.update(members, {});
        for (const backend_server& server : change.gained) {
            REQUIRE(own.insert(server.name).second);
        }
        REQUIRE(change.lost.empty());
        for (const backend_server& server : owners.servers()) {
            REQUIRE(owners.owner_of(server.name) == fresh.owner_of(server.name));
            REQUIRE(owners.owns(server.name) == own.contains(server.name));
        }
    }
    std::cout << "incremental equals fresh: passed\n";
}

TEST_CASE("a server that leaves the host list is lost, a changed one refreshed") {
    auto hosts = servers(2, 1);
    ownership owners = ownership_for(0, hosts);
    const membership members = membership_of(1);
    REQUIRE(owners.update(members, {}).gained.size() == 2);
    hosts[0].state = host_state::leaving;
    hosts.pop_back();
    owners.set_servers(hosts);
    const ownership_change change = owners.update(members, {});
    REQUIRE(change.gained.empty());
    REQUIRE(change.lost.size() == 1);
    REQUIRE(change.lost[0].name == server_name("worker-1"));
    REQUIRE(change.refreshed.size() == 1);
    REQUIRE(change.refreshed[0].leaving);
    std::cout << "lost and refreshed servers: passed\n";
}
