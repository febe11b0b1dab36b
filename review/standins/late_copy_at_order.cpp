// Workers send a second copy of an answer late, at the point where the answer to an order is
// expected. Judges whether clients get answers that belong to other requests.
#include "standins.hpp"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr int chat_clients = 4;
constexpr double chat_pause_ms = 10;
constexpr int deadline_ms = 10'000;
constexpr int long_deadline_ms = 15'000;
constexpr double order_takes_ms = 60;
constexpr double rejection_takes_ms = 40;
constexpr double play_ms = 25'000;
// The share of answers after which a second one may come.
constexpr double largest_share = 0.03;

std::atomic<bool> stop_clients = false;
std::atomic<int> answers = 0;
std::atomic<int> copies = 0;

std::mutex mutex;
// The statuses that workers gave, by attempt id.
std::map<std::string, int> given;
// The last answer on each channel.
std::map<const channel*, std::pair<std::string, std::string>> last_answer;

bool answer_order(recorder& record, const std::string& id, channel& peer, const message& request) {
    const bool reserves = request.body.find("\"reserve\"") != std::string::npos;
    if (!reserves) {
        return peer.send(answer_text(200, {{"Content-Type", "application/json"}}, R"({"free-slots":0})"));
    }
    std::pair<std::string, std::string> before;
    {
        const std::lock_guard lock(mutex);
        before = std::exchange(last_answer[&peer], {});
    }
    if (with_trouble() && !before.first.empty() && copies + 1 <= largest_share * answers) {
        ++copies;
        record.line("second copy from " + id + " of the answer to " + before.first);
        peer.send(before.second);
    }
    sleep_ms(order_takes_ms);
    record.line("order refused by " + id + " with 409");
    return peer.send(answer_text(409, {{"Content-Type", "application/json"}}, R"({"free-slots":0})"));
}

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {{"Content-Type", "application/json"}}, report_body(0, 0)));
    }
    if (request.target().starts_with("/api/order")) {
        return answer_order(record, id, peer, request);
    }
    const auto attempt = request.attempt_id();
    fields head{{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}};
    int status = 200;
    if (request.field("Verbenahold-Expect-Instance") != id) {
        status = 421;
    } else if (!request.field("Verbenahold-Helpers").empty()) {
        // The helper has no such ticket.
        status = 503;
        head.emplace_back("Verbenahold-Not-Executed", "1");
    }
    if (status != 200) {
        sleep_ms(rejection_takes_ms);
        record.line("rejected " + attempt + " by " + id + " with " + std::to_string(status));
        return peer.send(answer_text(status, head, ""));
    }
    record.line("run " + attempt + " by " + id);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    head.emplace_back("Verbenahold-Origin-Signature", "s-" + attempt);
    for (const auto& [name, value] : head) {
        text += name + ": " + value + "\r\n";
    }
    text += "\r\n" + chunk_text("id: 0\ndata: piece\n\n") + chunk_text("id: 1\ndata: piece\n\n") + "0\r\n\r\n";
    sleep_ms(15);
    ++answers;
    const std::lock_guard lock(mutex);
    given[attempt] = 200;
    last_answer[&peer] = {attempt, text};
    record.line("answered " + attempt + " by " + id + " with 200");
    return peer.send(text);
}

fields prompt(const std::string& id, long tokens, int output) {
    return {{"Verbenahold-Model", "m"},
            {"Verbenahold-Token-Usage", std::to_string(tokens) + ',' + std::to_string(output)},
            {"Verbenahold-Prompt-Prefix",
             "aa:40,b" + std::to_string(std::hash<std::string>{}(id) % 99999) + ':' + std::to_string(tokens - 40)}};
}

std::atomic<int> broken = 0;
std::atomic<int> served = 0;

void judge(recorder& record, const std::string& id, const outcome& got) {
    if (!got.complete) {
        record.line("client got no answer to " + id);
        return;
    }
    record.line("client got " + id + " status " + std::to_string(got.status));
    served += got.status == 200 ? 1 : 0;
    // The daemon's own failures are 502, 503 and 504; nothing else failed here.
    if (got.status == 409) {
        const std::lock_guard lock(mutex);
        ++broken;
        record.line("MIXED: " + id + " got the answer of an order: 409 " + got.answer.body + "; its worker " +
                    (given.contains(id) ? "answered 200" : "had not answered"));
    }
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(std::string(arguments[1]) + "/record.txt");
    store rows;
    std::vector<std::unique_ptr<listener>> workers;
    for (const std::string id : {"i-1", "i-2"}) {
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        rows.put("servers", id, worker_row("llm", workers.back()->address(), 16));
    }
    const std::string options = R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":)";
    rows.put("op", "config",
             state_text(1,
                        route_text("chat", "streaming", "llm", 10'000, 300, options + "250") + ',' +
                            route_text("compare", "streaming", "llm", 15'000, 3'000, options + "1000"),
                        engine_service("llm")));
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    std::vector<std::thread> threads;
    for (int number = 0; number < chat_clients; ++number) {
        threads.emplace_back([&, number] {
            auto to = connect_to(entry.front());
            for (int request = 0; !stop_clients; ++request) {
                const auto id = "c" + std::to_string(number) + '-' + std::to_string(request);
                record.line("sent " + id);
                const auto got =
                    ask(*to, request_text("POST", "/chat/x", id, deadline_ms, prompt(id, 1'000, 102), "prompt"),
                        deadline_ms);
                judge(record, id, got);
                if (!got.complete) {
                    to = connect_to(entry.front());
                }
                sleep_ms(chat_pause_ms);
            }
        });
    }
    threads.emplace_back([&] {
        sleep_ms(2'000);
        for (int request = 0; !stop_clients; ++request) {
            // A prompt over one worker's memory, so that memory is reserved at the other one.
            const auto to = connect_to(entry.front());
            const auto id = "long-" + std::to_string(request);
            record.line("sent " + id);
            judge(record, id,
                  ask(*to,
                      request_text("POST", "/compare/x", id, long_deadline_ms, prompt(id, 400'000, 800), "long prompt"),
                      3'000));
            sleep_ms(200);
        }
    });
    sleep_ms(play_ms);
    stop_clients = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const auto end = entry.ended();
    record.line("the daemon " + (end ? "ended by itself: " + *end : std::string("runs")));
    record.line("answers of workers " + std::to_string(answers) + ", second copies " + std::to_string(copies) +
                ", served " + std::to_string(served) + ", foreign answers " + std::to_string(broken) + ", allowed 0");
    if (served < 100 || (with_trouble() && copies == 0)) {
        finish(2);
    }
    finish(broken > 0 ? 1 : 0);
}
