// Log lines on standard error. Lines are written on state changes only; what
// happens per request is counted in metrics instead.
#pragma once

#include <string_view>

namespace verbenahold {

// Sends lines of `level` (debug, info, warn, error) and above to standard
// error. False for another level name. Lines before the first call are lost.
bool configure_logging(std::string_view level);

void log_debug(std::string_view line);
void log_info(std::string_view line);
void log_warning(std::string_view line);
void log_error(std::string_view line);

}  // namespace verbenahold
