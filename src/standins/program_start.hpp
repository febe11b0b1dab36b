// Start-up of the stand-in programs: reads the options, listens, and prints
// the address.
#pragma once

#include "standin_server.hpp"

#include <boost/program_options.hpp>

#include <string>

namespace verbenahold::standins {

// Parses the command line into the variables that `options` is bound to. Adds
// --help and --listen ("address:port", default 127.0.0.1:0). Prints what is
// wrong and ends the program on a bad option.
void read_options(int argc, char* argv[], const std::string& program,
                  boost::program_options::options_description& options, std::string& listen_address);

// Listens and prints {"listening":"address:port"}; ends the program with an
// error if the address is not available.
void listen_and_announce(standin_server& server, const std::string& listen_address);

}  // namespace verbenahold::standins
