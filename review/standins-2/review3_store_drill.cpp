// Case 11: the platform's store comes back from an older copy in a drill, and the operator
// changes the desired state after that. Shows which desired state the daemon then follows.
#include "review3_shop.hpp"

using namespace review3;

namespace {

constexpr auto copy_age = milliseconds(8000);
constexpr auto time_away = milliseconds(1000);
// contact-ms, after which the store counts as stable again, and config-apply-ms.
constexpr auto contact = milliseconds(3000);
constexpr auto config_apply = milliseconds(2000);

std::string desired_state(int version, const std::string& service, const std::string& keys) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","host":"shop.example","prefix":"/orders/","kind":"safe",)"
           R"("timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":")" +
           service +
           R"(","max-attempts":2,"anonymous":false,"session-affinity":false}],"services":[)"
           R"({"name":"old-shop","health-check":"/health","max-connections":110,"protocol":"h1","tls":false,)"
           R"("cold-s":0.0,"cold-per-s":0.0},{"name":"new-shop","health-check":"/health","max-connections":110,)"
           R"("protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,)"
           R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"garage","api-keys":[)" +
           keys + R"(],"priority":1}]})";
}

std::string order_request(const std::string& attempt, const std::string& key) {
    return request_text("GET", "/orders/" + attempt,
                        {{"Host", "shop.example"},
                         {"Verbenahold-Attempt-Id", attempt},
                         {"Verbenahold-Deadline-Ms", "1000"},
                         {"Authorization", "Bearer " + key}},
                        "");
}

struct counts {
    int sent = 0;
    int as_older = 0;
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
    std::map<std::string, std::string> ran_by;
    const auto on_run = [&](const run_seen& run) {
        const std::lock_guard lock(mutex);
        ran_by[run.attempt] = run.service;
    };
    std::vector<std::unique_ptr<shop_worker>> workers;
    for (int index = 0; index < 6; ++index) {
        const std::string service = index < 3 ? "old-shop" : "new-shop";
        workers.push_back(std::make_unique<shop_worker>(registry, ip, service, "w-" + std::to_string(index), on_run));
        // Workers that were not started together don't report at the same moment.
        std::this_thread::sleep_for(milliseconds(170));
    }
    registry.put("op", "config", desired_state(10, "old-shop", R"("key-kept","key-dropped")"));
    const auto daemon = write_settings(folder + "/front-1.json", "front-1", ip, registry.address());
    say_ready(folder);
    if (!wait_until_ready(daemon.ready, milliseconds(10'000))) {
        record.add("the daemon was not ready");
        return could_not_run;
    }
    record.add("ready; desired state 10 sends /orders/ to old-shop; keys key-kept and key-dropped");

    const auto begun = steady::now();
    const auto copied_at = begun + milliseconds(4000);
    const auto away_at = copied_at + copy_age;
    const auto back_at = away_at + time_away;
    const auto change_at = back_at + contact + milliseconds(200);
    const auto end_at = change_at + milliseconds(14'000);
    steady::time_point confirmed{};
    bool copied = false;
    bool gone = false;
    bool back = false;
    counts moved;
    counts dropped;
    int next_id = 0;
    auto next_counts = begun;
    while (steady::now() < end_at) {
        const auto now = steady::now();
        if (!copied && now >= copied_at) {
            copied = true;
            registry.take_copy();
            record.add("the copy is taken at store version " + std::to_string(registry.version()));
        }
        if (trouble && !gone && now >= away_at) {
            gone = true;
            record.add("the store goes away at version " + std::to_string(registry.version()));
            registry.go_away();
        }
        if (trouble && !back && now >= back_at) {
            back = true;
            registry.come_back_from_copy();
            record.add("the store is back, Store-Era rises, version " + std::to_string(registry.version()));
            registry.put("op", "config", desired_state(10, "old-shop", R"("key-kept","key-dropped")"));
            for (const auto& worker : workers) {
                worker->write_entry();
            }
            record.add("operator and workers have written again, version " + std::to_string(registry.version()));
        }
        if (confirmed == steady::time_point{} && now >= change_at) {
            const auto version = registry.put("op", "config", desired_state(11, "new-shop", R"("key-kept")"));
            confirmed = steady::now();
            record.add("desired state 11 confirmed at version " + std::to_string(version) +
                       ": /orders/ goes to new-shop, key-dropped is gone");
        }
        if (now >= next_counts) {
            next_counts = now + milliseconds(1000);
            const auto [reads, gone_answers] = registry.take_read_counts();
            record.add("store version " + std::to_string(registry.version()) + ", reads in the last second " +
                       std::to_string(reads) + ", of them answered 410: " + std::to_string(gone_answers));
        }
        for (const std::string key : {"key-kept", "key-dropped"}) {
            const auto attempt = "a" + std::to_string(next_id++);
            const auto sent = steady::now();
            const auto got = call(daemon.front, order_request(attempt, key), milliseconds(1000));
            std::string service;
            {
                const std::lock_guard lock(mutex);
                service = ran_by[attempt];
            }
            const bool must_be_newer = confirmed != steady::time_point{} && sent > confirmed + config_apply;
            const bool as_older = key == "key-kept" ? service == "old-shop" : !service.empty();
            auto& counted = key == "key-kept" ? moved : dropped;
            counted.sent += must_be_newer ? 1 : 0;
            counted.as_older += must_be_newer && as_older ? 1 : 0;
            record.add("sent " + attempt + " with " + key + ": status " + std::to_string(got.answer.status) +
                       ", run by " + (service.empty() ? "nobody" : service) +
                       (must_be_newer && as_older ? "  <- as only an older version allows" : ""));
        }
        std::this_thread::sleep_for(milliseconds(150));
    }
    record.add(
        "requests sent later than config-apply-ms after the confirmation of version 11: " + std::to_string(moved.sent) +
        " with the kept key, run by the old service " + std::to_string(moved.as_older) + "; " +
        std::to_string(dropped.sent) + " with the dropped key, run " + std::to_string(dropped.as_older));
    if (moved.sent == 0 || dropped.sent == 0) {
        return could_not_run;
    }
    return moved.as_older + dropped.as_older > 0 ? rule_broken : rule_held;
}
