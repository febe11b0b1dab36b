// A model worker that crashes when it begins to write an answer on a prompt with a certain part,
// and comes back as a new boot, for the stand-ins of the third review.
#pragma once

#include "review3_platform.hpp"

namespace review3 {

// "The worker is back after some seconds."
inline constexpr auto time_down = milliseconds(3000);
// Three liveness report intervals of silence, after which the platform removes an entry.
inline constexpr auto entry_lifetime = milliseconds(3600);
// How long work that depends on a dead worker stalls.
inline constexpr auto stall = milliseconds(1500);
inline const std::string crashing_part = "bad0c0de";

struct arrival {
    std::string attempt;
    bool crashes = false;
    steady::time_point at{};
};

struct observations {
    std::mutex mutex;
    std::vector<steady::time_point> crashes;
    std::vector<arrival> arrivals;
    // Sound requests that a worker began to write and could not finish because it crashed.
    int cut_by_crash = 0;
};

// Prefill time of a prompt with the figures of the desired state.
inline double prefill_ms(double tokens) {
    return tokens / 177 + 0.184 * tokens * tokens / 2 / 1e6;
}

// A model worker on one address; each start is a new boot with a new id.
class engine_worker {
public:
    engine_worker(store& registry, recorder& record, observations& seen, std::string ip, int number)
        : m_store(registry), m_record(record), m_seen(seen), m_ip(std::move(ip)), m_number(number) {
        start();
        m_keeper = std::thread([this] { keep(); });
    }
    ~engine_worker() {
        m_stopped = true;
        m_keeper.join();
        if (m_server) {
            m_server->stop(false);
        }
        const std::lock_guard lock(alive_mutex());
        alive().erase(m_address);
    }
    engine_worker(const engine_worker&) = delete;
    engine_worker& operator=(const engine_worker&) = delete;
    engine_worker(engine_worker&&) = delete;
    engine_worker& operator=(engine_worker&&) = delete;

private:
    // The boots that run now, by address, which workers know of their helpers.
    static std::map<std::string, std::string>& alive() {
        static std::map<std::string, std::string> boots;
        return boots;
    }
    static std::mutex& alive_mutex() {
        static std::mutex mutex;
        return mutex;
    }
    static std::string boot_at(const std::string& address) {
        const std::lock_guard lock(alive_mutex());
        const auto found = alive().find(address);
        return found == alive().end() ? std::string() : found->second;
    }

    void start() {
        m_crash_wanted = false;
        m_born = unix_ms();
        m_id = "e-" + std::to_string(m_number) + "-" + std::to_string(++m_boots);
        m_server = std::make_unique<http_server>(
            m_ip, m_port, [this, id = m_id](const message& request, const std::shared_ptr<channel>& opened) {
                return answer(id, request, opened);
            });
        m_port = m_server->port();
        m_address = m_server->address();
        {
            const std::lock_guard lock(alive_mutex());
            alive()[m_address] = m_id;
        }
        write_entry();
    }

