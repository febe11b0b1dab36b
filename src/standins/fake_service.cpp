#include "fake_service.hpp"

#include <QDateTime>

#include <chrono>
#include <cstdlib>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

constexpr int exit_crashed = 70;

}  // namespace

fake_service::fake_service(const service_settings& settings, timer_service& timers)
    : m_settings(settings),
      m_timers(timers),
      m_incarnation(static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()) * 1000U) {}

void fake_service::handle(const http_call& call, const shared_reply& reply) {
    if (call.segments.value(1) == QLatin1String("admin")) {
        handle_admin(call, reply);
    } else if (call.is("GET", "load")) {
        send_json(reply, 200,
                  {{"incarnation", static_cast<qint64>(m_incarnation)}, {"running", m_running}, {"queued", 0}});
    } else {
        run(call, reply);
    }
}

void fake_service::run(const http_call& call, const shared_reply& reply) {
    if (m_running >= m_settings.capacity) {
        ++m_refused;
        send_error(reply, 429, "overloaded");
        return;
    }
    ++m_running;
    m_last_new_work_ms = QDateTime::currentMSecsSinceEpoch();
    m_timers.after(m_settings.latency, [this, call, reply] { execute(call, reply); });
}

void fake_service::execute(const http_call& call, const shared_reply& reply) {
    --m_running;
    const bool is_lookup = call.method == "GET" || call.method == "HEAD";
    if (is_lookup) {
        ++m_lookups;
        send_json(reply, 200, {{"path", call.segments.join('/')}});
        return;
    }
    const QByteArray key = call.header("idempotency-key");
    std::int64_t& executions = key.isEmpty() ? m_calls_without_key : m_executions[key.toStdString()];
    ++executions;
    if (m_crash_after_execution) {
        std::_Exit(exit_crashed);
    }
    if (m_answers_to_lose > 0) {
        --m_answers_to_lose;
        reply->abort();
        return;
    }
    send_json(reply, 200,
              {{"path", call.segments.join('/')},
               {"key", QString::fromUtf8(key)},
               {"execution", static_cast<qint64>(executions)},
               {"body", QString::fromUtf8(call.body)}});
}

void fake_service::handle_admin(const http_call& call, const shared_reply& reply) {
    handle_admin_call(
        call, reply, [this](const QJsonObject& faults) { set_faults(faults); }, [this] { return stats(); });
}

void fake_service::set_faults(const QJsonObject& faults) {
    if (faults.contains("latency_ms")) {
        m_settings.latency = milliseconds(faults["latency_ms"].toInteger());
    }
    if (faults.contains("capacity")) {
        m_settings.capacity = faults["capacity"].toInt();
    }
    if (faults.contains("crash_after_execution")) {
        m_crash_after_execution = faults["crash_after_execution"].toBool();
    }
    if (faults.contains("lose_answers")) {
        m_answers_to_lose = faults["lose_answers"].toInteger();
    }
    if (faults["crash"].toBool()) {
        m_timers.after(milliseconds(10), [] { std::_Exit(exit_crashed); });
    }
}

QJsonObject fake_service::stats() const {
    QJsonObject keys;
    std::int64_t most = 0;
    for (const auto& [key, executions] : m_executions) {
        keys[QString::fromStdString(key)] = static_cast<qint64>(executions);
        most = std::max(most, executions);
    }
    return {{"executions", keys},
            {"most_executions_of_a_key", static_cast<qint64>(most)},
            {"executions_without_key", static_cast<qint64>(m_calls_without_key)},
            {"lookups", static_cast<qint64>(m_lookups)},
            {"refused", static_cast<qint64>(m_refused)},
            {"last_new_work_ms", static_cast<qint64>(m_last_new_work_ms)}};
}

}  // namespace verbenahold::standins
