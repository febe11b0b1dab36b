// Stand-in of a model engine for tests and experiments.
#include "fake_engine.hpp"
#include "program_start.hpp"

#include <QCoreApplication>

namespace {

using namespace verbenahold;
namespace po = boost::program_options;

// Options that are durations in milliseconds.
struct millisecond_options {
    std::int64_t decode_step = 0;
    std::int64_t load_lag = 0;
    std::int64_t event_lag = 0;
    std::int64_t model_load = 0;
    std::int64_t collapse = 0;
};

po::options_description describe(standins::fake_engine_settings& settings, millisecond_options& times) {
    standins::engine_settings& model = settings.model;
    po::options_description options("fake-engine");
    options.add_options()("prefill-tokens-per-second",
                          po::value(&model.prefill_tokens_per_second)->default_value(20'000))(
        "decode-step-ms", po::value(&times.decode_step)->default_value(30))(
        "decode-step-growth", po::value(&model.decode_step_growth)->default_value(0.01),
        "part of the step time that each further stream adds")("kv-tokens",
                                                               po::value(&model.kv_tokens)->default_value(400'000))(
        "max-batch", po::value(&model.max_batch)->default_value(16))(
        "prefix-cache-tokens", po::value(&model.prefix_cache_tokens)->default_value(200'000))(
        "cold-capacity", po::value(&model.cold_capacity)->default_value(2))(
        "warm-after", po::value(&model.warm_after)->default_value(4), "completions that end the cold phase")(
        "start-cold", po::value(&model.starts_cold)->default_value(true))(
        "collapse-ms", po::value(&times.collapse)->default_value(2000))(
        "model-load-ms", po::value(&times.model_load)->default_value(2000))(
        "model-version", po::value(&model.model_version)->default_value("1"))(
        "load-lag-ms", po::value(&times.load_lag)->default_value(200))("event-lag-ms",
                                                                       po::value(&times.event_lag)->default_value(500))(
        "platform-url", po::value(&settings.platform_url)->default_value(""),
        "where weights are fetched before a model load")("check-fence",
                                                         po::value(&settings.checks_fence)->default_value(true))(
        "crash-marker", po::value(&settings.crash_marker)->default_value(settings.crash_marker))(
        "time-scale", po::value(&model.time_scale)->default_value(1), "engine time per real time");
    return options;
}

}  // namespace

int main(int argc, char* argv[]) {
    using std::chrono::milliseconds;
    const QCoreApplication application(argc, argv);
    standins::fake_engine_settings settings;
    millisecond_options times;
    std::string address;
    po::options_description options = describe(settings, times);
    standins::read_options(argc, argv, "fake-engine", options, address);
    settings.model.decode_step = milliseconds(times.decode_step);
    settings.model.event_lag = milliseconds(times.event_lag);
    settings.model_load_time = milliseconds(times.model_load);
    settings.model.collapse_time = milliseconds(times.collapse);
    settings.load_lag = milliseconds(times.load_lag);

    timer_service timers;
    standins::fake_engine engine(settings, timers);
    standins::standin_server server(
        [&](const standins::http_call& call, const shared_reply& reply) { engine.handle(call, reply); });
    standins::listen_and_announce(server, address);
    return QCoreApplication::exec();
}
