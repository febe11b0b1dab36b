// Case 15: a worker's queue of new channels is full for a while, and the worker begins to drain
// meanwhile. Shows when requests that may run once reach it, and what becomes of them.
#include "review3_platform.hpp"

using namespace review3;

namespace {

constexpr auto drain_bound = milliseconds(2000);
// Until the worker exits after the store has accepted its report: drain-ms and a little longer.
constexpr auto time_to_exit = milliseconds(2950);
// How long the worker takes no new channels.
constexpr auto time_full = milliseconds(2500);
constexpr int burst_orders = 8;

std::string desired_state() {
    return R"({"version":4,"routes":[{"name":"r-order","host":"shop.example","prefix":"/order/","kind":"unsafe",)"
           R"("timeout-ms":10000,"target-latency-ms":150,"priority":2,"service":"shop","max-attempts":1,)"
           R"("anonymous":false,"session-affinity":false}],"services":[{"name":"shop","health-check":"/health",)"
           R"("max-connections":110,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
           R"("idle-timeout-ms":15000},"tenants":[{"name":"garage","api-keys":["key-1"],"priority":1}]})";
}

std::string entry_text(const std::string& address, const std::string& state, int sequence, std::int64_t born) {
    return R"({"service":"shop","address":")" + address + R"(","zone":"zone-a","version":"v1","slots":6,"state":")" +
           state + R"(","cold-ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(born) +
           "}";
}

struct arrival {
    std::string attempt;
    std::string worker;
    steady::time_point at{};
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        return could_not_run;
    }
    const std::string folder = argv[1];
    const std::string ip = argv[3];
    const bool trouble = environment_number("TROUBLE", 1) != 0;
    recorder record(argv[2]);
    store registry(ip);
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::map<std::string, std::string> became;
    const auto serve = [&](const std::string& id) {
        return [&, id](const message& request, const std::shared_ptr<channel>& opened) {
            const auto attempt = request.field("Verbenahold-Attempt-Id");
            if (request.field("Verbenahold-Expect-Instance") != id) {
                return opened->write(answer_text(421, {{"Verbenahold-Attempt-Id", attempt}}, ""));
            }
            {
                const std::lock_guard lock(mutex);
                arrivals.push_back({attempt, id, steady::now()});
            }
            record.add(id + " gets " + attempt);
            std::this_thread::sleep_for(milliseconds(100));
            return opened->write(answer_text(
                200, {{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Origin-Signature", "s." + id}}, "ok"));
        };
    };
    http_server leaving(ip, 0, serve("w-leaving"), 0);
    http_server staying(ip, 0, serve("w-staying"));
    const auto born = unix_ms();
    std::atomic<bool> stopped{false};
    std::atomic<bool> drains{false};
    int sequence = 0;
    const auto write_entries = [&] {
        ++sequence;
        if (!drains) {
            registry.put("servers", "w-leaving", entry_text(leaving.address(), "ready", sequence, born));
        }
        registry.put("servers", "w-staying", entry_text(staying.address(), "ready", sequence, born));
    };
    registry.put("op", "config", desired_state());
    write_entries();
    const auto daemon = write_settings(folder + "/front-1.json", "front-1", ip, registry.address());
    say_ready(folder);
    if (!wait_until_ready(daemon.ready, milliseconds(10'000))) {
        record.add("the daemon was not ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(1500));
    record.add("ready; two workers of one service");

    const auto begun = steady::now();
    const auto full_at = begun + milliseconds(4000);
    const auto drain_at = full_at + milliseconds(250);
    const auto end_at = begun + milliseconds(12'000);
    steady::time_point confirmed{};
    std::vector<std::shared_ptr<channel>> other_callers;
    bool is_full = false;
    // Channels that had waited in the queue are taken at once then; their requests were sent
    // earlier and don't count as late.
    auto queue_emptied = begun;
    bool exited = false;
    int number = 0;
    std::atomic<int> open_calls{0};
    bool burst_sent = false;
    auto next_send = begun;
    auto next_beat = begun;
    const auto send_order = [&] {
        const auto attempt = "order" + std::to_string(++number);
        const auto request = request_text("POST", "/order/" + std::to_string(number),
                                          {{"Host", "shop.example"},
                                           {"Verbenahold-Attempt-Id", attempt},
                                           {"Verbenahold-Deadline-Ms", "10000"},
                                           {"Authorization", "Bearer key-1"}},
                                          "one kit");
        ++open_calls;
        std::thread([&, attempt, request] {
            const auto got = call(daemon.front, request, milliseconds(10'000));
            record.add(attempt + ": sent at " + std::to_string(record.at(got.sent)) + ", status " +
                       std::to_string(got.answer.status) + ", " + got.end);
            {
                const std::lock_guard lock(mutex);
                became[attempt] = std::to_string(got.answer.status);
            }
            --open_calls;
        }).detach();
    };
    while (steady::now() < end_at) {
        const auto now = steady::now();
        if (now >= next_beat) {
            next_beat += milliseconds(1200);
            write_entries();
        }
        if (trouble && !is_full && now >= full_at) {
            is_full = true;
            leaving.holds_accepts = true;
            // The queue of a listener without a backlog holds one channel.
            other_callers.push_back(connect_to(leaving.address()));
            record.add("the queue of new channels of w-leaving is full");
        }
        if (leaving.holds_accepts && now >= full_at + time_full) {
            leaving.holds_accepts = false;
            queue_emptied = now + milliseconds(300);
            record.add("w-leaving takes new channels again");
        }
        if (confirmed == steady::time_point{} && now >= drain_at) {
            drains = true;
            registry.put("servers", "w-leaving", entry_text(leaving.address(), "draining", ++sequence, born));
            confirmed = steady::now();
            record.add("the store has accepted that w-leaving is draining");
        }
        if (!exited && confirmed != steady::time_point{} && now >= confirmed + time_to_exit) {
            exited = true;
            registry.put("servers", "w-leaving", std::nullopt);
            leaving.stop(true);
            record.add("w-leaving has exited");
        }
        if (now >= next_send) {
            next_send += milliseconds(90);
            send_order();
        }
        // Many users come at once, with and without trouble.
        if (!burst_sent && now >= full_at + milliseconds(60)) {
            burst_sent = true;
            record.add("a burst of orders");
            for (int order = 0; order < burst_orders; ++order) {
                send_order();
            }
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    while (open_calls > 0) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    int late = 0;
    int lost = 0;
    for (const auto& one : arrivals) {
        if (one.worker == "w-leaving" && one.at > std::max(confirmed + drain_bound, queue_emptied)) {
            ++late;
            lost += became[one.attempt] == "200" ? 0 : 1;
            record.add("late: " + one.attempt + " reached w-leaving " +
                       std::to_string(std::chrono::duration<double>(one.at - confirmed).count()) +
                       " s after it was confirmed to be draining; the client got " + became[one.attempt]);
        }
    }
    record.add("requests " + std::to_string(number) + "; reached w-leaving later than drain-ms: " +
               std::to_string(late) + ", of them not served: " + std::to_string(lost));
    return late > 0 ? rule_broken : rule_held;
}
