// Log lines on standard error or, without ever blocking the caller, on standard
// output.
#pragma once

#include <string_view>

namespace verbenahold {

enum class log_target {
    standard_error,
    // By a thread of its own with a bounded buffer; lines that don't fit are
    // left out and counted in a later line.
    standard_output,
};

// Sends lines of `level` (debug, info, warn, error) and above to `target`.
// False for another level name. Lines before the first call are lost.
bool configure_logging(std::string_view level, log_target target = log_target::standard_error);

void log_debug(std::string_view line);
void log_info(std::string_view line);
void log_warning(std::string_view line);
void log_error(std::string_view line);

}  // namespace verbenahold
