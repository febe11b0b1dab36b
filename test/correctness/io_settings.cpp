// Tests the precedence of the sources of a setting: flag, environment, default.
#include <catch2/catch.hpp>

#include <iostream>

#include "settings.hpp"

using namespace verbenahold;

namespace {

const std::vector<option_definition> table{
    {"bind-address", option_type::address, "127.0.0.1:0", "where to listen"},
    {"threads", option_type::integer, "4", "worker threads", false, 1, 64},
    {"verbose", option_type::boolean, "false", "more lines"},
    {"key", option_type::text, "", "a key", true, 0, 0, true},
};

settings_result read(const std::vector<std::string>& arguments, const std::string& threads_variable = {}) {
    return settings::read("program", "does work", table, arguments, [&](const std::string& name) {
        const bool given = name == "VERBENAHOLD_THREADS" && !threads_variable.empty();
        return given ? std::optional<std::string>(threads_variable) : std::nullopt;
    });
}

}  // namespace

TEST_CASE("a flag beats the environment, which beats the default") {
    CHECK(read({}).value().integer("threads") == 4);
    CHECK(read({}, "5").value().integer("threads") == 5);
    const auto both = read({"--threads", "6", "--verbose", "extra"}, "5");
    CHECK(both.value().integer("threads") == 6);
    CHECK(both.value().boolean("verbose"));
    CHECK(both.value().address("bind-address").address == "127.0.0.1:0");
    CHECK(both.value().text("key").empty());
    CHECK(read({"--verbose=false", "one", "two"}).value().positional() == std::vector<std::string>{"one", "two"});
    std::cout << "sources of settings: passed\n";
}

TEST_CASE("print-config shows every value but secrets, and --help every flag") {
    const auto printed = read({"--print-config", "--key", "sesame"}).error();
    CHECK(printed.code == 0);
    CHECK(printed.text == "bind-address=127.0.0.1:0\nthreads=4\nverbose=false\nkey=(hidden)\n");
    const auto help = read({"--help"}).error();
    CHECK(help.code == 0);
    for (const auto* word : {"--bind-address", "--threads", "VERBENAHOLD_THREADS", "default 4", "where to listen"}) {
        CHECK(help.text.find(word) != std::string::npos);
    }
    std::cout << "printed configuration and help: passed\n";
}
