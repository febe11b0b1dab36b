#include "fake_engine.hpp"

#include "token_text.hpp"

#include <QCoreApplication>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step_period(10);
constexpr milliseconds heartbeat_period(500);
// Wait before the weight store is asked again after a refusal.
constexpr milliseconds weight_retry(500);
constexpr int exit_crashed = 70;
// Streams whose starts are remembered for /v1/admin/stats.
constexpr std::size_t max_start_records = 50'000;

QByteArray event_of(const QJsonObject& data) {
    return "data: " + QJsonDocument(data).toJson(QJsonDocument::Compact) + "\n\n";
}

std::int64_t milliseconds_between(time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

group_part parse_part(const QJsonObject& json) {
    return {strip_url(json["url"].toString().toStdString()), json["reservation"].toString().toStdString(),
            json["tokens"].toInteger(), false};
}

std::optional<stream_request> parse_stream(const QJsonObject& json) {
    stream_request request;
    request.id = json["stream"].toString().toStdString();
    request.prompt = json["prompt"].toString().toStdString();
    request.max_tokens = json["max_tokens"].toInteger(0);
    request.priority = json["priority"].toInt();
    for (const QJsonValue token : json["generated"].toArray()) {
        request.generated.push_back(token.toString().toStdString());
    }
    for (const QJsonValue part : json["parts"].toArray()) {
        request.parts.push_back(parse_part(part.toObject()));
    }
    if (request.id.empty() || request.prompt.empty() || request.max_tokens <= 0) {
        return std::nullopt;
    }
    return request;
}

[[noreturn]] void crash() {
    // No clean-up: peers see the connections reset as in a real crash.
    std::_Exit(exit_crashed);
}

}  // namespace

fake_engine::fake_engine(const fake_engine_settings& settings, timer_service& timers)
    : m_settings(settings),
      m_timers(timers),
      m_model(settings.model, settings.crash_marker),
      m_groups(timers, [this](const std::string& stream, const std::string& url) { m_model.lose_part(stream, url); }),
      m_incarnation(static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch()) * 1000U) {
    record_load();
    m_timers.every(heartbeat_period, [this] { send_heartbeats(); });
}

