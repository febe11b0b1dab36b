// A model engine as the product sees it over HTTP: streams, load, listing,
// reservations, groups, orders and faults, in front of an engine_model.
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
    // How far the load report is behind the truth.
    duration load_lag = std::chrono::milliseconds(200);
    bool checks_fence = true;
    duration model_load_time = std::chrono::seconds(2);
    // Weights are fetched from there before a model load; not if it is empty.
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
    // Sends each reader what is new for it.
    void serve_readers();
    // What is new for the reader, which has it after this; `last` tells whether
    // nothing more will come.
    QByteArray take_events(const model_stream& stream, reader& to, bool& last) const;
    [[nodiscard]] std::vector<std::string> reader_ids() const;
    void send_heartbeats();
    void note_start(const std::string& id);

    // Runs the model and the timer as long as there is work.
    void step();
    void wake();
    void remember_load();
    [[nodiscard]] QJsonObject lagging_load();
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
    // Load by the time from which it was true, oldest first.
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
