// Stand-in of a plain service for tests and experiments.
#include "fake_service.hpp"
#include "program_start.hpp"

#include <QCoreApplication>

int main(int argc, char* argv[]) {
    namespace po = boost::program_options;
    using namespace verbenahold;
    const QCoreApplication application(argc, argv);
    standins::service_settings settings;
    std::string address;
    std::int64_t latency_ms = 0;
    po::options_description options("fake-service");
    options.add_options()("latency-ms", po::value(&latency_ms)->default_value(20))(
        "capacity", po::value(&settings.capacity)->default_value(64), "calls that run at once");
    standins::read_options(argc, argv, "fake-service", options, address);
    settings.latency = std::chrono::milliseconds(latency_ms);

    timer_service timers;
    standins::fake_service service(settings, timers);
    standins::standin_server server(
        [&](const standins::http_call& call, const shared_reply& reply) { service.handle(call, reply); });
    standins::listen_and_announce(server, address);
    return QCoreApplication::exec();
}
