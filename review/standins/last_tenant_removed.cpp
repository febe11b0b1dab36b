// The operator removes the only tenant. Judges whether requests run whose keys no desired
// state holds, or ever held.
#include "standins.hpp"

#include <atomic>

using namespace review;

namespace {

constexpr int deadline_ms = 1'000;
// From the bounds: a version acts this long after its confirmation.
constexpr double config_apply_ms = 2'000;
constexpr double play_ms = 10'000;

std::mutex mutex;
// The tenant that each request named when it ran, by attempt id.
std::map<std::string, std::string> run_for;

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    const auto attempt = request.attempt_id();
    fields head{{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}};
    if (request.field("Verbenahold-Expect-Instance") != id) {
        return peer.send(answer_text(421, head, ""));
    }
    {
        const std::lock_guard lock(mutex);
        run_for[attempt] = request.field("Verbenahold-Tenant");
    }
    record.line("run " + attempt + " by " + id + " for tenant \"" + request.field("Verbenahold-Tenant") + '"');
    sleep_ms(30);
    head.emplace_back("Verbenahold-Origin-Signature", "s-" + attempt);
    return peer.send(answer_text(200, head, std::string(800, 'x')));
}

// As request_text, with another key or none.
std::string request_with_key(const std::string& id, const std::string& key) {
    auto text = request_text("POST", "/order/x", id, deadline_ms, {}, "body");
    const std::string field = "Authorization: Bearer key-1\r\n";
    return text.replace(text.find(field), field.size(), key.empty() ? "" : "Authorization: Bearer " + key + "\r\n");
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(arguments[1]);
    store rows;
    std::vector<std::unique_ptr<listener>> workers;
    for (const std::string id : {"s-1", "s-2", "s-3"}) {
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        rows.put("servers", id, worker_row("shop", workers.back()->address(), 6));
    }
    const auto state =
        state_text(1, route_text("order", "unsafe", "shop", 1'000, 150, R"(,"max-attempts":1)"), plain_service("shop"));
    rows.put("op", "config", state);
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    sleep_ms(4'000);
    double confirmed_at = now_ms();
    if (with_trouble()) {
        auto without = state;
        without.replace(without.find("\"version\":1"), 11, "\"version\":2");
        const auto tenants = without.find("\"tenants\":[");
        without.replace(tenants, std::string::npos, "\"tenants\":[]}");
        rows.put("op", "config", without);
        confirmed_at = now_ms();
        record.line("version 2 confirmed, without tenants: " + without.substr(without.find("\"limits\"")));
    }
    int unknown_ran = 0;
    int dropped_ran = 0;
    int known_served = 0;
    const auto to = connect_to(entry.front());
    for (int number = 0; now_ms() < confirmed_at + play_ms; ++number) {
        const std::string key = number % 3 == 0 ? "key-1" : number % 3 == 1 ? "key-nobody-held" : "";
        const auto id = "c" + std::to_string(number);
        record.line("sent " + id + " with key \"" + key + '"');
        const auto got = ask(*to, request_with_key(id, key), deadline_ms);
        record.line("client got " + id + " status " + std::to_string(got.status));
        const std::lock_guard lock(mutex);
        const bool ran = run_for.contains(id);
        known_served += key == "key-1" && got.status == 200 ? 1 : 0;
        if (ran && key != "key-1") {
            ++unknown_ran;
            record.line("ROUTE: " + id + " ran with a key that no desired state ever held: \"" + key + '"');
        } else if (ran && with_trouble() && got.sent_at > confirmed_at + config_apply_ms) {
            ++dropped_ran;
            record.line("CONFIG: " + id + " ran with a dropped key");
        }
        sleep_ms(100);
    }
    record.line("ran with keys that no desired state held: " + std::to_string(unknown_ran) +
                ", with a dropped key: " + std::to_string(dropped_ran) +
                ", allowed 0; served with the known key: " + std::to_string(known_served));
    if (!with_trouble() && known_served < 10) {
        finish(2);
    }
    finish(unknown_ran + dropped_ran > 0 ? 1 : 0);
}
