// All entry hosts of a small deployment are stopped as planned. Clients that have an open
// channel go on using it, since no directory names another address. Judges what becomes of
// requests that are sent later than three seconds after the stop.
#include "standins.hpp"

#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr int clients = 6;
constexpr double event_period_ms = 200;
constexpr int deadline_ms = 10'000;
// The first streams begin this long before the stop and end this long after it.
constexpr double lead_ms = 1'000;
constexpr double first_streams_end_ms = 4'000;
constexpr double grace_ms = 8'000;
// From the rule: requests that were sent until then may be cut at the end of the grace.
constexpr double excused_until_ms = 3'000;
constexpr double slack_ms = 200;

std::mutex mutex;
std::map<std::string, std::string> run_by;

void note_run(recorder& record, const message& request, const std::string& id) {
    const std::lock_guard lock(mutex);
    run_by[request.attempt_id()] = id;
    record.line("run " + request.attempt_id() + " by " + id);
}

// Streams as many events as the request's usage field says.
bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {}, report_body(0, 0)));
    }
    fields head{{"Verbenahold-Attempt-Id", request.attempt_id()}, {"Verbenahold-Instance-Id", id}};
    if (request.field("Verbenahold-Expect-Instance") != id) {
        return peer.send(answer_text(421, head, ""));
    }
    note_run(record, request, id);
    head.emplace_back("Verbenahold-Origin-Signature", "s-" + request.attempt_id());
    if (request.target().starts_with("/order/")) {
        sleep_ms(300);
        record.line("answered " + request.attempt_id() + " by " + id);
        return peer.send(answer_text(200, head, std::string(800, 'x')));
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head) {
        text += name + ": " + value + "\r\n";
    }
    peer.send(text + "\r\n");
    const auto usage = request.field("Verbenahold-Token-Usage");
    const int events = std::stoi(usage.substr(usage.find(',') + 1)) / 51;
    for (int event = 0; event < events; ++event) {
        sleep_ms(event_period_ms);
        if (peer.peer_left() || !peer.send(chunk_text("id: " + std::to_string(event) + "\ndata: piece\n\n"))) {
            record.line("broken off at " + id + ": " + request.attempt_id());
            return false;
        }
    }
    record.line("answered " + request.attempt_id() + " by " + id);
    return peer.send("0\r\n\r\n");
}

std::string stream_request(const std::string& id, int events) {
    return request_text(
        "POST", "/chat/x", id, deadline_ms,
        {{"Verbenahold-Model", "m"},
         {"Verbenahold-Token-Usage", "5000," + std::to_string(events * 51)},
         {"Verbenahold-Prompt-Prefix", "aa:40,b" + std::to_string(std::hash<std::string>{}(id) % 9999) + ":4960"}},
        "prompt");
}

