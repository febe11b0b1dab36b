// A worker of a plain application service: registers in the store, reports liveness, and
// answers requests as the users' pages say.
#pragma once

#include "review3_platform.hpp"

namespace review3 {

struct run_seen {
    std::string attempt;
    std::string service;
    std::string target;
    std::string account;
    steady::time_point at{};
};

class shop_worker {
public:
    // `on_run` is called when a request begins to run.
    shop_worker(store& registry, std::string ip, std::string service, std::string id,
                std::function<void(const run_seen&)> on_run)
        : m_store(registry),
          m_service(std::move(service)),
          m_id(std::move(id)),
          m_on_run(std::move(on_run)),
          m_server(std::move(ip), 0, [this](const message& request, const std::shared_ptr<channel>& opened) {
              return answer(request, opened);
          }) {
        m_beats = std::thread([this] {
            while (!m_stopped) {
                if (steady::now() >= m_next_beat.load()) {
                    write_entry();
                }
                std::this_thread::sleep_for(milliseconds(10));
            }
        });
    }
    ~shop_worker() {
        m_stopped = true;
        m_beats.join();
        m_server.stop(false);
    }
    shop_worker(const shop_worker&) = delete;
    shop_worker& operator=(const shop_worker&) = delete;
    shop_worker(shop_worker&&) = delete;
    shop_worker& operator=(shop_worker&&) = delete;

    void write_entry() {
        m_next_beat = steady::now() + milliseconds(1200);
        m_store.put("servers", m_id,
                    R"({"service":")" + m_service + R"(","address":")" + m_server.address() +
                        R"(","zone":"zone-a","version":"v1","slots":6,"state":"ready","cold-ms":0,"sequence":)" +
                        std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born) + "}");
    }

private:
    bool answer(const message& request, const std::shared_ptr<channel>& opened) {
        const auto expected = request.field("Verbenahold-Expect-Instance");
        const auto attempt = request.field("Verbenahold-Attempt-Id");
        if (!expected.empty() && expected != m_id) {
            return opened->write(
                answer_text(421, {{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Instance-Id", m_id}}, ""));
        }
        m_on_run({attempt, m_service, request.target, request.field("Verbenahold-Tenant"), steady::now()});
        std::this_thread::sleep_for(milliseconds(10));
        return opened->write(answer_text(
            200, {{"Verbenahold-Attempt-Id", attempt}, {"Verbenahold-Origin-Signature", "s." + m_id}}, "ok " + m_id));
    }

    store& m_store;
    std::string m_service;
    std::string m_id;
    std::function<void(const run_seen&)> m_on_run;
    std::int64_t m_born = unix_ms();
    std::atomic<steady::time_point> m_next_beat{steady::time_point{}};
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_stopped{false};
    http_server m_server;
    std::thread m_beats;
};

}  // namespace review3
