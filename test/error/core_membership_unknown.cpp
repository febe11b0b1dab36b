// is_dead_for() on daemons that are not known here: the memory sweep of engines uses
// it to free the streams of dead daemons. It must become true in the end, but not
// before gossip had time to introduce a live daemon.
#include "member_group.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;
using namespace verbenahold::testing;
using namespace std::chrono_literals;

TEST_CASE("an unknown daemon counts as dead only after a grace time") {
    const membership members(settings_for(0, 9, 1), 1);
    const daemon_id unknown{host_name("entry-77"), 3};
    const time_point asked{100s};
    REQUIRE_FALSE(members.is_dead_for(unknown, 0s, asked));
    REQUIRE_FALSE(members.is_dead_for(unknown, 0s, asked + 9s));
    REQUIRE(members.is_dead_for(unknown, 10s, asked + 10s));
    REQUIRE_FALSE(members.is_live(unknown));
    std::cout << "grace time of unknown daemons: passed\n";
}

TEST_CASE("an incarnation that gossip has not reached yet is not dead") {
    membership members(settings_for(0, 9, 1), 1);
    std::vector<entry_command> out;
    const daemon_id known = settings_for(1, 5, 1).self;
    members.on_host_list(std::vector{host_entry_for(settings_for(1, 0, 1))}, time_point{1s}, out);
    members.on_probe(known, {}, time_point{1s}, out);
    const daemon_id newer{known.host, 6};
    REQUIRE_FALSE(members.is_dead_for(newer, 0s, time_point{60s}));
    REQUIRE_FALSE(members.is_dead_for(known, 0s, time_point{60s}));
    REQUIRE(members.is_dead_for({known.host, 4}, 10s, time_point{60s}));
    std::cout << "newer incarnation is not dead: passed\n";
}
