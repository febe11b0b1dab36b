// Case 14: a worker numbers the events of a stream by the tokens that they hold, so that ids
// increase by more than one. Shows what becomes of the streams.
#include "review3_platform.hpp"

using namespace review3;

namespace {

constexpr int request_count = 12;
constexpr int event_count = 10;

std::string desired_state() {
    return R"({"version":4,"routes":[{"name":"r-chat","host":"llm.example","prefix":"/chat/","kind":"streaming",)"
           R"("timeout-ms":10000,"target-latency-ms":300,"priority":1,"service":"llm","max-attempts":2,)"
           R"("anonymous":false,"session-affinity":false,"can-resume":true,"target-gap-ms":250}],)"
           R"("services":[{"name":"llm","health-check":"/health","max-connections":314,"protocol":"h1","tls":false,)"
           R"("cold-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"garage","api-keys":["key-1"],"priority":1}]})";
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        return could_not_run;
    }
    const std::string folder = argv[1];
    const std::string ip = argv[3];
    // An event of these streams holds this many tokens, and its id counts tokens.
    const int tokens_per_event = environment_number("TROUBLE", 1) != 0 ? 51 : 1;
    recorder record(argv[2]);
    store registry(ip);
    const auto serve = [&](const std::string& id) {
        return [&, id](const message& request, const std::shared_ptr<channel>& opened) {
            const auto attempt = request.field("Verbenahold-Attempt-Id");
            if (request.field("Verbenahold-Expect-Instance") != id) {
                return opened->write(answer_text(421, {{"Verbenahold-Attempt-Id", attempt}}, ""));
            }
            const int after = std::atoi(request.field("Last-Event-Id").c_str());
            record.add(id + " runs " + attempt + (after > 0 ? " after event " + std::to_string(after) : ""));
            if (!opened->write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nVerbenahold-Attempt-Id: " + attempt +
                    "\r\nVerbenahold-Origin-Signature: s." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
                return false;
            }
            for (int event = 1; event <= event_count; ++event) {
                if (event * tokens_per_event <= after) {
                    continue;
                }
                const auto text = "id: " + std::to_string(event * tokens_per_event) + "\ndata: piece " +
                                  std::to_string(event) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                if (!opened->write(size + text + "\r\n")) {
                    record.add(id + ": " + attempt + " was closed at event " + std::to_string(event));
                    return false;
                }
                std::this_thread::sleep_for(milliseconds(20));
            }
            return opened->write("0\r\n\r\n");
        };
    };
    http_server first(ip, 0, serve("w-1"));
    http_server second(ip, 0, serve("w-2"));
    const auto write_entries = [&] {
        for (const auto& [id, address] : {std::pair("w-1", first.address()), std::pair("w-2", second.address())}) {
            registry.put("servers", id,
                         R"({"service":"llm","address":")" + address +
                             R"(","zone":"zone-a","version":"v1","slots":16,"state":"ready","cold-ms":0,)"
                             R"("sequence":1,"born":1700000000000})");
        }
    };
    registry.put("op", "config", desired_state());
    write_entries();
    const auto daemon = write_settings(folder + "/front-1.json", "front-1", ip, registry.address());
    say_ready(folder);
    if (!wait_until_ready(daemon.ready, milliseconds(10'000))) {
        record.add("the daemon was not ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(milliseconds(500));
    int without_answer = 0;
    std::shared_ptr<channel> kept;
    for (int number = 1; number <= request_count; ++number) {
        if (!kept) {
            kept = connect_to(daemon.front);
        }
        const auto attempt = "s" + std::to_string(number);
        kept->set_deadline(steady::now() + milliseconds(10'000));
        message answer;
        const bool complete = kept->write(request_text("POST", "/chat/" + std::to_string(number),
                                                       {{"Host", "llm.example"},
                                                        {"Verbenahold-Attempt-Id", attempt},
                                                        {"Verbenahold-Token-Usage", "1000,600"},
                                                        {"Verbenahold-Deadline-Ms", "10000"},
                                                        {"Authorization", "Bearer key-1"}},
                                                       "question " + std::to_string(number))) &&
                              kept->read_head(answer) && kept->read_body(answer);
        record.add(attempt + ": status " + std::to_string(answer.status) + ", " + std::to_string(answer.body.size()) +
                   " bytes, " + (complete ? "complete" : "channel " + kept->how_ended()));
        if (!complete) {
            ++without_answer;
            kept.reset();
        }
        std::this_thread::sleep_for(milliseconds(1000));
    }
    record.add("streams " + std::to_string(request_count) + ", ended by the daemon without the whole answer: " +
               std::to_string(without_answer) + " (three are allowed)");
    return without_answer > 3 ? rule_broken : rule_held;
}
