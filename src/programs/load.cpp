// Open-loop load generator.
#include "load_client.hpp"
#include "load_report.hpp"

#include <boost/program_options.hpp>

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>

#include <iostream>
#include <stdexcept>

namespace {

using namespace verbenahold;
using standins::load_settings;
namespace po = boost::program_options;

constexpr int exit_bad_usage = 2;
constexpr int exit_write_failed = 3;

// Options as given on the command line, before conversion to load_settings.
struct raw_options {
    std::vector<std::string> accounts;
    std::vector<std::string> zone_events;
    double length_s = 30;
    double deadline_s = 30;
    double huge_deadline_s = 300;
};

po::options_description describe(load_settings& to, raw_options& raw) {
    po::options_description options("verbenahold-load");
    auto add = options.add_options();
    add("help", "show the options");
    add("entry", po::value(&to.entries)->required(), "address of an entry (IP:port); may be repeated");
    add("zone", po::value(&to.zone), "availability zone that the callers say they are in");
    add("account", po::value(&raw.accounts)->required(), "account KEY or KEY:WEIGHT; may be repeated");
    add("model", po::value(&to.model)->required(), "model service");
    add("service", po::value(&to.service), "plain service; needed for orders and lookups");
    add("rate", po::value(&to.rate)->default_value(to.rate), "requests a second");
    add("duration-s", po::value(&raw.length_s)->default_value(raw.length_s));
    add("seed", po::value(&to.seed)->default_value(to.seed));
    add("order-share", po::value(&to.order_share)->default_value(to.order_share));
    add("lookup-share", po::value(&to.lookup_share)->default_value(to.lookup_share));
    add("huge-share", po::value(&to.huge_share)->default_value(to.huge_share), "share above 100,000 prompt tokens");
    add("length-cap", po::value(&to.max_prompt_tokens)->default_value(to.max_prompt_tokens),
        "longest prompt in tokens");
    add("drop-above", po::value(&to.drop_above_tokens)->default_value(to.drop_above_tokens),
        "leave longer prompts out of the plan and all else as it is");
    add("shared-prefix", po::value(&to.shared_prefix_tokens)->default_value(to.shared_prefix_tokens),
        "tokens that the prompts of an account begin with");
    add("output-tokens", po::value(&to.max_output_tokens)->default_value(to.max_output_tokens), "longest answer");
    add("deadline-s", po::value(&raw.deadline_s)->default_value(raw.deadline_s));
    add("huge-deadline-s", po::value(&raw.huge_deadline_s)->default_value(raw.huge_deadline_s),
        "deadline above 100,000 prompt tokens");
    add("control", po::value(&to.controls), "address of a control process; may be repeated");
    add("operator-key", po::value(&to.operator_key));
    add("zone-event", po::value(&raw.zone_events), "SECOND:ZONE:in or SECOND:ZONE:out; may be repeated");
    add("service-address", po::value(&to.service_addresses),
        "address of a fake service, to count executions; may be repeated");
    add("json", po::value(&to.json_file)->default_value("-"), "file for the result; - is standard output");
    add("svg", po::value(&to.svg_file), "file for the picture");
    return options;
}

duration to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

standins::load_account parse_account(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 1};
    }
    return {text.substr(0, colon), std::stod(text.substr(colon + 1))};
}

standins::zone_event parse_zone_event(const std::string& text) {
    const std::size_t first = text.find(':');
    const std::size_t last = text.rfind(':');
    const std::string state = last == std::string::npos ? "" : text.substr(last + 1);
    if (first == last || (state != "in" && state != "out")) {
        throw std::invalid_argument("--zone-event must be SECOND:ZONE:in or SECOND:ZONE:out, not " + text);
    }
    return {to_duration(std::stod(text.substr(0, first))), text.substr(first + 1, last - first - 1), state};
}

// Checks and converts the options. Throws an exception that names the invalid
// option.
void convert_options(const raw_options& raw, load_settings& to) {
    for (const std::string& account : raw.accounts) {
        to.accounts.push_back(parse_account(account));
    }
    for (const std::string& event : raw.zone_events) {
        to.zone_events.push_back(parse_zone_event(event));
    }
    to.length = to_duration(raw.length_s);
    to.deadline = to_duration(raw.deadline_s);
    to.huge_deadline = to_duration(raw.huge_deadline_s);
    if (to.rate <= 0) {
        throw std::invalid_argument("--rate must be above 0");
    }
    if (to.service.empty() && to.order_share + to.lookup_share > 0) {
        throw std::invalid_argument("--service is needed unless --order-share and --lookup-share are 0");
    }
    if (!to.zone_events.empty() && to.controls.empty()) {
        throw std::invalid_argument("--control is needed for --zone-event");
    }
    if (to.max_prompt_tokens < standins::min_prompt_tokens) {
        throw std::invalid_argument("--length-cap must be at least " + std::to_string(standins::min_prompt_tokens));
    }
}

bool write_file(const std::string& name, const QByteArray& bytes) {
    if (name.empty()) {
        return true;
    }
    QFile file(QString::fromStdString(name));
    const bool opened = name == "-" ? file.open(stdout, QIODevice::WriteOnly) : file.open(QIODevice::WriteOnly);
    return opened && file.write(bytes) == bytes.size();
}

}  // namespace

int main(int argc, char* argv[]) {
    const QCoreApplication application(argc, argv);
    load_settings settings;
    raw_options raw;
    const po::options_description options = describe(settings, raw);
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << options << '\n';
            return 0;
        }
        po::notify(values);
        convert_options(raw, settings);
    } catch (const std::exception& error) {
        std::cerr << "verbenahold-load: " << error.what() << '\n';
        return exit_bad_usage;
    }
    timer_service timers;
    standins::load_client client(settings, timers);
    client.run([] { QCoreApplication::quit(); });
    QCoreApplication::exec();
    const QByteArray report = QJsonDocument(standins::make_report(settings, client)).toJson();
    const QByteArray chart = QByteArray::fromStdString(standins::draw_chart(settings, client));
    const bool written = write_file(settings.json_file, report) && write_file(settings.svg_file, chart);
    if (!written) {
        std::cerr << "verbenahold-load: cannot write the result\n";
    }
    return written ? 0 : exit_write_failed;
}
