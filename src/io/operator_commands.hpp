// The commands of verbenactl.
#pragma once

#include <functional>
#include <iosfwd>
#include <span>
#include <string>

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

// Runs a command of its own with the arguments after its name, and returns the exit code.
using separate_command = std::function<int(std::span<const std::string> arguments, std::istream& input,
                                           std::ostream& output, std::ostream& errors)>;

// Runs the command given by the arguments of main and returns the exit code.
// `check_config` is the command of this name, which knows the platform's words.
int run_operator_command(int argc, char** argv, std::istream& input, std::ostream& output, std::ostream& errors,
                         const separate_command& check_config);

}  // namespace verbenahold
