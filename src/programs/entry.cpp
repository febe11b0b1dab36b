// Entry daemon: admits, routes and streams the requests of callers.
#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>

#include "entry_shell.hpp"
#include "logging.hpp"
#include "settings.hpp"
#include "termination_signals.hpp"

int main(int argc, char* argv[]) {
    using namespace verbenahold;
    const QCoreApplication application(argc, argv);
    const std::vector<option_definition> options = entry_options();
    const auto given =
        settings::read("verbenahold-entry", "admits, routes and streams requests of callers", options, argc, argv);
    if (!given) {
        (given.error().code == 0 ? std::cout : std::cerr) << given.error().text;
        return given.error().code;
    }
    if (!configure_logging(given.value().text("log-level"))) {
        std::cerr << "verbenahold-entry: --log-level must be debug, info, warn or error\n";
        return 2;
    }
    entry_shell shell(given.value(), [](int code) { QCoreApplication::exit(code); });
    if (const std::string fault = shell.start(); !fault.empty()) {
        std::cerr << "verbenahold-entry: " << fault << '\n';
        return 1;
    }
    const termination_signals termination([&shell] { shell.handle_termination(); });
    const QJsonObject addresses{{"caller", QString::fromStdString(shell.caller_address().address)},
                                {"peer", QString::fromStdString(shell.peer_address().address)}};
    std::cout << QJsonDocument(addresses).toJson(QJsonDocument::Compact).constData() << std::endl;
    return QCoreApplication::exec();
}
