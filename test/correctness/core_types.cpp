// Checks the text form of attempt ids, from which memory sweeps read which daemon
// created an engine stream.
#include "verbenahold/entry_core.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace verbenahold;

TEST_CASE("attempt ids have a text form with host and incarnation") {
    const attempt_id attempt{{{host_name("entry-1"), 42}, 7}, 2};
    REQUIRE(to_string(attempt) == "entry-1.42.7.2");
    std::cout << "attempt id text form: passed\n";
}
