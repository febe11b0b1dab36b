// Stand-in of the platform for tests and experiments.
#include "fake_platform.hpp"
#include "program_start.hpp"

#include <QCoreApplication>

int main(int argc, char* argv[]) {
    namespace po = boost::program_options;
    using namespace verbenahold;
    const QCoreApplication application(argc, argv);
    standins::platform_settings settings;
    std::string address;
    std::int64_t lag_ms = 0;
    po::options_description options("fake-platform");
    options.add_options()("writes-per-second", po::value(&settings.writes_per_second)->default_value(400))(
        "reads-per-second", po::value(&settings.reads_per_second)->default_value(2000))(
        "weights-per-second", po::value(&settings.weights_per_second)->default_value(2))(
        "host-list-lag-ms", po::value(&lag_ms)->default_value(0));
    standins::read_options(argc, argv, "fake-platform", options, address);
    settings.host_list_lag = std::chrono::milliseconds(lag_ms);

    timer_service timers;
    standins::fake_platform platform(settings, timers);
    standins::standin_server server(
        [&](const standins::http_call& call, const shared_reply& reply) { platform.handle(call, reply); });
    standins::listen_and_announce(server, address);
    return QCoreApplication::exec();
}