void fake_engine::handle(const http_call& call, const shared_reply& reply) {
    const QString area = call.segments.value(1);
    if (area == QLatin1String("streams")) {
        handle_streams(call, reply);
    } else if (call.is("GET", "load")) {
        send_json(reply, 200, delayed_load());
    } else if (call.is("GET", "cache_events")) {
        const auto after = call.query.queryItemValue("after").toULongLong();
        std::uint64_t next = after;
        QJsonArray events;
        for (const cache_change& change : m_model.cache().changes(after, m_timers.now())) {
            next = change.number;
            events.append(
                QJsonObject{{"prefix_hash", QString::number(change.prefix_hash, 16)}, {"stored", change.stored}});
        }
        send_json(reply, 200, {{"next", static_cast<qint64>(next)}, {"events", events}});
    } else if (area == QLatin1String("reservations")) {
        handle_reservations(call, reply);
    } else if (area == QLatin1String("kv")) {
        handle_kv(call, reply);
    } else if (area == QLatin1String("orders")) {
        handle_orders(call, reply);
    } else if (area == QLatin1String("admin")) {
        handle_admin(call, reply);
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

// ---- streams

void fake_engine::handle_streams(const http_call& call, const shared_reply& reply) {
    if (call.is("POST", "streams")) {
        start_stream(call, reply);
    } else if (call.is("GET", "streams")) {
        send_json(reply, 200, listing());
    } else if (call.is("GET", "streams/*")) {
        reopen_stream(call, reply);
    } else if (call.is("DELETE", "streams/*")) {
        cancel_stream(call.segments[2].toStdString(), reply);
    } else if (call.is("PUT", "streams/*/parts")) {
        replace_part(call, reply);
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

void fake_engine::start_stream(const http_call& call, const shared_reply& reply) {
    const std::optional<QJsonObject> body = call.json();
    const std::optional<stream_request> request = body ? parse_stream(*body) : std::nullopt;
    if (!request) {
        send_error(reply, 400, "bad_request");
        return;
    }
    if (request->parts.empty()) {
        admit_stream(*request, reply);
        return;
    }
    m_groups.confirm(request->parts, [this, request = *request, reply](bool ok, std::int64_t) {
        if (!ok) {
            send_error(reply, 507, "out_of_memory");
            return;
        }
        admit_stream(request, reply);
    });
}

void fake_engine::admit_stream(const stream_request& request, const shared_reply& reply) {
    switch (m_model.start(request, m_timers.now())) {
        case start_result::stream_exists:
            send_error(reply, 409, "stream_exists");
            return;
        case start_result::overloaded:
            send_error(reply, 429, "overloaded");
            return;
        case start_result::out_of_memory:
            send_error(reply, 507, "out_of_memory");
            return;
        case start_result::started:
            break;
    }
    record_start(request.id);
    for (const group_part& part : request.parts) {
        m_groups.watch(request.id, part);
    }
    attach(request.id, reply, static_cast<std::int64_t>(request.generated.size()));
    record_load();
    wake();
}

void fake_engine::record_start(const std::string& id) {
    m_last_new_work_ms = QDateTime::currentMSecsSinceEpoch();
    start_record& record = m_starts[id];
    if (record.count == 0) {
        m_start_order.push_back(id);
    }
    ++record.count;
    record.last_start_ms = m_last_new_work_ms;
    if (m_start_order.size() > max_start_records) {
        m_starts.erase(m_start_order.front());
        m_start_order.pop_front();
    }
}

void fake_engine::attach(const std::string& id, const shared_reply& reply, std::int64_t from) {
    if (const auto earlier = m_readers.find(id); earlier != m_readers.end()) {
        const shared_reply replaced = earlier->second.reply;
        m_readers.erase(earlier);
        replaced->abort();
    }
    reply->begin(200, "text/event-stream");
    m_readers[id] = {reply, from};
    reply->on_gone([this, id, raw = reply.get()] {
        const auto found = m_readers.find(id);
        if (found != m_readers.end() && found->second.reply.get() == raw) {
            m_readers.erase(found);
        }
    });
}

void fake_engine::reopen_stream(const http_call& call, const shared_reply& reply) {
    const std::string id = call.segments[2].toStdString();
    if (m_model.find(id) == nullptr) {
        send_error(reply, 404, "unknown_stream");
        return;
    }
    attach(id, reply, call.query.queryItemValue("from").toLongLong());
    send_events();
}

void fake_engine::cancel_stream(const std::string& id, const shared_reply& reply) {
    m_groups.forget(id);
    m_model.cancel(id);
    m_model.release(id);
    if (const auto found = m_readers.find(id); found != m_readers.end()) {
        const shared_reply attached = found->second.reply;
        m_readers.erase(found);
        attached->abort();
    }
    record_load();
    send_json(reply, 200, {});
}

void fake_engine::replace_part(const http_call& call, const shared_reply& reply) {
    const std::string id = call.segments[2].toStdString();
    const QJsonObject body = call.json().value_or(QJsonObject());
    const std::string lost_url = strip_url(body["lost_url"].toString().toStdString());
    const group_part part = parse_part(body["part"].toObject());
    if (m_model.find(id) == nullptr) {
        send_error(reply, 404, "unknown_stream");
        return;
    }
    m_groups.confirm({part}, [this, id, lost_url, part, reply](bool ok, std::int64_t imported) {
        if (!ok) {
            send_error(reply, 507, "out_of_memory");
            return;
        }
        if (!m_model.replace_part(id, lost_url, part, imported)) {
            send_error(reply, 404, "unknown_part");
            return;
        }
        m_groups.watch(id, part);
        wake();
        send_json(reply, 200, {});
    });
}

QByteArray fake_engine::take_events(const model_stream& stream, reader& to, bool& last) const {
    QByteArray events;
    if (to.next < stream.produced) {
        QJsonArray tokens;
        for (std::int64_t i = to.next; i < stream.produced; ++i) {
            tokens.append(QString::fromStdString(token_text(stream.prompt_hash, static_cast<std::uint64_t>(i))));
        }
        events += event_of({{"first", static_cast<qint64>(to.next)}, {"tokens", tokens}});
        to.next = stream.produced;
    }
    last = !stream.is_active();
    if (last) {
        events += event_of({{"done", true},
                            {"count", static_cast<qint64>(stream.produced)},
                            {"cached", static_cast<qint64>(stream.cached_tokens)},
                            {"finish", "stop"}});
    }
    return events;
}

void fake_engine::send_events() {
    // A write can end a connection and remove its reader, so the loop iterates
    // over ids.
    for (const std::string& id : reader_ids()) {
        const auto found = m_readers.find(id);
        if (found == m_readers.end()) {
            continue;
        }
        const shared_reply reply = found->second.reply;
        const model_stream* stream = m_model.find(id);
        bool last = false;
        const QByteArray events = stream == nullptr ? QByteArray() : take_events(*stream, found->second, last);
        if (!events.isEmpty() && !reply->write(events)) {
            continue;
        }
        if (stream == nullptr || last) {
            m_readers.erase(id);
            m_groups.forget(id);
        }
        if (stream == nullptr) {
            reply->abort();
        } else if (last) {
            m_model.mark_read(id);
            reply->end();
        }
    }
}

void fake_engine::send_heartbeats() {
    for (const std::string& id : reader_ids()) {
        if (const auto found = m_readers.find(id); found != m_readers.end()) {
            const shared_reply reply = found->second.reply;
            reply->write(": heartbeat\n\n");
        }
    }
}

std::vector<std::string> fake_engine::reader_ids() const {
    std::vector<std::string> ids;
    ids.reserve(m_readers.size());
    for (const auto& [id, to] : m_readers) {
        ids.push_back(id);
    }
    return ids;
}

QJsonObject fake_engine::listing() const {
    const time_point now = m_timers.now();
    QJsonArray streams;
    for (const auto& [id, stream] : m_model.streams()) {
        if (stream.kv_tokens == 0) {
            continue;
        }
        streams.append(QJsonObject{{"stream", QString::fromStdString(id)},
                                   {"kv_tokens", static_cast<qint64>(stream.kv_tokens)},
                                   {"has_reader", m_readers.contains(id)},
                                   {"age_ms", static_cast<qint64>(milliseconds_between(stream.created, now))}});
    }
    QJsonArray reservations;
    for (const auto& [id, reservation] : m_model.reservations()) {
        if (reservation.expires && *reservation.expires <= now) {
            continue;
        }
        reservations.append(
            QJsonObject{{"reservation", QString::fromStdString(id)},
                        {"tokens", static_cast<qint64>(reservation.tokens)},
                        {"age_ms", static_cast<qint64>(milliseconds_between(reservation.created, now))}});
    }
    return {{"incarnation", static_cast<qint64>(m_incarnation)}, {"streams", streams}, {"reservations", reservations}};
}

// ---- time and load

void fake_engine::wake() {
    if (m_step_timer == 0) {
        m_step_timer = m_timers.every(step_period, [this] { step(); });
    }
}

void fake_engine::step() {
    if (m_model.advance(m_timers.now())) {
        crash();
    }
    send_events();
    record_load();
    if (!m_model.is_busy()) {
        m_timers.unsubscribe(m_step_timer);
        m_step_timer = 0;
    }
}

void fake_engine::record_load() {
    const time_point now = m_timers.now();
    m_load_history.emplace_back(now, m_model.load());
    while (m_load_history.size() > 1 && m_load_history[1].first <= now - m_settings.load_lag) {
        m_load_history.pop_front();
    }
}

QJsonObject fake_engine::delayed_load() {
    const time_point wanted = m_timers.now() - m_settings.load_lag;
    while (m_load_history.size() > 1 && m_load_history[1].first <= wanted) {
        m_load_history.pop_front();
    }
    const engine_load& load = m_load_history.front().second;
    return {{"incarnation", static_cast<qint64>(m_incarnation)},
            {"running", load.running},
            {"queued", load.queued},
            {"kv_used_tokens", static_cast<qint64>(load.kv_used)},
            {"kv_capacity_tokens", static_cast<qint64>(m_settings.model.kv_tokens)},
            {"prefill_backlog_tokens", static_cast<qint64>(load.prefill_backlog)},
            {"model_version", QString::fromStdString(load.model_version)}};
}

// ---- reservations and KV cache

void fake_engine::handle_reservations(const http_call& call, const shared_reply& reply) {
    if (call.is("DELETE", "reservations/*")) {
        m_model.release(call.segments[2].toStdString());
        record_load();
        send_json(reply, 200, {});
        return;
    }
    const QJsonObject body = call.json().value_or(QJsonObject());
    const std::string id = body["reservation"].toString().toStdString();
    const std::int64_t tokens = body["tokens"].toInteger();
    if (!call.is("POST", "reservations") || id.empty() || tokens <= 0) {
        send_error(reply, 400, "bad_request");
        return;
    }
    // With "existing", an expired reservation is not created again.
    const time_point now = m_timers.now();
    m_model.advance(now);
    const bool missing = body["existing"].toBool() && !m_model.reservations().contains(id);
    if (missing || !m_model.reserve(id, tokens, milliseconds(body["expires_ms"].toInteger()), now)) {
        send_error(reply, 507, "out_of_memory");
        return;
    }
    record_load();
    const std::int64_t imported = m_model.reservations().at(id).imported;
    send_json(reply, 200,
              {{"reservation", QString::fromStdString(id)},
               {"tokens", static_cast<qint64>(tokens)},
               {"imported", static_cast<qint64>(imported)}});
}

void fake_engine::handle_kv(const http_call& call, const shared_reply& reply) {
    const QJsonObject body = call.json().value_or(QJsonObject());
    const std::string id = body["stream"].toString().toStdString();
    if (call.is("POST", "kv/export")) {
        std::int64_t tokens = 0;
        if (const model_stream* stream = m_model.find(id)) {
            tokens = stream->prompt_tokens - static_cast<std::int64_t>(stream->prefill_left);
        } else if (const auto found = m_model.reservations().find(id); found != m_model.reservations().end()) {
            tokens = found->second.tokens;
        } else {
            send_error(reply, 404, "unknown_stream");
            return;
        }
        send_json(reply, 200, {{"stream", QString::fromStdString(id)}, {"kv", QString::number(tokens)}});
    } else if (call.is("POST", "kv/import")) {
        const std::int64_t tokens = body["kv"].toString().toLongLong();
        if (id.empty() || tokens <= 0) {
            send_error(reply, 400, "bad_request");
        } else if (!m_model.import_cache(id, tokens, m_timers.now())) {
            send_error(reply, 507, "out_of_memory");
        } else {
            send_json(reply, 200, {});
        }
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

// ---- orders, faults and counters

void fake_engine::handle_orders(const http_call& call, const shared_reply& reply) {
    const std::optional<QJsonObject> body = call.json();
    if (!call.is("POST", "orders") || !body) {
        send_error(reply, 400, "bad_request");
        return;
    }
    const std::int64_t fence = (*body)["fence"].toInteger();
    const QString order = (*body)["order"].toString();
    const bool stale = fence < m_highest_fence;
    m_stale_orders += stale ? 1 : 0;
    if (stale && m_settings.checks_fence) {
        send_error(reply, 409, "stale_fence");
        return;
    }
    m_highest_fence = std::max(m_highest_fence, fence);
    ++m_orders_by_fence[std::to_string(fence)];
    if (order == QLatin1String("load_model")) {
        load_model((*body)["model"].toString(), (*body)["version"].toString());
    } else if (order == QLatin1String("set_role")) {
        m_role = (*body)["role"].toString();
    } else if (order == QLatin1String("load_adapter")) {
        m_adapters.insert((*body)["adapter"].toString());
    } else {
        send_error(reply, 400, "bad_request");
        return;
    }
    send_json(reply, 200, {});
}

void fake_engine::load_model(const QString& model, const QString& version) {
    if (!m_model.begin_load(version.toStdString())) {
        return;
    }
    record_load();
    send_events();
    fetch_weights(++m_load_number, model, version);
}

void fake_engine::fetch_weights(std::uint64_t load_number, const QString& model, const QString& version) {
    const auto run_load = [this, load_number] {
        m_timers.after(m_settings.model_load_time, [this, load_number] {
            // A later order may have replaced this load.
            if (load_number == m_load_number) {
                m_model.end_load();
                record_load();
            }
        });
    };
    if (m_settings.platform_url.empty()) {
        run_load();
        return;
    }
    verbenahold::http_call call;
    call.url = QUrl(QString::fromStdString(m_settings.platform_url) + "/v1/weights/" + model + "/" + version);
    m_client.send(call, [this, load_number, model, version, run_load](const http_answer& answer) {
        if (answer.is_success()) {
            run_load();
        } else if (load_number == m_load_number) {
            m_timers.after(weight_retry, [=, this] { fetch_weights(load_number, model, version); });
        }
    });
}

void fake_engine::handle_admin(const http_call& call, const shared_reply& reply) {
    if (call.is("POST", "admin/faults")) {
        send_json(reply, 200, {});
        set_faults(call.json().value_or(QJsonObject()));
    } else if (call.is("GET", "admin/stats")) {
        send_json(reply, 200, stats());
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

void fake_engine::set_faults(const QJsonObject& faults) {
    if (faults["cold"].toBool()) {
        m_model.make_cold();
    }
    if (faults.contains("lag_ms")) {
        m_settings.load_lag = milliseconds(faults["lag_ms"].toInteger());
    }
    if (faults.contains("drop_events")) {
        m_model.cache().set_drop_share(faults["drop_events"].toDouble());
    }
    // Lets the answer to the fault request leave before the engine stops.
    if (faults["crash"].toBool()) {
        m_timers.after(step_period, [] { crash(); });
    }
    if (faults.contains("freeze_ms")) {
        const auto length = static_cast<unsigned long>(faults["freeze_ms"].toInteger());
        m_timers.after(step_period, [length] { QThread::msleep(length); });
    }
}

QJsonObject fake_engine::stats() const {
    const engine_counters& counters = m_model.counters();
    QJsonObject streams;
    qint64 executions = 0;
    for (const auto& [id, record] : m_starts) {
        executions += record.count;
        streams[QString::fromStdString(id)] = QJsonObject{{"executions", static_cast<qint64>(record.count)},
                                                          {"last_start_ms", static_cast<qint64>(record.last_start_ms)}};
    }
    QJsonObject orders;
    for (const auto& [fence, number] : m_orders_by_fence) {
        orders[QString::fromStdString(fence)] = static_cast<qint64>(number);
    }
    return {{"started", static_cast<qint64>(counters.started)},
            {"finished", static_cast<qint64>(counters.finished)},
            {"cancelled", static_cast<qint64>(counters.cancelled)},
            {"refused", static_cast<qint64>(counters.refused)},
            {"cold", m_model.is_cold()},
            {"cold_overloads", static_cast<qint64>(counters.cold_overloads)},
            {"cold_phases", static_cast<qint64>(counters.cold_phases)},
            {"model_loads", static_cast<qint64>(counters.model_loads)},
            {"cut_by_load", static_cast<qint64>(counters.cut_by_load)},
            {"wrong_generated", static_cast<qint64>(counters.wrong_generated)},
            {"cached_tokens", static_cast<qint64>(counters.cached_tokens)},
            {"prefilled_tokens", std::llround(counters.prefilled_tokens)},
            {"kv_used", static_cast<qint64>(m_model.kv_used())},
            {"role", m_role},
            {"adapters", QJsonArray::fromStringList(QStringList(m_adapters.begin(), m_adapters.end()))},
            {"stale_orders", static_cast<qint64>(m_stale_orders)},
            {"orders_by_fence", orders},
            {"executions", executions},
            {"streams", streams},
            {"last_new_work_ms", static_cast<qint64>(m_last_new_work_ms)}};
}

}  // namespace verbenahold::standins
