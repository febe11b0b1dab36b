// The commands of verbenactl.
#pragma once

#include <iosfwd>

namespace verbenahold {

// Exit codes of verbenactl.
enum class operator_exit : int {
    ok = 0,
    usage = 1,
    // A record or its file is invalid, or the record does not exist.
    invalid = 2,
    conflict = 3,
    unreachable = 4,
    store_down = 5,
    unauthorized = 6,
    unknown_outcome = 7,
};

// Runs the command given by the arguments of main and returns the exit code.
int run_operator_command(int argc, char** argv, std::istream& input, std::ostream& output, std::ostream& errors);

}  // namespace verbenahold
