// Workers crash a moment after they have begun to write an answer on the harmful part.
#include "deployment.hpp"

using namespace stage;

namespace {

constexpr int events_before_crash = 2;
constexpr double harmful_from_s = 6.0;
constexpr double harmful_period_s = 2.5;
constexpr double end_s = 50.0;
constexpr int harmful_tokens = 2000;
constexpr double sound_from_s = 4.0;
constexpr double sound_period_s = 0.2;
constexpr int sound_tokens = 12000;
constexpr std::size_t crashes_before_bound = 5;
constexpr std::size_t most_arrivals = 3;

}  // namespace

int main(int argc, char** argv) {
    deployment run(argc > 1 ? argv[1] : "record.txt", {3.0, 3.0, 3.0, 3.0, 3.0, 3.0});
    run.service.events_before_crash = events_before_crash;
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
            const auto attempt = "s" + std::to_string(number);
            run.send_later(sound_threads, "single", attempt, number, sound_tokens, "5c1e07a2:40," + attempt + "aa:900",
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
    std::size_t late = 0;
    double bound_from = 0;
    if (crashes.size() >= crashes_before_bound) {
        bound_from = crashes[crashes_before_bound - 1].at + contact_s;
        for (const double at : run.service.harmful_arrivals) {
            late += at > bound_from ? 1 : 0;
        }
    }
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (const auto& each : sound) {
        const bool whole = each.seen.status == 200 && each.seen.whole;
        answered += whole ? 1 : 0;
        lost +=
            !whole && bound_from > 0 && each.sent_at > bound_from && run.service.begun.count(each.attempt) > 0 ? 1 : 0;
    }
    run.out.line("crashes ", crashes.size(), ", harmful requests at workers ", run.service.harmful_arrivals.size());
    run.out.line("harmful requests at workers after ", bound_from, " s: ", late);
    run.out.line("sound requests ", sound.size(), ", answered whole ", answered, ", begun and lost after that ", lost);
    if (answered < sound.size() / 4 || (has_trouble() && crashes.size() < crashes_before_bound)) {
        run.finish(2, "too few crashes or answers to judge");
    }
    run.finish(late > most_arrivals ? 1 : 0, std::to_string(late) + " harmful requests reached workers later than " +
                                                 "contact-ms after the fifth crash, " + std::to_string(crashes.size()) +
                                                 " crashes, " + std::to_string(lost) +
                                                 " sound answers lost after that");
}
