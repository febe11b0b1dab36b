// An entry host is stopped as planned while streams run at the only worker in use, which
// pauses them for less time than clients wait. Judges whether the streams end whole.
#include "standins.hpp"

#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

namespace {

constexpr int clients = 4;
constexpr int deadline_ms = 10'000;
constexpr double event_period_ms = 250;
constexpr int events_before_pause = 10;
constexpr int events_after_pause = 2;
// The pause of a request that is preempted and whose prompt is read again.
constexpr double pause_ms = 3'500;
// Clients leave after a gap of four times the objective of the route.
constexpr double patience_ms = 6'000;
// The stop comes this long after the requests.
constexpr double stop_after_ms = 200;
constexpr double grace_ms = 8'000;

std::mutex mutex;
std::map<std::string, double> broken_off;
std::map<std::string, double> last_event;

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {{"Content-Type", "application/json"}}, report_body(clients, 180'000)));
    }
    const auto attempt = request.attempt_id();
    fields head{{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}};
    if (request.field("Verbenahold-Expect-Instance") != id) {
        return peer.send(answer_text(421, head, ""));
    }
    record.line("run " + attempt + " by " + id);
    head.emplace_back("Verbenahold-Origin-Signature", "s-" + attempt);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head) {
        text += name + ": " + value + "\r\n";
    }
    peer.send(text + "\r\n");
    for (int event = 0; event < events_before_pause + events_after_pause; ++event) {
        if (event == events_before_pause) {
            record.line("pause of " + attempt);
            const double until = now_ms() + pause_ms;
            while (now_ms() < until && !peer.peer_left()) {
                sleep_ms(10);
            }
        }
        if (peer.peer_left() || !peer.send(chunk_text("id: " + std::to_string(event) + "\ndata: piece\n\n"))) {
            const std::lock_guard lock(mutex);
            broken_off[attempt] = now_ms();
            record.line("the daemon broke off " + attempt + " at " + id);
            return false;
        }
        {
            const std::lock_guard lock(mutex);
            last_event[attempt] = now_ms();
        }
        sleep_ms(event_period_ms);
    }
    record.line("answered " + attempt + " by " + id);
    return peer.send("0\r\n\r\n");
}

}  // namespace

int main(int count, char** arguments) {
    if (count != 4) {
        return 2;
    }
    recorder record(std::string(arguments[1]) + "/record.txt");
    store rows;
    listener worker([&record](channel& peer, const message& request) { return work(record, "i-1", peer, request); });
    rows.put("servers", "i-1", worker_row("llm", worker.address(), 16));
    rows.put("op", "config",
             state_text(1,
                        route_text("review", "streaming", "llm", 10'000, 1'500,
                                   R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":600)"),
                        engine_service("llm")));
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    sleep_ms(4'000);
    const double stop_at = now_ms() + stop_after_ms;
    std::atomic<int> broken = 0;
    std::atomic<int> incomplete = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] {
            const auto to = connect_to(entry.front());
            const auto id = "c" + std::to_string(number);
            record.line("sent " + id);
            const auto got = ask(*to,
                                 request_text("POST", "/review/x", id, deadline_ms,
                                              {{"Verbenahold-Model", "m"},
                                               {"Verbenahold-Token-Usage", "45000,561"},
                                               {"Verbenahold-Prompt-Prefix", "aa:40,b" + id + ":44960"}},
                                              "prompt"),
                                 deadline_ms + 500);
            record.line("client got " + id + ": " +
                        (got.complete ? "complete"
                                      : "incomplete, " + std::to_string(got.partial_bytes) + " bytes" +
                                            (got.channel_ended ? ", the channel was closed" : "")));
            if (got.complete) {
                return;
            }
            ++incomplete;
            const std::lock_guard lock(mutex);
            const double after = got.ended_at - stop_at;
            // Neither the time limit nor the client's patience is over.
            const bool in_time =
                got.ended_at - got.sent_at < deadline_ms - 100 && got.ended_at - last_event[id] < patience_ms;
            if (with_trouble() && got.channel_ended && in_time && after > 0 && after < grace_ms + 1'000 &&
                broken_off.contains(id)) {
                ++broken;
                record.line("LOST: " + id + ", broken off at its sound worker " +
                            std::to_string(static_cast<int>(broken_off[id] - stop_at)) +
                            " ms after SIGTERM, its channel closed " + std::to_string(static_cast<int>(after)) +
                            " ms after SIGTERM");
            }
        });
    }
    sleep_ms(stop_at - now_ms());
    if (with_trouble()) {
        record.line("SIGTERM");
        entry.signal(SIGTERM);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    sleep_ms(stop_at + grace_ms - now_ms());
    const auto end = entry.ended();
    record.line("the daemon " + (end ? "ended: " + *end : std::string("runs")) + entry.last_lines(3));
    record.line("incomplete " + std::to_string(incomplete) + ", lost around the stop " + std::to_string(broken) +
                ", allowed 0");
    finish(broken > 0 ? 1 : 0);
}
