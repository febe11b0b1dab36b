// The command that tells the story of one request from the daemons' logs.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace verbenahold {

// Reads log files, or `input` if none is given or one is called "-", and prints
// the request's lines and why it ended as it did. The name of a file stands in
// for the host of lines that name none. False, with the reason in `errors`, if a
// file can't be read or no line names the request.
bool explain_request(const std::string& request, std::span<const std::string> files, std::istream& input,
                     std::ostream& output, std::ostream& errors);

}  // namespace verbenahold
