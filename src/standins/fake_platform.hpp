// Stand-in of the platform over HTTP: table service, object store, host list
// and weight store, with faults on request.
#pragma once

#include "rate_limit.hpp"
#include "standin_server.hpp"
#include "table_store.hpp"
#include "timer_service.hpp"

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace verbenahold::standins {

struct platform_settings {
    // Operations a second. The real platform grants a deployment several
    // hundred writes and about 2,000 reads.
    double writes_per_second = 400;
    double reads_per_second = 2000;
    // Weight loads that may start in a second.
    double weights_per_second = 2;
    duration host_list_lag = std::chrono::milliseconds(0);
};

class fake_platform {
public:
    fake_platform(const platform_settings& settings, timer_service& timers);

    void handle(const http_call& call, const shared_reply& reply);

private:
    using action = std::function<void()>;

    void handle_table(const http_call& call, const shared_reply& reply);
    void run_table(const http_call& call, const shared_reply& reply);
    void handle_object(const http_call& call, const shared_reply& reply);
    void run_object(const http_call& call, const shared_reply& reply);
    void handle_hosts(const http_call& call, const shared_reply& reply);
    void handle_weights(const http_call& call, const shared_reply& reply);
    void handle_admin(const http_call& call, const shared_reply& reply);
    void set_faults(const QJsonObject& faults);
    // Whether the store is up and the limit allows one more operation; answers
    // the request otherwise.
    bool admit(bool write, const shared_reply& reply);
    // Answers a write, unless a fault drops this answer.
    void answer_write(const shared_reply& reply, int status, const QJsonObject& body);
    // Runs `work` after the delay that the fault sets.
    void run_delayed(action work);
    void record_hosts();
    [[nodiscard]] QJsonObject host_list();
    [[nodiscard]] QJsonObject stats() const;

    platform_settings m_settings;
    timer_service& m_timers;
    table_store m_table;
    std::map<QString, QByteArray> m_objects;
    std::map<QString, QJsonObject> m_hosts;
    // Host lists with the time at which each became current, oldest first.
    std::deque<std::pair<time_point, QJsonObject>> m_host_history;
    rate_limit m_writes;
    rate_limit m_reads;
    rate_limit m_weights;

    time_point m_table_down_until{};
    time_point m_hosts_down_until{};
    duration m_table_delay{};
    std::int64_t m_answers_to_lose = 0;

    std::uint64_t m_reads_done = 0;
    std::uint64_t m_writes_done = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_refused_by_limit = 0;
    std::uint64_t m_refused_by_outage = 0;
    std::uint64_t m_answers_lost = 0;
    std::uint64_t m_host_list_reads = 0;
    std::uint64_t m_weight_loads = 0;
    std::uint64_t m_weight_refusals = 0;
};

}  // namespace verbenahold::standins
