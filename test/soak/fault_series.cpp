#include "fault_series.hpp"

#include <algorithm>
#include <array>
#include <csignal>

namespace verbenahold::soak {

namespace {

double between(fleet& all, double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(all.random);
}

// ---- processes ----

awaitable<void> stop_in_turn(fleet& all) {
    const auto which = co_await all.take_daemon();
    co_await all.stop_and_start(which, between(all, 0, 600));
    all.taken_daemons.erase(which);
}

awaitable<void> kill_process(fleet& all) {
    const auto which = co_await all.take_daemon();
    auto& daemon = *all.daemons[which];
    const auto span = open_span(all.notes.host_impairments[daemon.name()], "SIGKILL");
    all.notes.note("SIGKILL " + daemon.name());
    daemon.expect_end();
    daemon.signal(SIGKILL);
    while (daemon.is_running()) {
        co_await pause_ms(20);
    }
    co_await pause_ms(between(all, 200, 2'500));
    daemon.start();
    all.notes.note("start " + daemon.name());
    close_span(all.notes.host_impairments[daemon.name()], span);
    co_await all.wait_until_ready(which, 10'000);
    all.taken_daemons.erase(which);
}

awaitable<void> kill_all(fleet& all) {
    std::vector<std::pair<std::size_t, std::size_t>> killed;
    for (std::size_t which = 0; which < all.daemons.size(); ++which) {
        auto& daemon = *all.daemons[which];
        if (daemon.is_running() && all.taken_daemons.insert(which).second) {
            killed.emplace_back(which, open_span(all.notes.host_impairments[daemon.name()], "SIGKILL of all"));
            daemon.expect_end();
            daemon.signal(SIGKILL);
        }
    }
    all.notes.note("SIGKILL of all daemons");
    co_await pause_ms(between(all, 300, 2'000));
    for (const auto& [which, span] : killed) {
        auto& daemon = *all.daemons[which];
        while (daemon.is_running()) {
            co_await pause_ms(20);
        }
        daemon.start();
        close_span(all.notes.host_impairments[daemon.name()], span);
    }
    for (const auto& [which, span] : killed) {
        co_await all.wait_until_ready(which, 10'000);
        all.taken_daemons.erase(which);
    }
    all.notes.note("all daemons started");
}

awaitable<void> freeze_process(fleet& all) {
    const auto which = co_await all.take_daemon();
    auto& daemon = *all.daemons[which];
    const auto span = open_span(all.notes.host_impairments[daemon.name()], "SIGSTOP");
    all.notes.note("SIGSTOP " + daemon.name());
    daemon.signal(SIGSTOP);
    co_await pause_ms(between(all, 300, 4'500));
    daemon.signal(SIGCONT);
    all.notes.note("SIGCONT " + daemon.name());
    close_span(all.notes.host_impairments[daemon.name()], span);
    all.taken_daemons.erase(which);
}

awaitable<void> slow_process(fleet& all) {
    const auto which = co_await all.take_daemon();
    auto& daemon = *all.daemons[which];
    const auto span = open_span(all.notes.host_impairments[daemon.name()], "slow");
    all.notes.note("slow " + daemon.name());
    constexpr double stopped_ms = 80;
    constexpr double running_ms = 20;
    for (const double until = now_ms() + between(all, 2'000, 5'000); now_ms() < until && !all.stopping;) {
        daemon.signal(SIGSTOP);
        co_await pause_ms(stopped_ms);
        daemon.signal(SIGCONT);
        co_await pause_ms(running_ms);
    }
    all.notes.note("no longer slow " + daemon.name());
    close_span(all.notes.host_impairments[daemon.name()], span);
    all.taken_daemons.erase(which);
}

awaitable<void> reload_settings(fleet& all) {
    const auto which = static_cast<std::size_t>(between(all, 0, static_cast<double>(all.daemons.size()) - 0.001));
    auto& daemon = *all.daemons[which];
    // Before a program handles the signal, its default action ends it.
    if (!daemon.is_running() || all.taken_daemons.contains(which)) {
        co_return;
    }
    daemon.write_settings(static_cast<int>(all.random() % 7));
    constexpr double apply_ms = 2'000;
    all.notes.note("SIGHUP " + daemon.name());
    all.notes.reloads[daemon.name()].push_back({now_ms(), now_ms() + apply_ms, "SIGHUP"});
    daemon.signal(SIGHUP);
}

// ---- operator ----

awaitable<void> change_config(fleet& all) {
    switch (all.random() % 3) {
        case 0:
            all.wanted.orders_moved = !all.wanted.orders_moved;
            break;
        case 1:
            all.wanted.added_routes = static_cast<int>(all.random() % 40);
            break;
        default:
            all.wanted.longer_time_limits = between(all, 1, 2);
            break;
    }
    all.change_desired_state();
    co_return;
}

awaitable<void> config_storm(fleet& all) {
    for (int count = 0; count < 12 && !all.stopping; ++count) {
        co_await change_config(all);
        co_await pause_ms(between(all, 50, 400));
    }
}

awaitable<void> take_keys(fleet& all) {
    all.wanted.more_keys = {"key-" + std::to_string(all.random() % 1'000)};
    all.change_desired_state();
    co_await pause_ms(between(all, 500, 3'000));
    all.wanted.more_keys.clear();
    all.change_desired_state();
}

awaitable<void> evacuate_zone(fleet& all) {
    const std::array<std::string, 3> zones{"zone-a", "zone-b", "zone-c"};
    const auto zone = zones[all.random() % zones.size()];
    all.notes.note("evacuate " + zone);
    all.store.put("op", "evacuate/" + zone, "{}");
    co_await pause_ms(between(all, 3'000, 8'000));
    all.store.remove("op", "evacuate/" + zone);
    all.notes.note("evacuation over " + zone);
}

// ---- servers ----

std::string_view name_of(misbehaviour which) {
    constexpr std::array<std::string_view, 20> names{
        "full",         "silent",       "dark",       "slow",      "reset before",      "reset mid",
        "answer lost",  "own failures", "surplus",    "late copy", "late copy unnamed", "late copy of order",
        "wrong length", "no length",    "broken off", "hang",      "endless",           "idle drop",
        "order late",   "few channels"};
    return names.at(static_cast<std::size_t>(which));
}

// Up to one of `part` servers meets the fault.
template <misbehaviour which, int share_percent, int part>
awaitable<void> misbehave(fleet& all) {
    std::vector<std::string> ids;
    const auto most = std::max<std::size_t>(3, all.servers.size() / part);
    const auto count = 1 + all.random() % most;
    std::vector<backend_server*> chosen;
    std::vector<std::size_t> spans;
    for (std::size_t number = 0; number < count; ++number) {
        auto* server = all.servers[all.random_server()].get();
        if (std::find(chosen.begin(), chosen.end(), server) != chosen.end()) {
            continue;
        }
        server->set_fault(which, share_percent / 100.0);
        chosen.push_back(server);
        const std::string name(name_of(which));
        spans.push_back(open_span(all.notes.server_impairments[server->id()], name));
        all.notes.note(name + " begins at " + server->id());
    }
    co_await pause_ms(between(all, 2'000, 6'000));
    for (std::size_t number = 0; number < chosen.size(); ++number) {
        chosen[number]->set_fault(which, 0);
        close_span(all.notes.server_impairments[chosen[number]->id()], spans[number]);
        all.notes.note(std::string(name_of(which)) + " ends at " + chosen[number]->id());
    }
}

// A full fleet: requests wait in the engines' queues and are rejected.
awaitable<void> fill_servers(fleet& all) {
    constexpr std::int64_t foreign_tokens = 290'000;
    std::vector<backend_server*> chosen;
    for (const auto& server : all.servers) {
        if (server->engine() != nullptr && server->is_running() && all.random() % 3 != 0) {
            server->engine()->foreign_tokens = foreign_tokens;
            chosen.push_back(server.get());
        }
    }
    all.notes.note("memory of " + std::to_string(chosen.size()) + " engines taken");
    co_await pause_ms(between(all, 4'000, 14'000));
    for (auto* server : chosen) {
        server->engine()->foreign_tokens = 0;
    }
    all.notes.note("memory of engines free");
}

awaitable<void> drain_server(fleet& all) {
    auto* server = all.servers[all.random_server()].get();
    server->state = "draining";
    all.publish(*server);
    all.notes.note("draining " + server->id());
    constexpr double drain_ms = 2'000;
    co_await pause_ms(drain_ms + between(all, 500, 3'000));
    const auto service = server->service();
    const auto zone = server->zone;
    all.store.remove("servers", server->id());
    open_span(all.notes.server_impairments[server->id()], "left");
    server->crash();
    all.notes.note("left " + server->id());
    co_await pause_ms(between(all, 200, 1'500));
    const auto& added = all.add_server(service, zone);
    all.notes.note("new server " + added.id());
}

awaitable<void> crash_server(fleet& all) {
    auto* server = all.servers[all.random_server()].get();
    const auto service = server->service();
    const auto zone = server->zone;
    const auto address = server->address();
    const auto span = open_span(all.notes.server_impairments[server->id()], "crash");
    server->crash();
    all.notes.note("crash " + server->id());
    const auto way = all.random() % 3;
    if (way == 0) {
        co_await pause_ms(between(all, 500, 3'000));
        server->restart();
        all.publish(*server);
        close_span(all.notes.server_impairments[server->id()], span);
        all.notes.note("restart under the same id " + server->id());
        co_return;
    }
    co_await pause_ms(between(all, 2'000, 3'600));
    // Three reports are missing.
    all.store.remove("servers", server->id());
    // The address is used again, by the same or the other service.
    const auto next = way == 1 ? service : service == "shop" ? "shop-b" : service == "shop-b" ? "shop" : service;
    const auto& added = all.add_server(next, zone, address);
    all.notes.note("new server " + added.id() + " of " + next + " at the address of " + server->id());
}

// ---- store ----

awaitable<void> store_fault(fleet& all, std::string_view name, double* value, double usual, double faulty) {
    const std::string what(name);
    const auto span = open_span(all.notes.store_impairments, what);
    all.notes.note(what);
    *value = faulty;
    co_await pause_ms(between(all, 2'000, 6'000));
    *value = usual;
    close_span(all.notes.store_impairments, span);
    all.notes.note(what + ": over");
}

awaitable<void> store_down(fleet& all) {
    co_await store_fault(all, "store down", &all.store.refused, 0, 1);
}

awaitable<void> store_resets(fleet& all) {
    co_await store_fault(all, "store resets", &all.store.reset, 0, 0.8);
}

awaitable<void> store_slow(fleet& all) {
    co_await store_fault(all, "store slow", &all.store.answer_ms, 4, 240);
}

awaitable<void> store_answers_lost(fleet& all) {
    co_await store_fault(all, "store answers lost", &all.store.unanswered, 0, 0.35);
}

awaitable<void> store_refuses_some(fleet& all) {
    co_await store_fault(all, "store refuses some", &all.store.refused_channels, 0, 0.4);
}

awaitable<void> store_returns(fleet& all) {
    all.store.take_copy();
    co_await pause_ms(between(all, 1'000, 4'000));
    const auto span = open_span(all.notes.store_impairments, "store returns from a copy");
    all.notes.note("store away");
    all.store.refused = 1;
    co_await pause_ms(between(all, 300, 1'000));
    all.store.return_from_copy();
    all.store.refused = 0;
    all.notes.note("store back from its copy");
    close_span(all.notes.store_impairments, span);
}

awaitable<void> store_forgets(fleet& all) {
    const auto span = open_span(all.notes.store_impairments, "store forgets its history");
    all.notes.note("store forgets its history");
    all.store.forget_history();
    co_await pause_ms(100);
    close_span(all.notes.store_impairments, span);
}

// ---- load ----

awaitable<void> habit_fault(fleet& all, double* habit, double usual, double faulty, std::string_view name) {
    const std::string what(name);
    all.notes.note(what);
    *habit = faulty;
    co_await pause_ms(between(all, 2'000, 5'000));
    *habit = usual;
    all.notes.note(what + ": over");
}

awaitable<void> burst(fleet& all) {
    co_await habit_fault(all, &all.habits.burst, 1, 3, "burst");
}

awaitable<void> overload(fleet& all) {
    co_await habit_fault(all, &all.habits.burst, 1, 20, "overload");
}

// One account sends many times its usual.
awaitable<void> hot_account(fleet& all) {
    all.habits.second_account = 0.85;
    co_await habit_fault(all, &all.habits.burst, 1, 6, "hot account");
    all.habits.second_account = client_habits{}.second_account;
}

awaitable<void> clients_leave(fleet& all) {
    co_await habit_fault(all, &all.habits.leaves, 0, 0.3, "clients leave");
}

awaitable<void> clients_pipeline(fleet& all) {
    co_await habit_fault(all, &all.habits.pipelines, 0, 0.3, "clients pipeline");
}

awaitable<void> clients_read_slowly(fleet& all) {
    co_await habit_fault(all, &all.habits.reads_slowly, 0, 0.2, "clients read slowly");
}

awaitable<void> clients_impatient(fleet& all) {
    co_await habit_fault(all, &all.habits.impatient, 0, 0.4, "clients are impatient");
}

awaitable<void> long_prompts(fleet& all) {
    co_await habit_fault(all, &all.habits.long_prompts, 0.1, 0.9, "long prompts");
}

}  // namespace

const std::vector<fault_kind>& known_faults() {
    using enum misbehaviour;
    static const std::vector<fault_kind> faults{
        {"term", "SIGTERM and a new start, in turn", stop_in_turn, 800},
        {"kill", "SIGKILL and a new start", kill_process, 2'500},
        {"herd", "all daemons are killed at once and started again", kill_all, 9'000},
        {"freeze", "SIGSTOP, later SIGCONT", freeze_process, 1'500},
        {"slow-host", "a daemon runs a fifth of the time", slow_process, 1'500},
        {"hup", "changed settings and SIGHUP", reload_settings, 600},
        {"config", "routes moved and added, time limits changed", change_config, 2'000},
        {"storm", "desired states in quick succession", config_storm, 3'000},
        {"keys", "keys are added and taken away", take_keys, 2'000},
        {"evacuate", "a zone is evacuated for some seconds", evacuate_zone, 2'000},
        {"full", "servers reject requests", misbehave<full, 60, 3>},
        {"memory", "engines have little free memory", fill_servers, 1'000},
        {"slow", "servers are slow", misbehave<slow, 100, 5>},
        {"drain", "servers drain, leave and are replaced", drain_server},
        {"crash", "servers crash; same id, new id, or another service at the address", crash_server, 2'500},
        {"dark", "servers answer nothing at all", misbehave<dark, 100, 7>},
        {"silent", "servers leave requests unanswered", misbehave<silent, 30, 3>},
        {"hang", "servers stop in the middle of an answer", misbehave<hang, 20, 3>},
        {"reset-before", "servers reset channels instead of running requests", misbehave<reset_before, 20, 3>},
        {"reset-mid", "servers reset channels in the middle of an answer", misbehave<reset_mid, 20, 3>},
        {"answer-lost", "servers run requests and lose the answer", misbehave<answer_lost, 20, 3>},
        {"own-failures", "servers fail after a run, without saying that nothing ran", misbehave<own_failures, 25, 3>},
        {"surplus", "bytes after a complete answer", misbehave<surplus, 30, 3>},
        {"late-copy", "a second copy where the next answer is expected", misbehave<late_copy, 10, 3>},
        {"late-copy-unnamed", "the same, without attempt ids", misbehave<late_copy_unnamed, 10, 3>},
        {"late-copy-order", "second copies of answers to orders and reports", misbehave<late_copy_of_order, 30, 3>},
        {"wrong-length", "a length that isn't the body's", misbehave<wrong_length, 10, 6>},
        {"no-length", "the end of the channel ends the answer", misbehave<no_length, 40, 3>},
        {"broken-off", "answers are broken off", misbehave<broken_off, 20, 3>},
        {"endless", "answers without end", misbehave<endless, 60, 5>},
        {"idle-drop", "idle channels are closed without notice", misbehave<idle_drop, 100, 2>},
        {"order-late", "orders are unanswered and carried out seconds later", misbehave<order_late, 40, 3>},
        {"few-channels", "servers reset new channels", misbehave<few_channels, 50, 3>},
        {"store-down", "the store refuses all calls", store_down, 3'000},
        {"store-reset", "the store resets channels", store_resets, 3'000},
        {"store-slow", "the store is slow", store_slow, 3'000},
        {"store-lost", "answers of the store are lost", store_answers_lost, 3'000},
        {"store-some", "the store refuses some callers", store_refuses_some, 3'000},
        {"store-return", "the store is away and comes back from a copy some seconds old", store_returns, 2'500},
        {"store-forget", "the store forgets its history", store_forgets, 4'000},
        {"burst", "three times the load", burst, 3'000},
        {"overload", "more load than the servers can take", overload, 3'000},
        {"hot-account", "one account sends 25 times its usual", hot_account, 3'000},
        {"leave", "clients leave early", clients_leave},
        {"pipeline", "clients send two requests at once", clients_pipeline},
        {"slow-read", "clients read slowly", clients_read_slowly},
        {"impatient", "some requests have a short time limit", clients_impatient},
        {"long", "most long prompts exceed one engine's memory", long_prompts},
    };
    return faults;
}

awaitable<void> play_series(fleet& all, const fault_kind& fault) {
    co_await pause_ms(std::uniform_real_distribution<double>(500, 2'000)(all.random));
    while (!all.stopping) {
        co_await fault.play(all);
        co_await pause_ms(std::uniform_real_distribution<double>(0.5, 1.5)(all.random) * fault.pause_ms);
    }
}

}  // namespace verbenahold::soak
