// Workers send a second copy of an answer late, at the point where the next answer on its
// channel is expected: that to an order, or to a client's request. Judges whether clients get
// answers that belong to other requests.
#include "standins.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr int worker_count = 3;
constexpr int review_clients = 8;
constexpr int long_clients = 1;
constexpr double review_pause_ms = 10;
constexpr int deadline_ms = 10'000;
constexpr int long_deadline_ms = 15'000;
constexpr double order_takes_ms = 60;
constexpr double rejection_takes_ms = 40;
constexpr double play_ms = 25'000;
// The share of answers after which a second one may come, and the part of it for copies that
// come where the answer to a client's request is due.
constexpr double largest_share = 0.03;
constexpr double share_at_requests = 0.015;

constexpr long memory_tokens = 315'000;
// Memory that requests of other entry hosts use, low and high in turn.
constexpr long low_use = 20'000;
constexpr long high_use = 250'000;
constexpr double half_period_ms = 1'300;
constexpr double report_lag_ms = 200;

std::atomic<bool> stop_clients = false;
std::atomic<int> answers = 0;
std::atomic<int> copies = 0;
std::atomic<int> refused_orders = 0;

std::mutex mutex;
// The last answer on each channel, with the attempt id that it bears or the order's name.
std::map<std::uint64_t, std::pair<std::string, std::string>> last_answer;
// Attempt ids that workers answered.
std::map<std::string, std::string> answered_by;
// Reservations by worker address and name, in tokens.
std::map<std::string, std::map<std::string, long>> tickets;
std::map<std::string, std::string> address_of;

long used_by_others(double at) {
    return static_cast<long>(at / half_period_ms) % 2 == 0 ? low_use : high_use;
}

std::string value_of(const std::string& body, const std::string& name) {
    const auto found = body.find('"' + name + "\":");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 3;
    const auto value = body.substr(begin, body.find_first_of(",}", begin) - begin);
    return value.starts_with('"') ? value.substr(1, value.size() - 2) : value;
}

// Sends the last answer on the channel once more, as long as that is within the share.
void send_second_copy(recorder& record, const std::string& id, channel& peer, double share) {
    std::pair<std::string, std::string> before;
    {
        const std::lock_guard lock(mutex);
        before = std::exchange(last_answer[peer.serial()], {});
    }
    if (with_trouble() && !before.first.empty() && copies + 1 <= share * answers) {
        ++copies;
        record.line("second copy from " + id + " of the answer to " + before.first);
        peer.send(before.second);
    }
}

bool answer_order(recorder& record, const std::string& id, channel& peer, const message& request) {
    const auto ticket = value_of(request.body, "id");
    const bool reserves = value_of(request.body, "operation") == "reserve";
    if (reserves) {
        send_second_copy(record, id, peer, largest_share);
    }
    sleep_ms(reserves ? order_takes_ms : 1);
    const std::lock_guard lock(mutex);
    auto& held = tickets[address_of[id]];
    int status = 200;
    if (!reserves) {
        held.erase(ticket);
    } else if (!held.contains(ticket)) {
        const long tokens = std::stol(value_of(request.body, "tokens"));
        long set_aside = 0;
        for (const auto& [name, size] : held) {
            set_aside += size;
        }
        const bool is_free = used_by_others(now_ms()) + set_aside + tokens <= memory_tokens;
        status = is_free ? 200 : 409;
        if (is_free) {
            held[ticket] = tokens;
        }
    }
    refused_orders += status == 409 ? 1 : 0;
    record.line("order " + value_of(request.body, "operation") + ' ' + ticket + " answered by " + id + " with " +
                std::to_string(status));
    const auto text = answer_text(status, {{"Content-Type", "application/json"}}, R"({"free-slots":0})");
    last_answer[peer.serial()] = {"order " + ticket, text};
    return peer.send(text);
}

// Whether all tickets that the request names are held. Only these count beyond the
// worker's own memory.
bool has_memory(const message& request) {
    const long tokens = std::stol(request.field("Verbenahold-Token-Usage"));
    long elsewhere = 0;
    auto helpers = request.field("Verbenahold-Helpers");
    while (!helpers.empty()) {
        const auto comma = std::min(helpers.find(','), helpers.size());
        const auto entry = helpers.substr(0, comma);
        helpers.erase(0, comma + 1);
        const auto slash = entry.find('/');
        if (slash == std::string::npos) {
            continue;
        }
        const std::lock_guard lock(mutex);
        const auto& held = tickets[entry.substr(0, slash)];
        const auto found = held.find(entry.substr(slash + 1));
        if (found == held.end()) {
            return false;
        }
        elsewhere += found->second;
    }
    return tokens - elsewhere <= memory_tokens;
}

