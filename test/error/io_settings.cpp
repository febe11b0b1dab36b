// Checks that all invalid settings are reported at start, one line each.
#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "settings.hpp"

using namespace verbenahold;

TEST_CASE("each wrong setting gives one line and exit code 2") {
    const std::vector<option_definition> table{
        {"address", option_type::address, "", "required address"},
        {"count", option_type::integer, "1", "bounded number", false, 1, 10},
        {"share", option_type::decimal, "0.5", "bounded share", false, 0, 1},
        {"certificate", option_type::file, "", "a file", true},
        {"url", option_type::url, "http://127.0.0.1:1", "a url"},
        {"zone", option_type::name, "a", "a name"},
        {"flag", option_type::boolean, "false", "a flag"},
    };
    const auto none = [](const std::string&) -> std::optional<std::string> { return std::nullopt; };
    const auto read = [&](const std::vector<std::string>& arguments) {
        return settings::read("program", "does work", table, arguments, none);
    };
    const auto all =
        read({"--count=11", "--share=-1", "--certificate=/no/such/file", "--url=ftp://x", "--zone=a.b", "--flag=maybe"})
            .error();
    CHECK(all.code == 2);
    CHECK(std::count(all.text.begin(), all.text.end(), '\n') == 7);
    for (const auto* line : {"--address (or VERBENAHOLD_ADDRESS) is required", "--count: '11' is not a whole number",
                             "--share: '-1'", "--certificate: '/no/such/file'", "--url: 'ftp://x'", "--zone: 'a.b'",
                             "--flag: 'maybe' is not true or false"}) {
        CHECK(all.text.find(line) != std::string::npos);
    }
    for (const auto* bad : {"127.0.0.1", "127.0.0.1:70000", "localhost:80", ":80", "127.0.0.1:8x"}) {
        CHECK(read({"--address", bad}).error().code == 2);
    }
    CHECK(read({"--address=127.0.0.1:1", "--unknown=1"}).error().code == 2);
    CHECK(read({"--address=127.0.0.1:1", "--count"}).error().code == 2);
    CHECK(read({"--address=[::1]:1"}).has_value());
    std::cout << "wrong settings: passed\n";
}
