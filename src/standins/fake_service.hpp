// Stand-in of a plain service over HTTP: counts executions per idempotency
// key and does not deduplicate, so that a call that is sent twice shows.
#pragma once

#include "rate_limit.hpp"
#include "standin_server.hpp"
#include "timer_service.hpp"

#include <QJsonObject>

#include <cstdint>
#include <map>
#include <string>

namespace verbenahold::standins {

struct service_settings {
    duration latency = std::chrono::milliseconds(20);
    // Calls that run at once; more are refused with 429 and do not run.
    int capacity = 64;
};

class fake_service {
public:
    fake_service(const service_settings& settings, timer_service& timers);

    void handle(const http_call& call, const shared_reply& reply);

private:
    void run(const http_call& call, const shared_reply& reply);
    void execute(const http_call& call, const shared_reply& reply);
    void handle_admin(const http_call& call, const shared_reply& reply);
    void set_faults(const QJsonObject& faults);
    [[nodiscard]] QJsonObject stats() const;

    service_settings m_settings;
    timer_service& m_timers;
    std::uint64_t m_incarnation;
    int m_running = 0;
    std::map<std::string, std::int64_t> m_executions;
    std::int64_t m_calls_without_key = 0;
    std::int64_t m_lookups = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_last_new_work_ms = 0;
    // Faults: whether the next execution ends in a crash, and how many of the
    // next answers are lost.
    bool m_crash_after_execution = false;
    std::int64_t m_answers_to_lose = 0;
};

}  // namespace verbenahold::standins