bool work(recorder& record, const std::string& id, channel& peer, const message& request) {
    if (request.target().starts_with("/api/report")) {
        return peer.send(answer_text(200, {{"Content-Type", "application/json"}},
                                     report_body(4, used_by_others(now_ms() - report_lag_ms))));
    }
    if (request.target().starts_with("/api/order")) {
        return answer_order(record, id, peer, request);
    }
    const auto attempt = request.attempt_id();
    send_second_copy(record, id, peer, share_at_requests);
    fields head{{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}};
    int status = 200;
    if (request.field("Verbenahold-Expect-Instance") != id) {
        status = 421;
    } else if (!has_memory(request)) {
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
    answered_by[attempt] = id;
    last_answer[peer.serial()] = {attempt, text};
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
    const auto answered_id = got.answer.attempt_id();
    if (!answered_id.empty() && answered_id != id) {
        ++broken;
        record.line("MIXED: " + id + " got the answer to " + answered_id);
    }
    // Workers give requests 200, 421 or 503, and the daemon's own failures are 502, 503 and 504.
    if (got.status == 409) {
        const std::lock_guard lock(mutex);
        ++broken;
        record.line("MIXED: " + id + " got the answer of an order: 409 " + got.answer.body + "; its worker " +
                    (answered_by.contains(id) ? "answered 200" : "had not answered yet"));
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
    for (int number = 1; number <= worker_count; ++number) {
        const auto id = "i-" + std::to_string(number);
        workers.push_back(std::make_unique<listener>(
            [&record, id](channel& peer, const message& request) { return work(record, id, peer, request); }));
        address_of[id] = workers.back()->address();
        rows.put("servers", id, worker_row("llm", workers.back()->address(), 16));
    }
    const std::string options = R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":)";
    rows.put("op", "config",
             state_text(1,
                        route_text("review", "streaming", "llm", 10'000, 1'500, options + "600") + ',' +
                            route_text("compare", "streaming", "llm", 15'000, 3'000, options + "1000"),
                        engine_service("llm")));
    serving_daemon entry(arguments[2], "entry-1", arguments[3], rows);
    if (!entry.wait_until_ready()) {
        record.line("the daemon is not ready" + entry.last_lines(20));
        finish(2);
    }
    std::vector<std::thread> threads;
    for (int number = 0; number < review_clients; ++number) {
        threads.emplace_back([&, number] {
            auto to = connect_to(entry.front());
            for (int request = 0; !stop_clients; ++request) {
                const auto id = "c" + std::to_string(number) + '-' + std::to_string(request);
                record.line("sent " + id);
                const auto got =
                    ask(*to, request_text("POST", "/review/x", id, deadline_ms, prompt(id, 1'000, 102), "prompt"),
                        deadline_ms);
                judge(record, id, got);
                if (!got.complete) {
                    to = connect_to(entry.front());
                }
                sleep_ms(review_pause_ms);
            }
        });
    }
    for (int number = 0; number < long_clients; ++number) {
        threads.emplace_back([&, number] {
            sleep_ms(2'000);
            for (int request = 0; !stop_clients; ++request) {
                // A prompt over one worker's memory, so that memory is reserved at the other one.
                const auto to = connect_to(entry.front());
                const auto id = "long-" + std::to_string(number) + '-' + std::to_string(request);
                record.line("sent " + id);
                judge(record, id,
                      ask(*to,
                          request_text("POST", "/compare/x", id, long_deadline_ms, prompt(id, 400'000, 800), "prompt"),
                          long_deadline_ms));
                sleep_ms(100);
            }
        });
    }
    sleep_ms(play_ms);
    stop_clients = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const auto end = entry.ended();
    record.line("the daemon " + (end ? "ended by itself: " + *end : std::string("runs")));
    record.line("answers of workers " + std::to_string(answers) + ", orders refused " + std::to_string(refused_orders) +
                ", second copies " + std::to_string(copies) + ", served " + std::to_string(served) +
                ", foreign answers " + std::to_string(broken) + ", allowed 0");
    if (served < 100 || (with_trouble() && copies == 0)) {
        finish(2);
    }
    finish(broken > 0 ? 1 : 0);
}
