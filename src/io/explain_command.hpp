// The command `verbenactl explain`, which reconstructs the course of one request
// from the daemons' logs.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace verbenahold {

// Reads log files, or `input` if no file is given or a file is named "-", and
// prints the lines of the request and the reason for its outcome. The file name
// is used as the host of lines that name none. Returns false, with the reason in
// `errors`, if a file can't be read or no line names the request.
bool explain_request(const std::string& request, std::span<const std::string> files, std::istream& input,
                     std::ostream& output, std::ostream& errors);

}  // namespace verbenahold
