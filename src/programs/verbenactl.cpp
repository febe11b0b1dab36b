// Command line tool for operators.
#include "operator_commands.hpp"

#include <QCoreApplication>

#include <iostream>

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    return verbenahold::run_operator_command(argc, argv, std::cin, std::cout, std::cerr);
}