// True if one of the directories names an address; clients keep an earlier answer otherwise.
bool directory_names_an_address(recorder& record, const std::vector<std::string>& directories) {
    for (const auto& address : directories) {
        std::string answer = "no connection";
        if (const auto to = connect_to(address, 200)) {
            const auto got = ask(
                *to, "GET /api/resolve?name=h.example&region=region-a&zone=zone-a HTTP/1.1\r\nHost: h\r\n\r\n", 1'000);
            answer = std::to_string(got.status) + " " + got.answer.body;
        }
        record.line("directory says: " + answer);
        if (answer.find("127.0.0.1") != std::string::npos) {
            return true;
        }
    }
    return false;
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(arguments[1]);
    store rows;
    std::vector<std::unique_ptr<listener>> workers;
    for (const std::string id : {"i-1", "i-2", "i-3", "s-1"}) {
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        const bool is_engine = id.starts_with("i-");
        rows.put("servers", id, worker_row(is_engine ? "llm" : "shop", workers.back()->address(), is_engine ? 16 : 6));
    }
    const std::string stream_options = R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":250)";
    rows.put("op", "config",
             state_text(1,
                        route_text("chat", "streaming", "llm", 10'000, 300, stream_options) + ',' +
                            route_text("order", "unsafe", "shop", 1'000, 150, R"(,"max-attempts":1)"),
                        engine_service("llm") + ',' + plain_service("shop")));
    std::vector<std::unique_ptr<serving_daemon>> hosts;
    for (const std::string name : {"entry-1", "entry-2"}) {
        hosts.push_back(std::make_unique<serving_daemon>(arguments[2], name, arguments[3], rows));
    }
    std::vector<std::string> directories;
    for (const auto& host : hosts) {
        if (!host->wait_until_ready()) {
            record.line("a daemon is not ready" + host->last_lines(20));
            hosts.clear();
            finish(2);
        }
        directories.push_back(host->directory());
    }
    sleep_ms(4'000);
    const double stop_at = now_ms() + lead_ms;
    std::atomic<int> broken = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> could_not_run = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] {
            const auto to = connect_to(hosts[static_cast<std::size_t>(number) % hosts.size()]->front());
            const auto name = "c" + std::to_string(number);
            const int events = static_cast<int>((lead_ms + first_streams_end_ms) / event_period_ms);
            record.line("sent " + name + "-first");
            const auto first = ask(*to, stream_request(name + "-first", events), deadline_ms);
            record.line("client got " + name + "-first: " + (first.complete ? "complete" : "incomplete") +
                        ", Connection: " + first.answer.field("Connection"));
            if (!first.complete) {
                ++could_not_run;
                return;
            }
            // A client that respects Connection: close, or finds the channel closed, stops here.
            sleep_ms(100);
            if (first.answer.field("Connection") == "close" || to->peer_left()) {
                record.line(name + " finds its channel closed");
                return;
            }
            if (directory_names_an_address(record, directories) && with_trouble()) {
                record.line(name + " could connect elsewhere");
                return;
            }
            // Half of the clients ask for another stream, the others order at the end.
            const bool orders = number % 3 == 2;
            if (orders) {
                sleep_ms(stop_at + 7'450 - now_ms());
                if (to->peer_left()) {
                    record.line(name + " finds its channel closed");
                    return;
                }
            }
            const auto id = name + "-second";
            record.line("sent " + id);
            const auto second =
                ask(*to, orders ? request_text("POST", "/order/x", id, 1'000, {}, "body") : stream_request(id, events),
                    deadline_ms);
            const double sent_after = second.sent_at - stop_at;
            record.line("client got " + id + ": " +
                        (second.complete ? "complete, status " + std::to_string(second.status)
                                         : "incomplete, " + std::to_string(second.partial_bytes) + " bytes") +
                        (second.channel_ended ? ", the channel was closed" : ""));
            if (second.complete) {
                ++complete;
                return;
            }
            const std::lock_guard lock(mutex);
            const bool passed_on = run_by.contains(id);
            if (sent_after > excused_until_ms && second.ended_at - stop_at < grace_ms + 1'000 &&
                (passed_on || second.ended_at - second.sent_at > slack_ms)) {
                ++broken;
                record.line("LOST: " + id + ", sent " + std::to_string(static_cast<int>(sent_after)) +
                            " ms after SIGTERM" + (passed_on ? ", run by " + run_by[id] : std::string()) + ", cut " +
                            std::to_string(static_cast<int>(second.ended_at - stop_at)) + " ms after SIGTERM");
            }
        });
    }
    sleep_ms(stop_at - now_ms());
    if (with_trouble()) {
        record.line("SIGTERM to all entry hosts");
        for (const auto& host : hosts) {
            host->signal(SIGTERM);
        }
    }
    sleep_ms(stop_at + grace_ms - now_ms());
    if (with_trouble()) {
        for (const auto& host : hosts) {
            const auto end = host->ended();
            record.line("a daemon " + (end ? "ended: " + *end : std::string("gets SIGKILL")) + host->last_lines(1));
            if (!end) {
                host->signal(SIGKILL);
            }
        }
    }
    for (auto& thread : threads) {
        thread.join();
    }
    record.line("complete second answers " + std::to_string(complete) + ", lost " + std::to_string(broken) +
                ", allowed 0");
    hosts.clear();
    finish(could_not_run > 0 ? 2 : broken > 0 ? 1 : 0);
}
