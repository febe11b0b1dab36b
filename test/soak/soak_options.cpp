#include "soak_options.hpp"

#include "fault_series.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <sstream>

namespace verbenahold::soak {

namespace {

namespace options = boost::program_options;

std::string fault_list() {
    std::string list;
    for (const auto& fault : known_faults()) {
        list += "\n  " + fault.name + std::string(22 - std::min<std::size_t>(21, fault.name.size()), ' ') +
                fault.description;
    }
    return list;
}

// Six faults, by the seed.
std::vector<std::string> mixed_faults(std::uint64_t seed) {
    constexpr std::size_t count = 6;
    std::vector<std::string> names;
    for (const auto& fault : known_faults()) {
        names.push_back(fault.name);
    }
    std::mt19937_64 random(seed);
    std::shuffle(names.begin(), names.end(), random);
    names.resize(count);
    return names;
}

bool choose_faults(const std::string& text, std::uint64_t seed, std::vector<std::string>& chosen) {
    std::istringstream names(text);
    for (std::string name; std::getline(names, name, ',');) {
        const auto found = std::find_if(known_faults().begin(), known_faults().end(),
                                        [&](const fault_kind& fault) { return fault.name == name; });
        if (name == "all") {
            for (const auto& fault : known_faults()) {
                chosen.push_back(fault.name);
            }
        } else if (name == "mix") {
            chosen = mixed_faults(seed);
        } else if (found != known_faults().end()) {
            chosen.push_back(name);
        } else if (name != "none") {
            std::cerr << "soak: --faults: unknown fault: " << name << '\n';
            return false;
        }
    }
    return true;
}

}  // namespace

std::optional<soak_options> read_options(int argc, char** argv) {
    soak_options chosen;
    std::string faults;
    options::options_description known("soak, serving daemons as processes under faults from outside");
    auto add = known.add_options();
    add("help", "print this text");
    add("daemon", options::value(&chosen.daemon)->required(), "path of verbenahold-serve");
    add("folder", options::value(&chosen.folder)->required(), "folder for settings, logs and cases");
    add("seed", options::value(&chosen.seed)->default_value(chosen.seed), "seed of faults and load");
    add("hosts", options::value(&chosen.hosts)->default_value(chosen.hosts), "number of daemons");
    add("engines", options::value(&chosen.engines)->default_value(chosen.engines), "servers of the model");
    add("plain-servers", options::value(&chosen.plain_servers)->default_value(chosen.plain_servers),
        "servers of each of the two plain services");
    add("clients", options::value(&chosen.clients)->default_value(chosen.clients), "number of clients");
    add("rate", options::value(&chosen.requests_per_second)->default_value(chosen.requests_per_second),
        "requests a second of all clients");
    add("seconds", options::value(&chosen.seconds)->default_value(chosen.seconds), "length of the load");
    add("faults", options::value(&faults)->default_value("none"),
        "none, all, mix (six by the seed), or names separated by commas");
    add("cases", options::value(&chosen.printed_cases)->default_value(chosen.printed_cases),
        "cases of each rule that are printed in full");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, known), values);
        if (values.contains("help")) {
            std::cout << known << "\nFaults:" << fault_list() << '\n';
            return std::nullopt;
        }
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "soak: " << error.what() << '\n';
        return std::nullopt;
    }
    if (!choose_faults(faults, chosen.seed, chosen.faults)) {
        return std::nullopt;
    }
    return chosen;
}

}  // namespace verbenahold::soak
