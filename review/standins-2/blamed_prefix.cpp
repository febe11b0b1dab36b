// Sound requests share the first part of their prompts with requests that crash workers.
#include "deployment.hpp"

using namespace stage;

namespace {

constexpr double sound_from_s = 4.0;
constexpr double sound_period_s = 0.3;
constexpr double harmful_from_s = 16.0;
constexpr double harmful_period_s = 0.3;
constexpr double end_s = 62.0;
constexpr int sound_tokens = 45000;
constexpr int harmful_tokens = 2000;
constexpr std::size_t least_requests = 20;

}  // namespace

int main(int argc, char** argv) {
    deployment run(argc > 1 ? argv[1] : "record.txt", {3.0, 4.0, 5.0});
    if (!run.start()) {
        run.finish(2, "the deployment did not start");
    }
    std::vector<sound_request> sound;
    std::vector<std::thread> sound_threads;
    std::thread sound_sender([&] {
        std::size_t number = 0;
        for (double at = std::max(sound_from_s, seconds()); at < end_s; at += sound_period_s) {
            sleep_s(at - seconds());
            ++number;
            // Apart from the first one, the parts of sound prompts are their own.
            const auto attempt = "s" + std::to_string(number);
            run.send_later(sound_threads, "panel", attempt, number, sound_tokens, "5c1e07a2:40," + attempt + "aa:900",
                           &sound);
        }
    });
    std::vector<std::thread> harmful_threads;
    std::thread harmful_sender([&] {
        std::size_t number = 0;
        for (double at = harmful_from_s; has_trouble() && at < end_s; at += harmful_period_s) {
            sleep_s(at - seconds());
            ++number;
            run.send_later(harmful_threads, "panel", "h" + std::to_string(number), number, harmful_tokens,
                           run.harmful_parts);
        }
    });
    sound_sender.join();
    harmful_sender.join();
    for (auto* threads : {&sound_threads, &harmful_threads}) {
        for (auto& each : *threads) {
            each.join();
        }
    }

    const std::lock_guard lock(run.service.mutex);
    const auto& crashes = run.service.crashes;
    // From 2 x contact-ms after the fifth crash, or the last one if there are fewer.
    const double last_crash =
        crashes.empty() ? harmful_from_s : crashes[std::min<std::size_t>(4, crashes.size() - 1)].at;
    const double judged_from = last_crash + 2 * contact_s;
    std::size_t before = 0;
    std::size_t begun_before = 0;
    std::size_t after = 0;
    std::size_t begun_after = 0;
    std::size_t refused_after = 0;
    for (const auto& each : sound) {
        const std::size_t begun = run.service.begun.count(each.attempt);
        if (each.sent_at < harmful_from_s - 2) {
            ++before;
            begun_before += begun;
        } else if (each.sent_at >= judged_from) {
            ++after;
            begun_after += begun;
            refused_after += each.seen.status == 503 ? 1 : 0;
        }
    }
    run.out.line("crashes ", crashes.size(), ", harmful requests at workers ", run.service.harmful_arrivals.size());
    run.out.line("sound requests before: ", before, ", begun ", begun_before);
    run.out.line("sound requests from ", judged_from, " s on: ", after, ", begun ", begun_after, ", refused with 503 ",
                 refused_after);
    if (before < least_requests || after < least_requests || begun_before < before / 2) {
        run.finish(2, "too few requests to judge");
    }
    const double share_before = static_cast<double>(begun_before) / static_cast<double>(before);
    const double share_after = static_cast<double>(begun_after) / static_cast<double>(after);
    run.finish(share_after < share_before / 2 ? 1 : 0,
               std::to_string(begun_before) + " of " + std::to_string(before) + " sound requests begun before, " +
                   std::to_string(begun_after) + " of " + std::to_string(after) + " after, " +
                   std::to_string(crashes.size()) + " crashes");
}
