// A worker spoils the head of one of its answers. Judges what becomes of the requests that
// sound workers run meanwhile.
#include "standins.hpp"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr int clients = 15;
// Requests take this long, and up to as much again.
constexpr double work_ms = 250;
constexpr int deadline_ms = 1'000;
constexpr int spoiled_answer = 40;
constexpr double play_ms = 6'000;
// The rule allows this many channels that are closed without an answer.
constexpr int allowed = 3;

std::atomic<bool> stop_clients = false;
std::atomic<int> answers_of_first = 0;

struct lost_request {
    std::string id;
    int channel_use = 0;
};

std::mutex mutex;
std::map<std::string, std::string> run_by;
std::vector<lost_request> lost;
int answered = 0;

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {}, report_body(0, 0)));
    }
    const fields head{{"Verbenahold-Attempt-Id", request.attempt_id()}, {"Verbenahold-Instance-Id", id}};
    if (request.field("Verbenahold-Expect-Instance") != id) {
        return peer.send(answer_text(421, head, ""));
    }
    {
        const std::lock_guard lock(mutex);
        run_by[request.attempt_id()] = id;
    }
    record.line("run " + request.attempt_id() + " by " + id);
    sleep_ms(work_ms * (1 + static_cast<double>(std::hash<std::string>{}(request.attempt_id()) % 100) / 100));
    if (peer.peer_left()) {
        return false;
    }
    fields proved = head;
    proved.emplace_back("Verbenahold-Origin-Signature", "s-" + request.attempt_id());
    if (id == "i-1" && ++answers_of_first == spoiled_answer && with_trouble()) {
        record.line("spoiled answer of " + id + " to " + request.attempt_id());
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const auto& [name, value] : proved) {
            text += name + ": " + value + "\r\n";
        }
        peer.send(text + "Content-Length: 1000000000000000000\r\n\r\nwrong bytes");
        return false;
    }
    record.line("answered " + request.attempt_id() + " by " + id);
    return peer.send(answer_text(200, proved, std::string(800, 'x')));
}

void call_on(recorder& record, const std::string& front, int number) {
    auto to = connect_to(front);
    int use = 0;
    for (int count = 0; !stop_clients; ++count) {
        if (!to) {
            sleep_ms(100);
            to = connect_to(front, 100);
            use = 0;
            continue;
        }
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(count);
        record.line("sent " + id);
        const auto got = ask(*to, request_text("POST", "/order/x", id, deadline_ms, {}, "body"), deadline_ms);
        ++use;
        const std::lock_guard lock(mutex);
        if (got.complete) {
            ++answered;
            record.line("client got " + id + " status " + std::to_string(got.status));
            continue;
        }
        record.line("client got no answer to " + id + (got.channel_ended ? ", the channel was closed" : ", time over"));
        if (got.channel_ended) {
            lost.push_back({id, use});
        }
        to = nullptr;
    }
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(arguments[1]);
    store rows;
    std::vector<std::unique_ptr<listener>> workers;
    for (const std::string id : {"i-1", "i-2", "i-3"}) {
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        rows.put("servers", id, worker_row("shop", workers.back()->address(), 6));
    }
    rows.put("op", "config",
             state_text(1, route_text("order", "unsafe", "shop", 1'000, 150, R"(,"max-attempts":1)"),
                        plain_service("shop")));
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] { call_on(record, entry.front(), number); });
    }
    sleep_ms(play_ms);
    const auto end = entry.ended();
    stop_clients = true;
    for (auto& thread : threads) {
        thread.join();
    }
    int broken = 0;
    for (const auto& request : lost) {
        const auto by = run_by[request.id];
        if (request.channel_use > 1 && (by == "i-2" || by == "i-3")) {
            ++broken;
            record.line("LOST: " + request.id + ", run by the sound worker " + by +
                        ", on a kept channel that was closed without an answer");
        }
    }
    record.line("the daemon " + (end ? "ended by itself: " + *end : std::string("runs")) + entry.last_lines(2));
    record.line("answered " + std::to_string(answered) + ", lost at sound workers " + std::to_string(broken) +
                ", allowed " + std::to_string(allowed));
    if (answered < clients || (with_trouble() && answers_of_first < spoiled_answer)) {
        finish(2);
    }
    finish(broken > allowed ? 1 : 0);
}
