#include "program_start.hpp"

#include <cstdlib>
#include <iostream>

namespace verbenahold::standins {

namespace {

constexpr int exit_bad_usage = 2;

}  // namespace

void read_options(int argc, char* argv[], const std::string& program,
                  boost::program_options::options_description& options, std::string& listen_address) {
    namespace po = boost::program_options;
    options.add_options()("help", "show the options")("listen",
                                                      po::value(&listen_address)->default_value("127.0.0.1:0"),
                                                      "address and port; port 0 lets the kernel choose");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << options << '\n';
            std::exit(EXIT_SUCCESS);
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << program << ": " << error.what() << '\n';
        std::exit(exit_bad_usage);
    }
}

void listen_and_announce(standin_server& server, const std::string& listen_address) {
    const auto address = server.start(listen_address);
    if (!address) {
        std::cerr << "cannot listen at " << listen_address << '\n';
        std::exit(EXIT_FAILURE);
    }
    std::cout << R"({"listening":")" << *address << "\"}" << std::endl;
}

}  // namespace verbenahold::standins