    void write_entry() {
        m_store.put("servers", m_id,
                    R"({"service":"llm","address":")" + m_address +
                        R"(","zone":"zone-a","version":"v1","slots":16,"state":"ready","cold-ms":0,)"
                        R"("stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"sequence":)" +
                        std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born) + "}");
        m_next_beat = steady::now() + milliseconds(1200);
        m_entry_written = steady::now();
    }

    void crash() {
        m_record.add("worker " + m_id + " crashes");
        {
            const std::lock_guard lock(alive_mutex());
            alive().erase(m_address);
        }
        m_server->stop(false);
        m_server.reset();
    }

    // Crashes, comes back, reports liveness, and removes the entry of an earlier boot as the
    // platform does.
    void keep() {
        std::string silent_id;
        steady::time_point silent_until{};
        steady::time_point back_at{};
        while (!m_stopped) {
            const auto now = steady::now();
            if (m_server && m_crash_wanted) {
                silent_id = m_id;
                silent_until = m_entry_written + entry_lifetime;
                back_at = now + time_down;
                crash();
            }
            if (!m_server && now >= back_at) {
                start();
                m_record.add("worker " + m_id + " has started");
            }
            if (!silent_id.empty() && now >= silent_until) {
                m_store.put("servers", silent_id, std::nullopt);
                silent_id.clear();
            }
            if (m_server && now >= m_next_beat) {
                write_entry();
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
    }

    std::string report() {
        return R"({"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,)"
               R"("queued":0,"running":)" +
               std::to_string(m_running.load()) +
               R"(,"kv-used":0,"kv-total":315000,"handles":0,"pace":1.0,"tickets":[],"born":)" +
               std::to_string(m_born) + "}";
    }

    bool answer(const std::string& id, const message& request, const std::shared_ptr<channel>& opened) {
        if (request.target == "/api/report") {
            return opened->write(answer_text(200, {{"Content-Type", "application/json"}}, report()));
        }
        if (request.target == "/api/order") {
            return opened->write(answer_text(200, {}, R"({"free-slots":315000})"));
        }
        const auto attempt = request.field("Verbenahold-Attempt-Id");
        const auto expected = request.field("Verbenahold-Expect-Instance");
        if (!expected.empty() && expected != id) {
            return opened->write(
                answer_text(421, {{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", id}}, ""));
        }
        const bool crashes = request.field("Verbenahold-Prompt-Prefix").find(crashing_part + ":") != std::string::npos;
        {
            const std::lock_guard lock(m_seen.mutex);
            m_seen.arrivals.push_back({attempt, crashes, steady::now()});
        }
        ++m_running;
        const bool served = serve(request, opened, attempt, crashes);
        --m_running;
        return served;
    }

    // Reads the prompt, in turns with others that are read here and in even parts with helpers.
    // Returns the address of a helper that is gone; empty if there is none.
    std::string prefill(const message& request) {
        std::map<std::string, std::string> helpers;
        auto list = request.field("Verbenahold-Helpers");
        while (!list.empty()) {
            const auto comma = std::min(list.find(','), list.size());
            const auto entry = list.substr(0, comma);
            const auto address = entry.substr(0, entry.find('/'));
            helpers[address] = boot_at(address);
            list.erase(0, comma + 1);
        }
        double left = prefill_ms(std::atof(request.field("Verbenahold-Token-Usage").c_str())) /
                      static_cast<double>(1 + helpers.size());
        while (left > 0 && !m_crash_wanted && !m_stopped) {
            {
                const std::lock_guard turn(m_prefill);
                std::this_thread::sleep_for(milliseconds(10));
            }
            left -= 10;
            for (const auto& [address, boot] : helpers) {
                if (boot.empty() || boot_at(address) != boot) {
                    return address;
                }
            }
        }
        return {};
    }

    bool serve(const message& request, const std::shared_ptr<channel>& opened, const std::string& attempt,
               bool crashes) {
        const auto gone = prefill(request);
        if (!gone.empty()) {
            std::this_thread::sleep_for(stall);
            return opened->write(answer_text(
                503, {{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Not-Executed", "1"}, {"At-Server", gone}},
                ""));
        }
        if (crashes) {
            if (!m_crash_wanted.exchange(true)) {
                const std::lock_guard lock(m_seen.mutex);
                m_seen.crashes.push_back(steady::now());
            }
            std::this_thread::sleep_for(milliseconds(50));
            return false;
        }
        return write_stream(opened, attempt);
    }

    bool write_stream(const std::shared_ptr<channel>& opened, const std::string& attempt) {
        if (m_crash_wanted ||
            !opened->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nVerbenahold-Attempt-Id: " + attempt +
                           "\r\nVerbenahold-Origin-Signature: s.1\r\nVerbenahold-Weight-Versions: 1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int event = 1; event <= 8; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (m_crash_wanted || !opened->write(size + text + "\r\n")) {
                const std::lock_guard lock(m_seen.mutex);
                m_seen.cut_by_crash += m_crash_wanted ? 1 : 0;
                return false;
            }
            std::this_thread::sleep_for(milliseconds(45));
        }
        return opened->write("0\r\n\r\n");
    }

    store& m_store;
    recorder& m_record;
    observations& m_seen;
    std::string m_ip;
    int m_number;
    int m_port = 0;
    int m_boots = 0;
    std::string m_id;
    std::string m_address;
    std::atomic<std::int64_t> m_born{0};
    std::atomic<int> m_sequence{0};
    std::atomic<int> m_running{0};
    std::atomic<bool> m_crash_wanted{false};
    std::atomic<bool> m_stopped{false};
    std::mutex m_prefill;
    steady::time_point m_next_beat{};
    steady::time_point m_entry_written{};
    std::unique_ptr<http_server> m_server;
    std::thread m_keeper;
};

// A desired state with one streaming route to the service "llm".
inline std::string engine_desired_state(int timeout_ms, int target_ms, int gap_ms) {
    return R"({"version":3,"routes":[{"name":"r-review","host":"llm.example","prefix":"/review/","kind":"streaming",)"
           R"("timeout-ms":)" +
           std::to_string(timeout_ms) + R"(,"target-latency-ms":)" + std::to_string(target_ms) +
           R"(,"priority":1,"service":"llm","max-attempts":2,)"
           R"("anonymous":false,"session-affinity":true,"can-resume":true,"target-gap-ms":)" +
           std::to_string(gap_ms) +
           R"(}],"services":[{"name":"llm","health-check":"/health","max-connections":314,"protocol":"h1",)"
           R"("tls":false,"cold-s":3.0,"cold-per-s":26.0,"engine":{"slots":16,"kv-capacity":315000,)"
           R"("kv-token-bytes":163840,"bandwidth-mbps":400000.0,"stride":51,"models":[{"name":"m"}],)"
           R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,)"
           R"("pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":0.0,"loads_at_once":8,)"
           R"("delays":[],"usual":{"prompt":6000,"answer":400},"hop-ms":0.05}}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
           R"("idle-timeout-ms":15000},"tenants":[{"name":"archive","api-keys":["key-1"],"priority":1}]})";
}

struct sound_request {
    steady::time_point sent{};
    bool begun = false;
    bool complete = false;
};

// Clients that send requests to the daemons in turn, each on a connection of its own.
class model_clients {
public:
    model_clients(recorder& record, std::vector<daemon_addresses> daemons, milliseconds limit)
        : m_record(record), m_daemons(std::move(daemons)), m_limit(limit) {}

    // Sends a request with a prompt of this many tokens; `make_prefix` gets its number.
    void send(bool crashes, int tokens, const std::function<std::string(int)>& make_prefix) {
        const auto& daemon = m_daemons[static_cast<std::size_t>(m_number) % m_daemons.size()];
        const int number = ++m_number;
        const auto attempt = (crashes ? "bad" : "sound") + std::to_string(number);
        const auto request = request_text("POST", "/review/" + std::to_string(number),
                                          {{"Host", "llm.example"},
                                           {"Verbenahold-Attempt-Id", attempt},
                                           {"Verbenahold-Model", "m"},
                                           {"Verbenahold-Token-Usage", std::to_string(tokens) + ",400"},
                                           {"Verbenahold-Prompt-Prefix", make_prefix(number)},
                                           {"Verbenahold-Deadline-Ms", std::to_string(m_limit.count())},
                                           {"Authorization", "Bearer key-1"}},
                                          "body of " + attempt);
        ++m_open;
        std::thread([this, attempt, request, crashes, address = daemon.front] {
            const auto got = call(address, request, m_limit);
            const bool begun = got.answer.status == 200 && !got.answer.body.empty();
            m_record.add(attempt + ": sent at " + std::to_string(m_record.at(got.sent)) + ", status " +
                         std::to_string(got.answer.status) + ", " + (begun ? "begun, " : "") + got.end);
            if (!crashes) {
                const std::lock_guard lock(m_mutex);
                m_sound.push_back({got.sent, begun, got.complete && got.answer.status == 200});
            }
            --m_open;
        }).detach();
    }

    // Waits for all answers and returns what became of the sound requests.
    std::vector<sound_request> finish() {
        while (m_open > 0) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        const std::lock_guard lock(m_mutex);
        return m_sound;
    }

private:
    recorder& m_record;
    std::vector<daemon_addresses> m_daemons;
    milliseconds m_limit;
    std::mutex m_mutex;
    std::vector<sound_request> m_sound;
    std::atomic<int> m_open{0};
    int m_number = 0;
};

// Writes the settings of `count` daemons, each on an address of its own, and waits until the
// daemons are ready. Empty if one is not.
inline std::vector<daemon_addresses> start_daemons(const std::string& folder, const std::string& ip, int count,
                                                   const store& registry, recorder& record) {
    const auto dot = ip.rfind('.') + 1;
    std::vector<daemon_addresses> daemons;
    for (int number = 0; number < count; ++number) {
        const auto own_ip = ip.substr(0, dot) + std::to_string(std::atoi(ip.c_str() + dot) + number);
        const auto node = "front-" + std::to_string(number + 1);
        daemons.push_back(write_settings(folder + "/" + node + ".json", node, own_ip, registry.address()));
    }
    say_ready(folder);
    for (const auto& daemon : daemons) {
        if (!wait_until_ready(daemon.ready, milliseconds(10'000))) {
            record.add("a daemon was not ready");
            return {};
        }
    }
    std::this_thread::sleep_for(milliseconds(1500));
    return daemons;
}

// What the two rules about crashing parts count.
struct crash_findings {
    bool budget_broken = false;
    bool lost_broken = false;
    bool could_judge = false;
};

// `began` is when the requests that crash workers began to come.
inline crash_findings judge_crashes(recorder& record, const observations& seen, const std::vector<sound_request>& sound,
                                    steady::time_point began, bool trouble) {
    constexpr auto contact = milliseconds(3000);
    constexpr int allowed_arrivals = 3;
    constexpr int least_requests = 20;
    const std::size_t crashes = seen.crashes.size();
    // The fifth crash, or the last if there are fewer.
    const auto counted_from = crashes == 0 ? began : seen.crashes[std::min<std::size_t>(crashes, 5) - 1];
    int before = 0;
    int before_begun = 0;
    int after = 0;
    int after_begun = 0;
    int after_complete = 0;
    for (const auto& one : sound) {
        if (one.sent < began - milliseconds(1500)) {
            ++before;
            before_begun += one.begun ? 1 : 0;
        } else if (one.sent > counted_from + 2 * contact) {
            ++after;
            after_begun += one.begun ? 1 : 0;
            after_complete += one.complete ? 1 : 0;
        }
    }
    int reached = 0;
    for (const auto& one : seen.arrivals) {
        reached += crashes >= 5 && one.crashes && one.at > counted_from + contact ? 1 : 0;
    }
    record.add("crashes of workers: " + std::to_string(crashes) +
               "; sound answers that had begun and were cut by one: " + std::to_string(seen.cut_by_crash));
    record.add("BUDGET: requests with the part that reached workers later than contact-ms after the fifth crash: " +
               std::to_string(reached) + " (three are allowed)");
    record.add("LOST: sound requests that began at the first attempt: before " + std::to_string(before_begun) + " of " +
               std::to_string(before) + ", from 2 x contact-ms after the fifth crash (the last, if fewer) " +
               std::to_string(after_begun) + " of " + std::to_string(after) + "; complete " +
               std::to_string(after_complete));
    crash_findings found;
    found.could_judge =
        before >= least_requests && after >= least_requests && 2 * before_begun > before && (!trouble || crashes > 0);
    found.budget_broken = reached > allowed_arrivals;
    found.lost_broken = found.could_judge &&
                        static_cast<double>(after_begun) / after < 0.5 * static_cast<double>(before_begun) / before;
    record.add(std::string("rules: BUDGET ") + (found.budget_broken ? "broken" : "held") + ", LOST " +
               (found.lost_broken ? "broken" : "held"));
    return found;
}

}  // namespace review3
