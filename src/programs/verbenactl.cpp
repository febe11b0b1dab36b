// Command line tool for operators.
#include "check_config_command.hpp"
#include "operator_commands.hpp"

#include <QCoreApplication>

#include <iostream>

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    const auto check_config = [](std::span<const std::string> arguments, std::istream& input, std::ostream& output,
                                 std::ostream& errors) {
        return static_cast<int>(verbenahold::platform::check_config(arguments, input, output, errors));
    };
    return verbenahold::run_operator_command(argc, argv, std::cin, std::cout, std::cerr, check_config);
}
