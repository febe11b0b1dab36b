// HTTP interface of a simulated model engine: streams, load, listing,
// reservations, groups, orders and faults. engine_model decides the timing.
#pragma once

#include "engine_model.hpp"
#include "group_watch.hpp"
#include "http_client.hpp"
#include "standin_server.hpp"
#include "timer_service.hpp"

#include <QJsonObject>
#include <QString>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace verbenahold::standins {

struct fake_engine_settings {
    engine_settings model;
    // Text in a prompt that makes the engine crash at the end of its prefill.
    std::string crash_marker = "\001crash\001";
    // Age of the load that the engine reports.
    duration load_lag = std::chrono::milliseconds(200);
    bool checks_fence = true;
    duration model_load_time = std::chrono::seconds(2);
    // Platform that weights are fetched from before a model load; empty: the
    // fetch is left out.
    std::string platform_url;
};

class fake_engine {
public:
    fake_engine(const fake_engine_settings& settings, timer_service& timers);

    void handle(const http_call& call, const shared_reply& reply);

private:
    struct reader {
        shared_reply reply;
        std::int64_t next = 0;
    };

    struct start_record {
        std::int64_t count = 0;
        // Wall clock, milliseconds since 1970.
        std::int64_t last_start_ms = 0;
    };

    void handle_streams(const http_call& call, const shared_reply& reply);
    void handle_kv(const http_call& call, const shared_reply& reply);
    void handle_reservations(const http_call& call, const shared_reply& reply);
    void handle_orders(const http_call& call, const shared_reply& reply);
    void load_model(const QString& model, const QString& version);
    // Repeats until the weight store allows it, then runs the load.
    void fetch_weights(std::uint64_t load_number, const QString& model, const QString& version);
    void handle_admin(const http_call& call, const shared_reply& reply);

    void start_stream(const http_call& call, const shared_reply& reply);
    void admit_stream(const stream_request& request, const shared_reply& reply);
    void reopen_stream(const http_call& call, const shared_reply& reply);
    void cancel_stream(const std::string& id, const shared_reply& reply);
    void replace_part(const http_call& call, const shared_reply& reply);
    void attach(const std::string& id, const shared_reply& reply, std::int64_t from);
    // Sends each reader the events that it has not received.
    void send_events();
    // Returns the events that the reader has not received and counts them as
    // sent; `last` is set to whether they end the answer.
    QByteArray take_events(const model_stream& stream, reader& to, bool& last) const;
    [[nodiscard]] std::vector<std::string> reader_ids() const;
    void send_heartbeats();
    void record_start(const std::string& id);

    // Advances the model and schedules the next step while there is work.
    void step();
    void wake();
    void record_load();
    [[nodiscard]] QJsonObject delayed_load();
    [[nodiscard]] QJsonObject listing() const;
    [[nodiscard]] QJsonObject stats() const;
    void set_faults(const QJsonObject& faults);

    fake_engine_settings m_settings;
    timer_service& m_timers;
    engine_model m_model;
    group_watch m_groups;
    http_client m_client;
    std::uint64_t m_incarnation;
    std::map<std::string, reader> m_readers;
    std::uint64_t m_step_timer = 0;
    // Loads with the time at which each became current, oldest first.
    std::deque<std::pair<time_point, engine_load>> m_load_history;

    std::int64_t m_highest_fence = 0;
    QString m_role = "serve";
    std::set<QString> m_adapters;
    std::uint64_t m_load_number = 0;
    std::map<std::string, std::int64_t> m_orders_by_fence;
    std::int64_t m_stale_orders = 0;
    std::map<std::string, start_record> m_starts;
    std::deque<std::string> m_start_order;
    std::int64_t m_last_new_work_ms = 0;
};

}  // namespace verbenahold::standins
