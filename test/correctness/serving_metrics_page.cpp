// Checks that docs/OPERATIONS.md lists exactly the metrics that a daemon exports.
#include "serving_rig.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>

using namespace verbenahold::serving;

namespace {

constexpr std::string_view name_prefix = "verbenahold_";
constexpr std::string_view counter_ending = "_total";

// Names in the first column of the table under "## Metrics".
std::set<std::string> names_on_page() {
    std::ifstream page(VERBENAHOLD_SOURCE_FOLDER "/docs/OPERATIONS.md");
    std::set<std::string> names;
    bool in_section = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## ")) {
            in_section = line == "## Metrics";
        }
        if (!in_section || !line.starts_with("| `")) {
            continue;
        }
        const auto column = line.substr(0, line.find('|', 1));
        for (auto begin = column.find('`'); begin != std::string::npos; begin = column.find('`', begin)) {
            const auto end = column.find('`', begin + 1);
            names.insert(column.substr(begin + 1, end - begin - 1));
            begin = end + 1;
        }
    }
    return names;
}

// Names that a daemon exports, without prefix and counter suffix as on the page.
std::set<std::string> names_served(const std::string& answer) {
    std::istringstream lines(answer);
    std::set<std::string> names;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string hash;
        std::string type;
        std::string name;
        if (!(words >> hash >> type >> name) || hash != "#" || type != "TYPE") {
            continue;
        }
        REQUIRE(name.starts_with(name_prefix));
        name.erase(0, name_prefix.size());
        if (name.ends_with(counter_ending)) {
            name.erase(name.size() - counter_ending.size());
        }
        names.insert(name);
    }
    return names;
}

}  // namespace

TEST_CASE("the metrics page names what the daemon serves, and nothing else") {
    serving_rig rig;
    rig.add_server("i-1", [](const http_request& request, const auto& session) {
        session->write(stream_head(request) + stream_chunk(1) + stream_chunk(2) + stream_end);
    });
    rig.put_desired_state();
    rig.start_daemon("host-1");
    REQUIRE(rig.run_until_ready("host-1"));
    // A stream, so that the time to first event is exported too.
    auto& caller = rig.call("host-1", request_text("POST", "/stream/x", "a-1"));
    REQUIRE(rig.run_until([&] { return caller.received().ends_with(stream_end); }));
    auto& asking = rig.call_address(rig.settings("host-1").metrics_address, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(rig.run_until([&] { return asking.received().find("server_connections_opened") != std::string::npos; }));
    const auto served = names_served(asking.received());
    CHECK(served.size() > 10);
    CHECK(served == names_on_page());
}
