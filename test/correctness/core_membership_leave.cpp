// Planned stops: every other daemon sees a leaving daemon as leaving, so that it gets
// no new work, and does not declare it dead while it finishes its requests.
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

namespace {

std::vector<host_entry> hosts_with(host_state state) {
    return {host_entry_for(settings_for(0, 0, 1)), host_entry_for(settings_for(1, 0, 1), state)};
}

}  // namespace

TEST_CASE("a daemon that begins to leave is leaving in every view") {
    member_group group(9, read_seed(21));
    group.run_for(5s);
    const std::uint64_t version = group.at(0).view_version();
    std::vector<entry_command> out;
    group.at(3).begin_leave(group.now(), out);
    REQUIRE(group.at(3).leaving());
    group.run_for(30s);
    const member* left = group.at(0).find(group.at(3).self());
    REQUIRE(left != nullptr);
    REQUIRE(left->state == member_state::leaving);
    REQUIRE(group.at(0).is_live(left->daemon));
    REQUIRE(group.at(0).view_version() > version);
    std::cout << "leave seen by gossip alone: passed\n";
}

TEST_CASE("the leaving mark of the host list applies and can be removed") {
    membership members(settings_for(0, 1, 1), 1);
    const daemon_id other = settings_for(1, 7, 1).self;
    const time_point now{1s};
    std::vector<entry_command> out;
    members.on_host_list(hosts_with(host_state::live), now, out);
    REQUIRE(members.members().empty());
    members.on_probe(other, {}, now, out);
    REQUIRE(members.find(other) != nullptr);
    REQUIRE(members.find(other)->state == member_state::alive);
    members.on_host_list(hosts_with(host_state::leaving), now, out);
    REQUIRE(members.find(other)->state == member_state::leaving);
    members.on_host_list(hosts_with(host_state::live), now, out);
    REQUIRE(members.find(other)->state == member_state::alive);
    // Live members stay members when the host list is empty or outdated.
    members.on_host_list({}, now, out);
    REQUIRE(members.is_live(other));
    std::cout << "leaving mark of the host list: passed\n";
}
