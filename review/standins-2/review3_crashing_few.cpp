// Case 13: a model service of three workers, and requests with a part that crashes each worker
// that begins to write an answer on it. Shows how sound requests with the same key and the same
// other parts fare once the crashes are over.
#include "review3_engine.hpp"

using namespace review3;

namespace {

constexpr int worker_count = 3;

std::string own_part(int number, int tokens) {
    char own[32];
    std::snprintf(own, sizeof own, "e440%04x:%d", static_cast<unsigned>(number), tokens);
    return own;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        return could_not_run;
    }
    const std::string folder = argv[1];
    const std::string ip = argv[3];
    const bool trouble = environment_number("TROUBLE", 1) != 0;
    const int sound_tokens = environment_number("SOUND_TOKENS", 90'000);
    const int sound_gap_ms = environment_number("SOUND_GAP_MS", 700);
    const int bad_gap_ms = environment_number("BAD_GAP_MS", 250);
    const int bad_tokens = environment_number("BAD_TOKENS", 12'000);
    recorder record(argv[2]);
    store registry(ip);
    observations seen;
    std::vector<std::unique_ptr<engine_worker>> workers;
    for (int number = 0; number < worker_count; ++number) {
        workers.push_back(std::make_unique<engine_worker>(registry, record, seen, ip, number));
    }
    registry.put("op", "config", engine_desired_state(10'000, 1500, 600));
    const auto daemons = start_daemons(folder, ip, 3, registry, record);
    if (daemons.empty()) {
        return could_not_run;
    }
    record.add("three daemons and three workers are ready");
    const auto begun = steady::now();
    const auto trouble_at = begun + milliseconds(17'000);
    const auto end_at = trouble_at + milliseconds(28'000);
    model_clients clients(record, daemons, milliseconds(10'000));
    auto next_sound = begun;
    auto next_bad = trouble_at;
    int bad_sent = 0;
    while (steady::now() < end_at) {
        const auto now = steady::now();
        if (now >= next_sound) {
            next_sound += milliseconds(sound_gap_ms);
            clients.send(false, sound_tokens, [&](int number) {
                return "5c1e07a2:40,91bd3f06:1000," + own_part(number, sound_tokens - 1040);
            });
        }
        if (trouble && now >= next_bad) {
            next_bad += milliseconds(++bad_sent < 3 ? bad_gap_ms : 1000);
            clients.send(true, bad_tokens, [&](int number) {
                return "5c1e07a2:40,91bd3f06:1000," + crashing_part + ":410," + own_part(number, bad_tokens - 1450);
            });
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    const auto sound = clients.finish();
    workers.clear();
    const auto found = judge_crashes(record, seen, sound, trouble_at, trouble);
    if (!found.could_judge) {
        return could_not_run;
    }
    return found.budget_broken || found.lost_broken ? rule_broken : rule_held;
}
