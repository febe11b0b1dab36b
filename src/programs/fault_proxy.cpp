// TCP proxy that injects network faults on request, for tests and experiments.
#include "fault_proxy.hpp"
#include "program_start.hpp"

#include <QCoreApplication>
#include <QJsonDocument>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

int main(int argc, char* argv[]) {
    namespace po = boost::program_options;
    using namespace verbenahold;
    const QCoreApplication application(argc, argv);
    std::vector<std::string> pairs;
    std::string address;
    po::options_description options("fault-proxy");
    options.add_options()("pair", po::value(&pairs)->composing(), "NAME=ADDRESS:PORT of a target; may be repeated");
    standins::read_options(argc, argv, "fault-proxy", options, address);

    timer_service timers;
    standins::fault_proxy proxy(timers);
    // Prints one line for each proxied pair, before the admin interface's line.
    for (const std::string& pair : pairs) {
        const std::size_t separator = pair.find('=');
        const auto added = separator == std::string::npos
                               ? std::nullopt
                               : proxy.add(pair.substr(0, separator), pair.substr(separator + 1));
        if (!added) {
            std::cerr << "fault-proxy: bad pair " << pair << '\n';
            return EXIT_FAILURE;
        }
        std::cout << QJsonDocument(*added).toJson(QJsonDocument::Compact).toStdString() << '\n';
    }
    standins::standin_server server(
        [&](const standins::http_call& call, const shared_reply& reply) { proxy.handle(call, reply); });
    standins::listen_and_announce(server, address);
    return QCoreApplication::exec();
}
