#include "report_poller.hpp"

#include "log_line.hpp"

#include <cmath>

namespace verbenahold::serving {

namespace {

// Polling starts after one heartbeat period, when the running daemons know each
// other and agree on which of them polls an engine.
constexpr duration polling_start_delay = heartbeat_period;
constexpr duration check_period = std::chrono::milliseconds(100);
// An engine reports its load without using a batch slot, so a missing answer
// after this time is a fault of the engine or of the network path.
constexpr duration poll_timeout = std::chrono::milliseconds(600);
// After this many calls without an answer (timeout or connection error), with no
// valid report between them, the server counts as failed. A single one may be
// packet loss.
constexpr int unanswered_before_failure = 2;
// A report is logged if the slowdown changed by more than this, or if the engine
// has more requests than the known ones plus this number.
constexpr double min_logged_slowdown_change = 0.25;
constexpr int min_logged_unknown_requests = 4;

}  // namespace

report_poller::report_poller(gateway_state& state, std::function<void(const server_report&)> on_report)
    : m_state(state), m_on_report(std::move(on_report)) {}

void report_poller::start() {
    m_state.timers.after(polling_start_delay,
                         [this] { m_state.timers.every(check_period, [this] { poll_due_engines(); }); });
}

void report_poller::poll_due_engines() {
    if (!m_state.routes || m_state.stop.has_begun() || !m_state.role.is_active()) {
        return;
    }
    const auto now = m_state.timers.now();
    for (const auto& [name, service] : m_state.routes->state().services) {
        if (!service.engine) {
            continue;
        }
        for (const server_entry* server : m_state.servers.usable_or_ejected(name, now)) {
            auto& polled = m_polled_servers[server->id];
            if (polled.next_poll > now || m_state.statements.is_pausing(server->id, now) ||
                !m_state.daemons.is_responsible(m_state.settings.host.value, server->id.value, now)) {
                continue;
            }
            polled.next_poll = now + report_period;
            poll(*server);
        }
    }
    std::erase_if(m_polled_servers, [&](const auto& entry) { return now - entry.second.next_poll > report_lifetime; });
}

void report_poller::poll(const server_entry& server) {
    m_state.calls.call(server.address, m_state.wire.ask_load(), {poll_timeout, max_report_bytes},
                       [this, id = server.id](const call_result& result) { on_answer(id, result); });
}

void report_poller::on_answer(const server_name& server, const call_result& result) {
    if (result.answer) {
        // A report without a limit doesn't say that there is none.
        if (const auto limit = m_state.wire.read_answer(result.answer->head).requests_per_second) {
            m_state.statements.limits().on_statement({server, limit, m_state.timers.now()}, m_state.timers.now());
        }
    }
    auto& polled = m_polled_servers[server];
    const auto report = result.answer ? m_state.wire.read_load(server, *result.answer) : std::nullopt;
    if (report) {
        if (m_state.wire.read_answer(result.answer->head).leaving) {
            on_leaving(*report);
        }
        polled.unanswered = 0;
        record(polled, *report);
        return;
    }
    const std::string status = result.answer ? std::to_string(result.answer->head.status) : std::string();
    log_line("no report from server")
        .add("server", server.value)
        .add("reason", result.failure)
        .add("status", status)
        .warn();
    // An invalid answer isn't counted, since it shows that the server is reachable,
    // but only a valid report resets the count.
    if (!result.answer && ++polled.unanswered >= unanswered_before_failure) {
        polled.unanswered = 0;
        m_state.servers.report_failure(server, m_state.timers.now());
        if (m_state.notices.on_server_failure) {
            m_state.notices.on_server_failure(server);
        }
    }
}

// Only a report of the listed run is the server's own: another server may have the
// address by now.
void report_poller::on_leaving(const server_report& report) {
    const auto now = m_state.timers.now();
    const auto* listed = m_state.servers.find(report.server, now);
    const auto run = report.started_at_unix_ms;
    if (listed == nullptr || run == 0 || listed->started_at_unix_ms != run ||
        !m_state.statements.on_leaving({report.server, run}, now)) {
        return;
    }
    log_line("server leaves").add("server", report.server.value).info();
    if (m_state.notices.on_leaving) {
        m_state.notices.on_leaving({report.server, run});
    }
}

void report_poller::record(polled_server& polled, const server_report& report) {
    const auto now = m_state.timers.now();
    const int known = m_state.load.load_of(report.server, now).used_slots;
    const bool slowdown_changed = std::abs(report.slowdown - polled.last_report.slowdown) > min_logged_slowdown_change;
    const bool has_unknown_requests = report.requests > known + min_logged_unknown_requests;
    if (slowdown_changed || has_unknown_requests) {
        log_line("server report")
            .add("server", report.server.value)
            .add("requests", report.requests)
            .add("known_requests", known)
            .add("held_tokens", report.held_tokens)
            .add("pace", report.slowdown)
            .info();
    }
    m_state.counters.add("server_reports");
    polled.last_report = report;
    m_state.on_report(report);
    m_on_report(report);
}

}  // namespace verbenahold::serving
