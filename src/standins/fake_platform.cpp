#include "fake_platform.hpp"

#include <QJsonArray>

#include <chrono>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

constexpr int default_scan_limit = 1000;

duration milliseconds_of(const QJsonValue& value) {
    return milliseconds(value.toInteger());
}

}  // namespace

fake_platform::fake_platform(const platform_settings& settings, timer_service& timers)
    : m_settings(settings),
      m_timers(timers),
      m_writes(settings.writes_per_second),
      m_reads(settings.reads_per_second),
      m_weights(settings.weights_per_second) {
    record_hosts();
}

void fake_platform::handle(const http_call& call, const shared_reply& reply) {
    const QString area = call.segments.value(1);
    if (area == QLatin1String("table")) {
        handle_table(call, reply);
    } else if (area == QLatin1String("objects")) {
        handle_object(call, reply);
    } else if (area == QLatin1String("hosts")) {
        handle_hosts(call, reply);
    } else if (area == QLatin1String("weights")) {
        handle_weights(call, reply);
    } else if (area == QLatin1String("admin")) {
        handle_admin(call, reply);
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

bool fake_platform::admit(bool write, const shared_reply& reply) {
    const time_point now = m_timers.now();
    if (now < m_table_down_until) {
        ++m_refused_by_outage;
        send_error(reply, 503, "unavailable");
        return false;
    }
    if (!(write ? m_writes : m_reads).take(1, now)) {
        ++m_refused_by_limit;
        send_error(reply, 429, "rate_limited");
        return false;
    }
    ++(write ? m_writes_done : m_reads_done);
    return true;
}

void fake_platform::run_delayed(action work) {
    if (m_table_delay <= duration::zero()) {
        work();
        return;
    }
    m_timers.after(m_table_delay, std::move(work));
}

void fake_platform::answer_write(const shared_reply& reply, int status, const QJsonObject& body) {
    if (m_answers_to_lose > 0) {
        --m_answers_to_lose;
        ++m_answers_lost;
        reply->abort();
        return;
    }
    send_json(reply, status, body);
}

void fake_platform::handle_table(const http_call& call, const shared_reply& reply) {
    run_delayed([this, call, reply] { run_table(call, reply); });
}

void fake_platform::run_table(const http_call& call, const shared_reply& reply) {
    const std::optional<QJsonObject> body = call.json();
    if (!body) {
        send_error(reply, 400, "bad_request");
        return;
    }
    const bool write = call.is("POST", "table/transact");
    if (!admit(write, reply)) {
        return;
    }
    if (write) {
        const transaction_result result = m_table.transact(*body);
        if (const auto* done = std::get_if<transaction_done>(&result)) {
            answer_write(reply, 200, {{"revision", static_cast<qint64>(done->revision)}});
            return;
        }
        ++m_conflicts;
        QJsonArray failed;
        for (const QString& key : std::get<transaction_failed>(result).keys) {
            failed.append(key);
        }
        answer_write(reply, 409, {{"failed", failed}});
    } else if (call.is("POST", "table/read")) {
        send_json(reply, 200, m_table.read((*body)["keys"].toArray()));
    } else if (call.is("POST", "table/scan")) {
        const int limit = (*body)["limit"].toInt(default_scan_limit);
        send_json(reply, 200, m_table.scan((*body)["prefix"].toString(), (*body)["after"].toString(), limit));
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

void fake_platform::handle_object(const http_call& call, const shared_reply& reply) {
    run_delayed([this, call, reply] { run_object(call, reply); });
}

void fake_platform::run_object(const http_call& call, const shared_reply& reply) {
    const QString name = call.segments.mid(2).join('/');
    if (name.isEmpty()) {
        send_error(reply, 404, "unknown_path");
        return;
    }
    if (!admit(call.method != "GET", reply)) {
        return;
    }
    if (call.method == "PUT") {
        m_objects[name] = call.body;
        answer_write(reply, 200, {});
    } else if (call.method == "DELETE") {
        m_objects.erase(name);
        answer_write(reply, 200, {});
    } else if (const auto found = m_objects.find(name); found != m_objects.end()) {
        reply->send(200, "application/octet-stream", found->second);
    } else {
        send_error(reply, 404, "unknown_object");
    }
}

void fake_platform::record_hosts() {
    QJsonArray hosts;
    for (const auto& [name, host] : m_hosts) {
        hosts.append(host);
    }
    m_host_history.emplace_back(m_timers.now(), QJsonObject{{"hosts", hosts}});
}

QJsonObject fake_platform::host_list() {
    const time_point wanted = m_timers.now() - m_settings.host_list_lag;
    while (m_host_history.size() > 1 && m_host_history[1].first <= wanted) {
        m_host_history.pop_front();
    }
    return m_host_history.front().second;
}

void fake_platform::handle_hosts(const http_call& call, const shared_reply& reply) {
    if (call.is("GET", "hosts")) {
        ++m_host_list_reads;
        if (m_timers.now() < m_hosts_down_until) {
            send_error(reply, 503, "unavailable");
            return;
        }
        send_json(reply, 200, host_list());
        return;
    }
    const QString name = call.segments.value(2);
    if (call.is("PUT", "hosts/*")) {
        QJsonObject host = call.json().value_or(QJsonObject());
        host["host"] = name;
        m_hosts[name] = host;
    } else if (call.is("DELETE", "hosts/*")) {
        m_hosts.erase(name);
    } else {
        send_error(reply, 404, "unknown_path");
        return;
    }
    record_hosts();
    send_json(reply, 200, {});
}

void fake_platform::handle_weights(const http_call& call, const shared_reply& reply) {
    if (!call.is("GET", "weights/*/*")) {
        send_error(reply, 404, "unknown_path");
        return;
    }
    if (!m_weights.take(1, m_timers.now())) {
        ++m_weight_refusals;
        send_error(reply, 429, "rate_limited");
        return;
    }
    ++m_weight_loads;
    send_json(reply, 200, {{"model", call.segments[2]}, {"version", call.segments[3]}});
}

void fake_platform::handle_admin(const http_call& call, const shared_reply& reply) {
    handle_admin_call(
        call, reply, [this](const QJsonObject& faults) { set_faults(faults); }, [this] { return stats(); });
}

void fake_platform::set_faults(const QJsonObject& faults) {
    const time_point now = m_timers.now();
    if (faults.contains("table_down_ms")) {
        m_table_down_until = now + milliseconds_of(faults["table_down_ms"]);
    }
    if (faults.contains("hosts_down_ms")) {
        m_hosts_down_until = now + milliseconds_of(faults["hosts_down_ms"]);
    }
    if (faults.contains("table_delay_ms")) {
        m_table_delay = milliseconds_of(faults["table_delay_ms"]);
    }
    if (faults.contains("lose_answers")) {
        m_answers_to_lose = faults["lose_answers"].toInteger();
    }
    if (faults.contains("host_list_lag_ms")) {
        m_settings.host_list_lag = milliseconds_of(faults["host_list_lag_ms"]);
    }
}

QJsonObject fake_platform::stats() const {
    return {{"reads", static_cast<qint64>(m_reads_done)},
            {"writes", static_cast<qint64>(m_writes_done)},
            {"conflicts", static_cast<qint64>(m_conflicts)},
            {"refused_by_limit", static_cast<qint64>(m_refused_by_limit)},
            {"refused_by_outage", static_cast<qint64>(m_refused_by_outage)},
            {"answers_lost", static_cast<qint64>(m_answers_lost)},
            {"host_list_reads", static_cast<qint64>(m_host_list_reads)},
            {"weight_loads", static_cast<qint64>(m_weight_loads)},
            {"weight_refusals", static_cast<qint64>(m_weight_refusals)}};
}

}  // namespace verbenahold::standins
