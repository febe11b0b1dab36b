// Case 13: one part of long prompts crashes each model worker that begins to write
// an answer on it. Shows whether requests with that part are kept from the workers, and how sound
// requests with the same key and the same other parts fare.
#include "review3_engine.hpp"

using namespace review3;

namespace {

constexpr int worker_count = 8;
constexpr int part_count = 150;
constexpr int tokens_per_part = 40;

// All parts but the last are shared. In the requests that crash workers, the crashing part takes
// the place of the one at `crashing_at`, counted from 1; 0 for a sound request.
std::string prompt_prefix(int number, int crashing_at) {
    std::string text;
    for (int part = 1; part < part_count; ++part) {
        char id[16];
        std::snprintf(id, sizeof id, "5c1e%04x", static_cast<unsigned>(part));
        text += (part == crashing_at ? crashing_part : std::string(id)) + ":" + std::to_string(tokens_per_part) + ",";
    }
    char own[16];
    std::snprintf(own, sizeof own, "e440%04x", static_cast<unsigned>(number));
    return text + own + ":250";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        return could_not_run;
    }
    const std::string folder = argv[1];
    const std::string ip = argv[3];
    const bool trouble = environment_number("TROUBLE", 1) != 0;
    const int crashing_at = environment_number("PART_AT", 120);
    recorder record(argv[2]);
    store registry(ip);
    observations seen;
    std::vector<std::unique_ptr<engine_worker>> workers;
    for (int number = 0; number < worker_count; ++number) {
        workers.push_back(std::make_unique<engine_worker>(registry, record, seen, ip, number));
    }
    registry.put("op", "config", engine_desired_state(10'000, 300, 250));
    const auto daemons = start_daemons(folder, ip, 2, registry, record);
    if (daemons.empty()) {
        return could_not_run;
    }
    record.add("two daemons and " + std::to_string(worker_count) + " workers are ready; prompts of " +
               std::to_string(part_count) + " parts, the crashing part is number " + std::to_string(crashing_at));
    const auto begun = steady::now();
    const auto trouble_at = begun + milliseconds(8000);
    const auto end_at = trouble_at + milliseconds(40'000);
    const int tokens = (part_count - 1) * tokens_per_part + 250;
    model_clients clients(record, daemons, milliseconds(10'000));
    auto next_sound = begun;
    auto next_bad = trouble_at;
    while (steady::now() < end_at) {
        const auto now = steady::now();
        if (now >= next_sound) {
            next_sound += milliseconds(160);
            clients.send(false, tokens, [](int number) { return prompt_prefix(number, 0); });
        }
        if (trouble && now >= next_bad) {
            next_bad += milliseconds(1200);
            clients.send(true, tokens, [&](int number) { return prompt_prefix(number, crashing_at); });
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
