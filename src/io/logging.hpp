// Logging to standard error, or to standard output without blocking the caller.
#pragma once

#include <string_view>

namespace verbenahold {

enum class log_target {
    standard_error,
    // Written by a separate thread from a bounded buffer. Lines that don't fit
    // are dropped and counted in a later line.
    standard_output,
};

// Sends lines of `level` (debug, info, warn, error) and above to `target`.
// Returns false for an unknown level. Lines before the first call are lost.
bool configure_logging(std::string_view level, log_target target = log_target::standard_error);

void log_debug(std::string_view line);
void log_info(std::string_view line);
void log_warning(std::string_view line);
void log_error(std::string_view line);

}  // namespace verbenahold
