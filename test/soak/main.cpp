// Runs serving daemons as processes under load and faults, and judges what their callers,
// servers and operator saw. Ends with 1 if a rule was broken, and with 2 if the run
// could not be played.
#include "fault_series.hpp"
#include "fleet.hpp"
#include "judge.hpp"
#include "soak_options.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <sys/resource.h>

namespace {

using namespace verbenahold::soak;

constexpr double last_answers_ms = 17'000;
constexpr double memory_rest_ms = 4'500;

void raise_descriptor_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

// Logs and settings of an earlier run are removed.
void prepare_folder(const std::filesystem::path& folder) {
    std::filesystem::create_directories(folder);
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        const auto extension = entry.path().extension();
        if (extension == ".log" || extension == ".json") {
            std::filesystem::remove(entry.path());
        }
    }
}

// How late the stand-ins ran at worst, in milliseconds.
double largest_delay_ms = 0;

awaitable<void> measure_delay() {
    constexpr double period_ms = 20;
    for (;;) {
        const double due = now_ms() + period_ms;
        co_await pause_ms(period_ms);
        largest_delay_ms = std::max(largest_delay_ms, now_ms() - due);
    }
}

awaitable<void> play(fleet& all, const soak_options& options, io_context& loop) {
    boost::asio::co_spawn(loop, measure_delay(), boost::asio::detached);
    co_await all.start();
    const double ends = now_ms() + options.seconds * 1'000;
    for (const auto& fault : known_faults()) {
        if (std::find(options.faults.begin(), options.faults.end(), fault.name) != options.faults.end()) {
            boost::asio::co_spawn(loop, play_series(all, fault), boost::asio::detached);
        }
    }
    while (now_ms() < ends) {
        co_await pause_ms(100);
    }
    all.stopping = true;
    all.load->stop();
    all.notes.note("end of the load");
    for (const double latest = now_ms() + last_answers_ms; all.load->open_requests() > 0 && now_ms() < latest;) {
        co_await pause_ms(100);
    }
    co_await pause_ms(memory_rest_ms);
    loop.stop();
}

int report(const fleet& all, const soak_options& options) {
    const auto found = judge(all.notes);
    std::string faults;
    for (const auto& name : options.faults) {
        faults += (faults.empty() ? "" : ",") + name;
    }
    std::printf("seed %llu, hosts %d, faults %s\n", static_cast<unsigned long long>(options.seed), options.hosts,
                faults.empty() ? "none" : faults.c_str());
    std::printf("requests %zu, reservations %zu, largest daemon %zu MiB (%s), stand-ins late by %.0f ms at most\n",
                all.notes.requests.size(), all.notes.reservations.size(), all.peak_memory >> 20U,
                all.peak_memory_host.c_str(), largest_delay_ms);
    std::string outcomes;
    for (const auto& [name, count] : found.outcomes) {
        outcomes += (outcomes.empty() ? "" : "; ") + name + ": " + std::to_string(count);
    }
    std::printf("outcomes: %s\n", outcomes.c_str());
    std::ofstream cases(options.folder + "/cases.txt");
    std::ofstream events(options.folder + "/events.txt");
    for (const auto& [at, text] : all.notes.events) {
        events << time_text(at) << ' ' << text << '\n';
    }
    for (const auto* group : {&found.noted, &found.broken}) {
        const bool is_broken = group == &found.broken;
        for (const auto& [rule, all_cases] : *group) {
            std::printf("%s %s: %zu\n", is_broken ? "BROKEN" : "noted", rule.c_str(), all_cases.size());
            for (std::size_t number = 0; number < all_cases.size(); ++number) {
                const auto text = time_line(all_cases[number], all.notes, options.folder);
                cases << text;
                if (is_broken && number < options.printed_cases) {
                    std::printf("%s", text.c_str());
                }
            }
        }
    }
    if (all.notes.requests.empty() || !found.outcomes.contains("200")) {
        std::printf("nothing was served\n");
        return 2;
    }
    return found.broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
    const auto options = read_options(argc, argv);
    if (!options) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptor_limit();
    int code = 2;
    try {
        prepare_folder(options->folder);
        io_context loop(1);
        fleet all(loop, *options);
        boost::asio::co_spawn(loop, play(all, *options, loop), boost::asio::detached);
        loop.run();
        code = report(all, *options);
        all.daemons.clear();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "soak: %s\n", error.what());
    }
    std::fflush(nullptr);
    // Coroutines that are still waiting refer to parts that are gone by now.
    std::_Exit(code);
}
