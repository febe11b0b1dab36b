// All daemons are killed at the same moment after they have learned which requests crash
// workers.
#include "deployment.hpp"

using namespace stage;

namespace {

constexpr double first_harmful_s = 6.0;
constexpr double harmful_period_s = 5.0;
constexpr double kill_s = 21.5;
constexpr double down_s = 1.0;
constexpr double end_s = 60.0;
constexpr int harmful_tokens = 2000;
constexpr double sound_from_s = 4.0;
constexpr double sound_period_s = 0.2;
constexpr int sound_tokens = 12000;
constexpr std::size_t crashes_before_bound = 5;
constexpr std::size_t most_arrivals = 3;

}  // namespace

int main(int argc, char** argv) {
    deployment run(argc > 1 ? argv[1] : "record.txt", {3.0, 3.0, 3.0, 3.0, 3.0, 3.0});
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
    double back_at = 0;
    std::vector<std::thread> harmful_threads;
    std::thread harmful_sender([&] {
        std::size_t number = 0;
        for (double at = first_harmful_s; at < end_s; at += harmful_period_s) {
            sleep_s(at - seconds());
            ++number;
            run.send_later(harmful_threads, "panel", "h" + std::to_string(number), number, harmful_tokens,
                           run.harmful_parts);
        }
    });
    sleep_s(kill_s - seconds());
    if (has_trouble()) {
        run.kill_all_daemons();
        sleep_s(down_s);
        back_at = seconds();
        if (!run.restart_daemons()) {
            run.finish(2, "the daemons did not start again");
        }
    }
    sound_sender.join();
    harmful_sender.join();
    for (auto* threads : {&sound_threads, &harmful_threads}) {
        for (auto& each : *threads) {
            each.join();
        }
    }

    const std::lock_guard lock(run.service.mutex);
    const auto& crashes = run.service.crashes;
    if (crashes.size() < crashes_before_bound) {
        run.finish(2, "too few crashes to judge");
    }
    // What daemons in touch sent later than contact-ms after the fifth crash. Before the kill
    // all have run since the start.
    const double bound_from = crashes[crashes_before_bound - 1].at + contact_s;
    std::size_t late = 0;
    for (const double at : run.service.harmful_arrivals) {
        const bool in_touch = back_at == 0 || at < kill_s || at > back_at + contact_s;
        late += at > bound_from && in_touch ? 1 : 0;
    }
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (const auto& each : sound) {
        const bool whole = each.seen.status == 200 && each.seen.whole;
        answered += whole ? 1 : 0;
        lost +=
            each.sent_at > std::max(kill_s, back_at + contact_s) && !whole && run.service.begun.count(each.attempt) > 0
                ? 1
                : 0;
    }
    run.out.line("crashes ", crashes.size(), ", harmful requests at workers ", run.service.harmful_arrivals.size());
    run.out.line("harmful requests at workers after ", bound_from, " s, sent by daemons in touch: ", late);
    run.out.line("sound requests ", sound.size(), ", answered whole ", answered);
    run.finish(late > most_arrivals ? 1 : 0, std::to_string(late) + " harmful requests reached workers later than " +
                                                 "contact-ms after the fifth crash, " + std::to_string(crashes.size()) +
                                                 " crashes, " + std::to_string(lost) +
                                                 " sound answers lost after the restart");
}
