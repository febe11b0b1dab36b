// Control process: serves the operators' interface, sends orders to engines and
// removes old rows.
#include "control_shell.hpp"
#include "logging.hpp"
#include "operator_listener.hpp"
#include "settings.hpp"
#include "termination_signals.hpp"

#include <QCoreApplication>
#include <QSslConfiguration>
#include <QTimer>

#include <chrono>
#include <iostream>

using namespace verbenahold;

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_listen_failed = 3;

std::vector<option_definition> control_options() {
    std::vector<option_definition> options = shared_options();
    options.push_back({"host", option_type::name, "", "name of this host in the platform's host list"});
    options.push_back({"zone", option_type::name, "", "availability zone of this host"});
    options.push_back({"operator-address", option_type::address, "127.0.0.1:0", "address of the operators' interface"});
    options.push_back({"operator-key-sha256", option_type::text, "",
                       "SHA-256 of the operator key in hexadecimal; several, separated by commas, allow a key to be "
                       "rotated"});
    options.push_back({"operator-certificate", option_type::file, "",
                       "certificate chain (PEM) of the operators' interface; with it, the interface uses TLS", true});
    options.push_back({"operator-private-key", option_type::file, "", "private key (PEM) of the certificate", true});
    options.push_back({"entry-tls", option_type::boolean, "false", "whether the entries' caller listeners use TLS"});
    options.push_back({"entry-ca-file", option_type::file, "",
                       "certificates (PEM) that sign the entries' certificates; default: those of the system", true});
    return options;
}

int report_failure(int code, const std::string& message) {
    std::cerr << "verbenahold-control: " << message << '\n';
    return code;
}

void trust_ca_file(const std::string& ca_file) {
    QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
    configuration.setCaCertificates(QSslCertificate::fromPath(QString::fromStdString(ca_file)));
    QSslConfiguration::setDefaultConfiguration(configuration);
}

int run(const QCoreApplication& application, const settings& chosen) {
    const std::vector<QByteArray> key_hashes = parse_key_hashes(chosen.text("operator-key-sha256"));
    if (key_hashes.empty()) {
        return report_failure(exit_bad_settings, "--operator-key-sha256: 64 hexadecimal digits are expected");
    }
    const std::string& certificate = chosen.text("operator-certificate");
    const std::string& private_key = chosen.text("operator-private-key");
    if (certificate.empty() != private_key.empty()) {
        return report_failure(exit_bad_settings,
                              "--operator-certificate and --operator-private-key must be given together");
    }
    if (!configure_logging(chosen.text("log-level"))) {
        return report_failure(exit_bad_settings, "--log-level: debug, info, warn or error is expected");
    }
    if (!chosen.text("entry-ca-file").empty()) {
        trust_ca_file(chosen.text("entry-ca-file"));
    }

    control_shell shell({host_name(chosen.text("host")), zone_name(chosen.text("zone")),
                         QUrl(QString::fromStdString(chosen.text("platform-url"))), chosen.boolean("entry-tls")});
    operator_listener listener(shell, key_hashes);
    const std::string tls_fault = certificate.empty() ? "" : listener.use_tls(certificate, private_key);
    if (!tls_fault.empty()) {
        return report_failure(exit_bad_settings, tls_fault);
    }
    const auto address = listener.listen_on(chosen.address("operator-address"));
    if (!address) {
        return report_failure(exit_listen_failed, "cannot listen at " + chosen.text("operator-address"));
    }
    // Leaves time for the last answers to be written before the process quits.
    constexpr std::chrono::milliseconds flush_time(200);
    shell.set_drained_action([&] { QTimer::singleShot(flush_time, &application, &QCoreApplication::quit); });
    const termination_signals termination([&] {
        listener.stop_listening();
        shell.deliver(drain_requested{});
    });
    std::cout << R"({"program":"verbenahold-control","operator":")" << address->address << "\"}" << std::endl;
    shell.start();
    return QCoreApplication::exec();
}

}  // namespace

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    const auto options = control_options();
    const auto chosen = settings::read(
        "verbenahold-control", "operators' interface, orders to engines, removal of old rows", options, argc, argv);
    if (!chosen) {
        (chosen.error().code == 0 ? std::cout : std::cerr) << chosen.error().text;
        return chosen.error().code;
    }
    return run(application, chosen.value());
}
