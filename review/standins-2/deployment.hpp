// A small deployment: the store, a model service with some workers, and three daemons.
#pragma once

#include "model_workers.hpp"

namespace stage {

// How long a machine must have run to be in touch.
constexpr double contact_s = 3.0;
constexpr int client_limit_ms = 10000;

struct sound_request {
    std::string attempt;
    double sent_at = 0;
    outcome seen;
};

class deployment {
public:
    // Each worker is back the given seconds after a crash.
    deployment(const std::string& record_path, std::vector<double> workers_back_after_s)
        : out(record_path), service(*new model_service(rows, out)), m_back_after_s(std::move(workers_back_after_s)) {}

    // False if the case can't run.
    bool start() {
        ::signal(SIGPIPE, SIG_IGN);
        start_time();
        const auto store_ip = loopback_ip(100);
        m_store_address = store_ip + ":" + std::to_string(free_port(store_ip));
        if (m_folder.path().empty() || !rows.start(m_store_address)) {
            return false;
        }
        for (std::size_t number = 1; number <= m_back_after_s.size(); ++number) {
            const auto ip = loopback_ip(50 + static_cast<int>(number));
            const auto address = ip + ":" + std::to_string(free_port(ip));
            service.by_address[address] = std::make_shared<model_worker>(service, static_cast<int>(number),
                                                                         m_zones[(number - 1) % m_zones.size()],
                                                                         address, m_back_after_s[number - 1]);
        }
        for (const auto& [address, worker] : service.by_address) {
            if (!worker->start()) {
                return false;
            }
        }
        rows.put("op", "config", desired_state(host));
        for (int number = 1; number <= 3; ++number) {
            const auto& zone = m_zones[static_cast<std::size_t>(number) - 1];
            daemons.emplace_back("front-" + zone + "-1", zone, loopback_ip(number));
        }
        for (auto& each : daemons) {
            if (!each.start(m_folder.path(), m_store_address)) {
                return false;
            }
        }
        return await_ready();
    }
    bool await_ready() {
        const double until = seconds() + 15;
        for (auto& each : daemons) {
            while (!each.is_ready()) {
                if (seconds() > until) {
                    return false;
                }
                sleep_s(0.05);
            }
        }
        out.line("daemons ready");
        return true;
    }
    void kill_all_daemons() {
        for (auto& each : daemons) {
            each.signal(SIGKILL);
        }
        for (auto& each : daemons) {
            each.reap(5);
        }
        out.line("all daemons killed");
    }
    bool restart_daemons() {
        for (auto& each : daemons) {
            if (!each.spawn(m_folder.path())) {
                return false;
            }
        }
        out.line("all daemons started again");
        return await_ready();
    }
    [[noreturn]] void finish(int code, const std::string& why) {
        for (auto& each : daemons) {
            each.end();
        }
        out.line("result ", code, ": ", why);
        std::printf("%d: %s\n", code, why.c_str());
        std::fflush(nullptr);
        m_folder.remove();
        std::_Exit(code);
    }

    // Sends a request on a new channel and waits for its answer.
    outcome send(const std::string& route, const std::string& attempt, std::size_t machine, int tokens,
                 const std::string& shared_parts) {
        const auto front = daemons[machine % daemons.size()].front();
        const auto prefix = shared_parts + "," + attempt + "ff:" + std::to_string(tokens - 940);
        out.line("sent ", attempt, " to ", daemons[machine % daemons.size()].name());
        auto seen = request(front, prompt_request(host, route, attempt, tokens, 255, prefix, client_limit_ms), 11);
        out.line("answered ", attempt, " status ", seen.status, " retry-after ", seen.retry_after, " events ",
                 seen.ids.size(), seen.whole ? " whole" : " cut");
        return seen;
    }
    // Sends one request in the background.
    void send_later(std::vector<std::thread>& threads, const std::string& route, const std::string& attempt,
                    std::size_t machine, int tokens, const std::string& shared_parts,
                    std::vector<sound_request>* kept = nullptr) {
        threads.emplace_back([=, this] {
            sound_request request{attempt, seconds(), {}};
            request.seen = send(route, attempt, machine, tokens, shared_parts);
            if (kept != nullptr) {
                const std::lock_guard lock(m_mutex);
                kept->push_back(request);
            }
        });
    }

    record out;
    store rows;
    model_service& service;
    std::vector<serving_daemon> daemons;
    const std::string host = "ficu95.example";
    // The first part of all prompts and the harmful one.
    const std::string harmful_parts = "5c1e07a2:40," + harmful_part + ":900";

private:
    const std::vector<std::string> m_zones{"hu-central-a", "hu-central-b", "hu-central-c"};
    std::vector<double> m_back_after_s;
    temporary_folder m_folder;
    std::string m_store_address;
    std::mutex m_mutex;
};

}  // namespace stage
