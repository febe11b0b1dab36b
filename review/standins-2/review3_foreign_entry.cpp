// Case 12: an entry of another writer stands in the list of workers, with fields missing, at the
// address of a process that is no worker. Shows whether requests are sent there.
#include "review3_shop.hpp"

using namespace review3;

namespace {

constexpr auto with_entry = milliseconds(15'000);

std::string desired_state() {
    return R"({"version":4,"routes":[{"name":"r-order","host":"shop.example","prefix":"/order/","kind":"unsafe",)"
           R"("timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"shop","max-attempts":1,)"
           R"("anonymous":false,"session-affinity":false}],"services":[{"name":"shop","health-check":"/health",)"
           R"("max-connections":110,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
           R"("idle-timeout-ms":15000},"tenants":[{"name":"garage","api-keys":["key-1"],"priority":1}]})";
}

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
    std::map<std::string, int> runs;
    const auto on_run = [&](const run_seen& run) {
        const std::lock_guard lock(mutex);
        ++runs[run.attempt];
    };
    std::vector<std::unique_ptr<shop_worker>> workers;
    for (int index = 0; index < 2; ++index) {
        workers.push_back(std::make_unique<shop_worker>(registry, ip, "shop", "w-" + std::to_string(index), on_run));
    }
    // Another application, which serves whatever is sent to it and knows nothing of workers.
    std::vector<std::string> at_foreign;
    http_server foreign(ip, 0, [&](const message& request, const std::shared_ptr<channel>& opened) {
        {
            const std::lock_guard lock(mutex);
            at_foreign.push_back(request.field("Verbenahold-Attempt-Id"));
        }
        record.add("the other application serves " + request.method + " " + request.target + " with body \"" +
                   request.body + "\", tenant " + request.field("Verbenahold-Tenant"));
        return opened->write(answer_text(200, {{"Content-Type", "text/plain"}}, "done"));
    });
    registry.put("op", "config", desired_state());
    const auto daemon = write_settings(folder + "/front-1.json", "front-1", ip, registry.address());
    say_ready(folder);
    if (!wait_until_ready(daemon.ready, milliseconds(10'000))) {
        record.add("the daemon was not ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(500));
    record.add("ready; two workers");
    const auto begun = steady::now();
    const auto entry_at = begun + milliseconds(3000);
    bool written = false;
    int number = 0;
    int failed = 0;
    while (steady::now() < entry_at + with_entry) {
        if (!written && steady::now() >= entry_at) {
            written = true;
            // No version, cold-ms or sequence.
            const auto value = R"({"service":"shop","address":")" + foreign.address() +
                               R"(","zone":"zone-a","slots":6,"state":"ready"})";
            if (trouble) {
                registry.put("servers", "legacy-app", value);
                record.add("another writer's entry: servers/legacy-app " + value);
            }
        }
        const auto attempt = "order" + std::to_string(++number);
        const auto got = call(daemon.front,
                              request_text("POST", "/order/" + std::to_string(number),
                                           {{"Host", "shop.example"},
                                            {"Verbenahold-Attempt-Id", attempt},
                                            {"Verbenahold-Deadline-Ms", "1000"},
                                            {"Authorization", "Bearer key-1"}},
                                           "one kit for garage"),
                              milliseconds(1000));
        failed += got.answer.status == 200 ? 0 : 1;
        record.add(attempt + ": status " + std::to_string(got.answer.status) + ", " + got.end);
        std::this_thread::sleep_for(milliseconds(60));
    }
    const std::lock_guard lock(mutex);
    record.add("orders " + std::to_string(number) + ", run by the other application " +
               std::to_string(at_foreign.size()) + ", not served " + std::to_string(failed));
    return at_foreign.empty() ? rule_held : rule_broken;
}
