#include "control_shell.hpp"

#include "logging.hpp"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace verbenahold {

namespace {

// Orders and leases don't need a more recent host list.
constexpr duration host_list_interval = std::chrono::seconds(2);
constexpr std::chrono::milliseconds order_timeout{2'000};
// Must be shorter than the time that the core waits for schema versions.
constexpr std::chrono::milliseconds schema_timeout{800};

control_settings core_settings(const control_shell::options& settings, time_point now) {
    const QDateTime clock = QDateTime::currentDateTimeUtc();
    const auto incarnation = static_cast<std::uint64_t>(clock.toMSecsSinceEpoch()) * 1'000;
    const auto unix_now = std::chrono::seconds(clock.toSecsSinceEpoch());
    return {{settings.host, incarnation},
            settings.zone,
            unix_now - std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())};
}

rows_read to_event(std::uint64_t call, const platform_result<platform_client::rows>& result) {
    rows_read event{call, result.has_value(), {}};
    if (result) {
        for (const table_row& row : result.value()) {
            event.rows.push_back({row.key, row.value, row.revision});
        }
    }
    return event;
}

rows_transacted to_event(std::uint64_t call, const platform_result<std::uint64_t>& result) {
    rows_transacted event;
    event.call = call;
    if (result) {
        event.status = transact_status::done;
        event.revision = result.value();
        return event;
    }
    const platform_fault& fault = result.error();
    event.failed_keys = fault.failed_keys;
    if (fault.error == platform_error::conflict) {
        event.status = transact_status::conflict;
    } else {
        event.status = fault.unknown ? transact_status::unknown : transact_status::refused;
    }
    return event;
}

table_transaction to_platform(const row_transaction& transaction) {
    table_transaction result;
    for (const row_check& check : transaction.checks) {
        result.checks.push_back({check.key, check.revision});
    }
    for (const row_put& put : transaction.puts) {
        result.puts.push_back({put.key, put.value});
    }
    result.deletes = transaction.deletes;
    return result;
}

order_result to_result(const http_answer& answer) {
    constexpr int status_conflict = 409;
    if (answer.is_success()) {
        return order_result::accepted;
    }
    if (answer.failure != http_failure::none) {
        return answer.failure == http_failure::refused ? order_result::refused : order_result::unknown;
    }
    return answer.status == status_conflict ? order_result::stale_fence : order_result::refused;
}

QString text_of(std::string_view text) {
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

control_shell::control_shell(const options& settings, QObject* parent)
    : QObject(parent),
      m_platform(m_http, settings.platform),
      m_engines(m_http,
                [this](entry_event&& event) {
                    std::visit(
                        [this](auto&& item) {
                            using item_type = std::decay_t<decltype(item)>;
                            if constexpr (std::is_constructible_v<control_event, item_type>) {
                                deliver(std::forward<decltype(item)>(item));
                            }
                        },
                        std::move(event));
                }),
      m_entry_tls(settings.entry_tls),
      m_core(core_settings(settings, m_timers.now())) {}

void control_shell::start() {
    read_hosts();
    m_timers.every(host_list_interval, [this] { read_hosts(); });
    deliver(tick{});
}

void control_shell::read_hosts() {
    m_platform.list_hosts([this](const platform_result<std::vector<host_entry>>& result) {
        // On failure, the previous list remains in use.
        if (result) {
            deliver(host_list_read{result.value()});
        }
    });
}

// ---- events and commands

void control_shell::deliver(control_event event) {
    m_events.push_back(std::move(event));
    process_events();
}

// Processes queued events in order, including those that commands add
// synchronously.
void control_shell::process_events() {
    if (std::exchange(m_processing, true)) {
        return;
    }
    std::vector<control_command> commands;
    while (!m_events.empty()) {
        const control_event event = std::move(m_events.front());
        m_events.pop_front();
        commands.clear();
        m_core.handle(event, m_timers.now(), commands);
        for (const control_command& command : commands) {
            std::visit([this](const auto& item) { run(item); }, command);
        }
    }
    m_processing = false;
    schedule();
}

void control_shell::schedule() {
    m_timers.unsubscribe(m_wakeup);
    if (const auto next = m_core.next_wakeup()) {
        const duration wait = std::max(duration::zero(), *next - m_timers.now());
        m_wakeup = m_timers.after(wait, [this] { deliver(tick{}); });
    }
}

void control_shell::run(const read_rows& command) {
    m_platform.read(command.keys, [this, call = command.call](const auto& result) { deliver(to_event(call, result)); });
}

void control_shell::run(const scan_rows& command) {
    m_platform.scan(command.prefix, command.after, command.limit,
                    [this, call = command.call](const auto& result) { deliver(to_event(call, result)); });
}

void control_shell::run(const transact_rows& command) {
    m_platform.transact(to_platform(command.transaction),
                        [this, call = command.call](const auto& result) { deliver(to_event(call, result)); });
}

void control_shell::run(const request_weights& command) {
    m_platform.fetch_weights(command.model, command.version,
                             [this, call = command.call](const platform_result<bool>& result) {
                                 weights_answered event{call, weights_state::unavailable};
                                 if (result) {
                                     event.state = weights_state::available;
                                 } else if (result.error().error == platform_error::rate_limited) {
                                     event.state = weights_state::rate_limited;
                                 }
                                 deliver(event);
                             });
}

void control_shell::run(const send_order& command) {
    const engine_order& order = command.order;
    const QJsonObject body{{"fence", static_cast<qint64>(command.fence)},
                           {"order", text_of(to_string(order.type))},
                           {"model", text_of(order.model)},
                           {"version", text_of(order.version)},
                           {"adapter", text_of(order.adapter)},
                           {"role", text_of(order.role)}};
    http_call call;
    call.method = "POST";
    call.url = QUrl("http://" + text_of(command.address.address) + "/v1/orders");
    call.content_type = "application/json";
    call.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    call.timeout = order_timeout;
    m_http.send(call, [this, number = command.call](const http_answer& answer) {
        deliver(order_answered{number, to_result(answer)});
    });
}

void control_shell::run(const read_schema_versions& command) {
    http_call call;
    call.url = QUrl((m_entry_tls ? "https://" : "http://") + text_of(command.address.address) + "/readyz");
    call.timeout = schema_timeout;
    m_http.send(call, [this, host = command.host](const http_answer& answer) {
        schema_versions_read event{host, std::nullopt};
        const QJsonValue newest = QJsonDocument::fromJson(answer.body).object().value("newest_schema");
        if (newest.isDouble()) {
            event.newest = newest.toInt();
        }
        deliver(event);
    });
}

void control_shell::run(const operator_reply& command) {
    if (m_reply_sink) {
        m_reply_sink(command);
    }
}

void control_shell::run(const log_change& command) {
    log_info(command.text);
}

void control_shell::run(const count& command) {
    m_metrics.add(command.name, command.amount);
}

void control_shell::run(const drained& /*command*/) {
    if (m_drained_action) {
        m_drained_action();
    }
}

QByteArray control_shell::metrics_text() {
    const control_core::figures figures = m_core.read_figures();
    m_metrics.set_gauge("config_version", static_cast<double>(figures.config_version));
    m_metrics.set_gauge("open_operations", static_cast<double>(figures.open_operations));
    m_metrics.set_gauge("held_leases", static_cast<double>(figures.held_leases));
    m_metrics.set_gauge("open_orders", static_cast<double>(figures.open_orders));
    return m_metrics.text();
}

}  // namespace verbenahold
