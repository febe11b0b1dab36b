// What a soak run plays.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::soak {

struct soak_options {
    std::string daemon;
    std::string folder;
    std::uint64_t seed = 1;
    int hosts = 9;
    int engines = 12;
    int plain_servers = 4;
    int clients = 80;
    double requests_per_second = 60;
    double seconds = 40;
    std::vector<std::string> faults;
    // Cases of broken rules that are printed in full.
    std::size_t printed_cases = 5;
    // Memory of a daemon above which the platform ends it.
    std::size_t memory_limit_mb = 260;
};

// Reads the command line; prints the reason and returns nothing if it is wrong or asks
// for help.
std::optional<soak_options> read_options(int argc, char** argv);

}  // namespace verbenahold::soak
