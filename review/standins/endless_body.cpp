// A worker in trouble answers requests with bytes without end, at the rate of the entry
// host's link. The platform kills a process that uses more memory than it may. Judges what
// becomes of the requests that other workers run meanwhile.
#include "standins.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

using namespace review;

namespace {

constexpr int chat_clients = 48;
constexpr int order_clients = 15;
constexpr int chat_deadline_ms = 10'000;
constexpr int order_deadline_ms = 1'000;
// Orders take this long, and up to as much again.
constexpr double order_ms = 250;
constexpr int events = 33;
constexpr double event_period_ms = 45;
constexpr double trouble_after_ms = 3'000;
// No endless answer begins after this time, the longest of `garble` in the site's list.
constexpr double trouble_for_ms = 5'500;
constexpr double play_ms = 12'000;
// From the settings: the link of the entry host, and its memory.
constexpr double link_bytes_per_ms = 125'000;
constexpr long memory_limit_kb = 260L * 1'024;
// The rule allows this many channels that are closed without an answer.
constexpr int allowed = 3;

std::atomic<bool> stop_clients = false;
std::atomic<bool> in_trouble = false;
std::atomic<int> endless_answers = 0;
std::atomic<int> answered = 0;

struct lost_request {
    std::string id;
    int channel_use = 0;
};

std::mutex mutex;
std::map<std::string, std::string> run_by;
std::vector<lost_request> lost;
double link_free_at = 0;

// Waits until the link has carried the bytes.
void wait_for_link(std::size_t bytes) {
    double until = 0;
    {
        const std::lock_guard lock(mutex);
        link_free_at = std::max(link_free_at, now_ms()) + static_cast<double>(bytes) / link_bytes_per_ms;
        until = link_free_at;
    }
    sleep_ms(until - now_ms());
}

bool send_without_end(recorder& record, const std::string& id, channel& peer, const message& request) {
    ++endless_answers;
    record.line("endless answer of " + id + " to " + request.attempt_id());
    const std::string bytes(16'384, 'x');
    peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    do {
        wait_for_link(bytes.size());
    } while (!peer.peer_left() && peer.send(bytes));
    record.line("the daemon closed the channel of " + request.attempt_id() + " at " + id);
    return false;
}

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {{"Content-Type", "application/json"}}, report_body(4, 20'000)));
    }
    const auto attempt = request.attempt_id();
    fields head{{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}};
    if (request.field("Verbenahold-Expect-Instance") != id) {
        return peer.send(answer_text(421, head, ""));
    }
    {
        const std::lock_guard lock(mutex);
        run_by[attempt] = id;
    }
    record.line("run " + attempt + " by " + id);
    if (id == "i-1" && in_trouble) {
        return send_without_end(record, id, peer, request);
    }
    head.emplace_back("Verbenahold-Origin-Signature", "s-" + attempt);
    if (request.target().starts_with("/order/")) {
        sleep_ms(order_ms * (1 + static_cast<double>(std::hash<std::string>{}(attempt) % 100) / 100));
        return !peer.peer_left() && peer.send(answer_text(200, head, std::string(800, 'x')));
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head) {
        text += name + ": " + value + "\r\n";
    }
    peer.send(text + "\r\n");
    for (int event = 0; event < events; ++event) {
        sleep_ms(event_period_ms);
        if (peer.peer_left() || !peer.send(chunk_text("id: " + std::to_string(event) + "\ndata: piece\n\n"))) {
            return false;
        }
    }
    return peer.send("0\r\n\r\n");
}

void call_on(recorder& record, const std::string& front, const std::string& name, bool orders) {
    auto to = connect_to(front);
    int use = 0;
    for (int count = 0; !stop_clients; ++count) {
        if (!to) {
            sleep_ms(100);
            to = connect_to(front, 100);
            use = 0;
            continue;
        }
        const auto id = name + '-' + std::to_string(count);
        record.line("sent " + id);
        const int deadline_ms = orders ? order_deadline_ms : chat_deadline_ms;
        const fields prompt{{"Verbenahold-Model", "m"},
                            {"Verbenahold-Token-Usage", "5000,1683"},
                            {"Verbenahold-Prompt-Prefix", "aa:40,b" + name + ":4960"}};
        const auto got = ask(
            *to,
            request_text("POST", orders ? "/order/x" : "/chat/x", id, deadline_ms, orders ? fields{} : prompt, "body"),
            deadline_ms);
        ++use;
        if (got.complete) {
            ++answered;
            record.line("client got " + id + " status " + std::to_string(got.status));
            continue;
        }
        record.line("client got no whole answer to " + id + (got.channel_ended ? ", the channel was closed" : ""));
        if (orders && got.channel_ended) {
            const std::lock_guard lock(mutex);
            lost.push_back({id, use});
        }
        to = nullptr;
    }
}

long resident_kb(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(arguments[1]);
    store rows;
    std::vector<std::unique_ptr<listener>> workers;
    for (const std::string id : {"i-1", "i-2", "i-3", "s-1", "s-2", "s-3"}) {
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        const bool is_engine = id.starts_with("i-");
        rows.put("servers", id, worker_row(is_engine ? "llm" : "shop", workers.back()->address(), is_engine ? 16 : 6));
    }
    rows.put("op", "config",
             state_text(1,
                        route_text("chat", "streaming", "llm", 10'000, 300,
                                   R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":250)") +
                            ',' + route_text("order", "unsafe", "shop", 1'000, 150, R"(,"max-attempts":1)"),
                        engine_service("llm") + ',' + plain_service("shop")));
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    std::vector<std::thread> threads;
    for (int number = 0; number < chat_clients + order_clients; ++number) {
        const bool orders = number >= chat_clients;
        threads.emplace_back([&, number, orders] {
            call_on(record, entry.front(), (orders ? "order" : "chat") + std::to_string(number), orders);
        });
    }
    const double began = now_ms();
    long peak_kb = 0;
    bool killed = false;
    while (now_ms() < began + play_ms) {
        const double trouble_at = began + trouble_after_ms;
        in_trouble = with_trouble() && now_ms() > trouble_at && now_ms() < trouble_at + trouble_for_ms;
        const long kb = killed ? 0 : resident_kb(entry.process());
        peak_kb = std::max(peak_kb, kb);
        if (kb > memory_limit_kb) {
            record.line("the platform kills the daemon: " + std::to_string(kb) + " kB of " +
                        std::to_string(memory_limit_kb));
            entry.signal(SIGKILL);
            killed = true;
        }
        sleep_ms(10);
    }
    const auto end = entry.ended();
    stop_clients = true;
    for (auto& thread : threads) {
        thread.join();
    }
    int broken = 0;
    for (const auto& request : lost) {
        const auto by = run_by[request.id];
        if (request.channel_use > 1 && by.starts_with("s-")) {
            ++broken;
            record.line("LOST: " + request.id + ", run by the sound worker " + by +
                        ", on a kept channel that was closed without an answer");
        }
    }
    record.line("the daemon " + (end ? "ended: " + *end : std::string("runs")) + entry.last_lines(2));
    record.line("answered " + std::to_string(answered) + ", endless answers " + std::to_string(endless_answers) +
                ", peak memory " + std::to_string(peak_kb) + " kB, lost at sound workers " + std::to_string(broken) +
                ", allowed " + std::to_string(allowed));
    if (answered < chat_clients || (with_trouble() && endless_answers == 0)) {
        finish(2);
    }
    finish(broken > allowed ? 1 : 0);
}
