#include "entry_shell.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "logging.hpp"

namespace verbenahold {

namespace {

// Time between the end of a drain and process exit, in which buffered bytes of
// the last answers are sent to their callers.
constexpr std::chrono::milliseconds flush_time{200};

std::uint64_t start_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

http_limits limits_from(const settings& given) {
    http_limits limits;
    limits.body_bytes = given.integer("body-limit-bytes");
    limits.request_time = std::chrono::milliseconds(given.integer("request-read-limit-ms"));
    limits.connections = static_cast<int>(given.integer("connection-limit"));
    return limits;
}

// The address given to other processes: the setting `name`, or the bound address
// if the setting is empty.
endpoint advertised(const settings& given, std::string_view name, const endpoint& bound) {
    const endpoint set = given.address(name);
    return set.address.empty() ? bound : set;
}

}  // namespace

std::vector<option_definition> entry_options() {
    std::vector<option_definition> options = shared_options();
    const std::vector<option_definition> own{
        {"host", option_type::name, "", "name of this host"},
        {"zone", option_type::name, "", "availability zone of this host"},
        {"caller-address", option_type::address, "127.0.0.1:0", "where to listen for callers"},
        {"peer-address", option_type::address, "127.0.0.1:0", "where to listen for other entry daemons"},
        {"advertised-caller-address", option_type::address, "", "caller address to give to others", true},
        {"advertised-peer-address", option_type::address, "", "peer address to give to others", true},
        {"certificate-file", option_type::file, "", "TLS certificate chain for callers, PEM", true},
        {"key-file", option_type::file, "", "TLS key for callers, PEM", true},
        {"trace-target", option_type::text, "", "OTLP/JSON collector URL or file for spans", true},
        {"drain-limit-ms", option_type::integer, "120000", "longest drain before the process ends", false, 0, 3.6e6},
        {"body-limit-bytes", option_type::integer, "16777216", "longest request body", false, 1024, 3.0e7},
        {"request-read-limit-ms", option_type::integer, "30000", "longest time for a request to arrive", false, 100,
         3.6e6},
        {"connection-limit", option_type::integer, "20000", "most caller connections", false, 1, 1e6},
        {"seed", option_type::integer, "0", "seed of random choices; 0: from the start time"},
    };
    options.insert(options.end(), own.begin(), own.end());
    return options;
}

// Carries out the core's commands.
struct entry_shell::command_runner {
    entry_shell& shell;

    void operator()(const send_peer& command) const { shell.m_peers.send(command.address, command.message); }
    void operator()(const open_stream& command) const { shell.m_engines.run(command); }
    void operator()(const reopen_stream& command) const { shell.m_engines.run(command); }
    void operator()(const cancel_stream& command) const { shell.m_engines.run(command); }
    void operator()(const call_service& command) const { shell.m_services.run(command); }
    void operator()(const poll_load& command) const { shell.m_engines.run(command); }
    void operator()(const list_streams& command) const { shell.m_engines.run(command); }
    void operator()(const reserve_memory& command) const { shell.m_engines.run(command); }
    void operator()(const release_memory& command) const { shell.m_engines.run(command); }
    void operator()(const replace_part& command) const { shell.m_engines.run(command); }
    void operator()(const reply_tokens& command) const { shell.m_callers.run(command); }
    void operator()(const reply_finished& command) const { shell.m_callers.run(command); }
    void operator()(const reply_service& command) const { shell.m_callers.run(command); }
    void operator()(const reply_refused& command) const { shell.m_callers.run(command); }
    void operator()(const reply_located& command) const { shell.m_callers.run(command); }
    void operator()(const read_head& command) const { shell.m_table.run(command); }
    void operator()(const read_changes& command) const { shell.m_table.run(command); }
    void operator()(const claim_key& command) const { shell.m_table.run(command); }
    void operator()(const record_outcome& command) const { shell.m_table.run(command); }
    void operator()(const log_change& command) const { log_info(command.text); }
    void operator()(const count& command) const { shell.m_metrics.add(command.name, command.amount); }
    void operator()(const observe& command) const { shell.m_metrics.observe(command.name, command.seconds); }
    void operator()(const span_ended& command) const { shell.m_traces.add(command); }
    void operator()(const drained& /*command*/) const { shell.finish_drain(); }
};

entry_shell::entry_shell(const settings& given, std::function<void(int)> on_exit, QObject* parent)
    : QObject(parent),
      m_settings(given),
      m_on_exit(std::move(on_exit)),
      m_self{host_name(given.text("host")), start_incarnation()},
      m_platform(m_client, QUrl(QString::fromStdString(given.text("platform-url")))),
      m_traces(m_client, given.text("trace-target"), m_self),
      m_engines(m_client, [this](entry_event&& event) { dispatch(std::move(event)); }),
      m_services(m_client, [this](entry_event&& event) { dispatch(std::move(event)); }),
      m_table(m_platform, m_self, [this](entry_event&& event) { dispatch(std::move(event)); }),
      m_drained_servers(m_platform, [this](std::vector<host_entry> hosts) { handle_hosts(std::move(hosts)); }),
      m_peers(m_self,
              [this](addressed_message&& received) {
                  dispatch(peer_message_received{std::move(received.from), std::move(received.message)});
              }),
      m_callers({.sink = [this](entry_event&& event) { dispatch(std::move(event)); },
                 .is_ready = [this] { return m_core && !m_draining && m_core->is_ready(m_timers.now()); },
                 .metrics_text = [this] { return metrics_text(); },
                 .on_span = [this](const span_ended& span) { m_traces.add(span); }},
                m_self.incarnation, limits_from(given)) {
    m_engines.set_span_sink([this](const span_ended& span) { m_traces.add(span); }, m_self.incarnation + 1);
}

entry_shell::~entry_shell() = default;

std::string entry_shell::start() {
    const auto peer = m_peers.bind(m_settings.address("peer-address"));
    if (!peer) {
        return "can't listen for peers on " + m_settings.text("peer-address");
    }
    m_peer_address = *peer;
    if (std::string fault = start_callers(); !fault.empty()) {
        return fault;
    }
    entry_settings core;
    core.self = m_self;
    core.zone = zone_name(m_settings.text("zone"));
    core.peer_endpoint = advertised(m_settings, "advertised-peer-address", m_peer_address);
    core.caller_endpoint = advertised(m_settings, "advertised-caller-address", m_caller_address);
    const auto seed = static_cast<std::uint64_t>(m_settings.integer("seed"));
    core.seed = seed == 0 ? m_self.incarnation : seed;
    m_core = std::make_unique<entry_core>(core);
    m_timers.every(host_list_period, [this] { poll_hosts(); });
    m_timers.every(drained_server_watch::poll_period, [this] { m_drained_servers.poll(); });
    poll_hosts();
    dispatch(tick{});
    log_info("entry " + to_string(m_self) + " started in zone " + core.zone.value);
    return {};
}

std::string entry_shell::start_callers() {
    const std::string& certificate = m_settings.text("certificate-file");
    const std::string& key = m_settings.text("key-file");
    if (certificate.empty() != key.empty()) {
        return "--certificate-file and --key-file are given together or not at all";
    }
    if (!certificate.empty()) {
        if (std::string fault = m_callers.use_tls(certificate, key); !fault.empty()) {
            return fault;
        }
    }
    const auto address = m_callers.listen_on(m_settings.address("caller-address"));
    if (!address) {
        return "can't listen for callers on " + m_settings.text("caller-address");
    }
    m_caller_address = *address;
    return {};
}

// ---- the core

// A command may cause another event synchronously. Such an event is queued until
// the core has processed the current one.
void entry_shell::dispatch(entry_event&& event) {
    if (!m_core || m_finished) {
        return;
    }
    m_events.push_back(std::move(event));
    if (m_processing) {
        return;
    }
    m_processing = true;
    while (!m_events.empty()) {
        const entry_event next = std::move(m_events.front());
        m_events.pop_front();
        process(next);
    }
    m_processing = false;
    schedule_wakeup();
}

void entry_shell::process(const entry_event& event) {
    m_commands.clear();
    m_core->handle(event, m_timers.now(), m_commands);
    for (const entry_command& command : m_commands) {
        std::visit(command_runner{*this}, command);
    }
}

void entry_shell::schedule_wakeup() {
    const auto wanted = m_core->next_wakeup();
    if (wanted == m_wakeup_at) {
        return;
    }
    m_timers.unsubscribe(m_wakeup);
    m_wakeup_at = wanted;
    if (!wanted) {
        return;
    }
    const duration delay = std::max(duration::zero(), *wanted - m_timers.now());
    m_wakeup = m_timers.after(delay, [this] {
        m_wakeup_at.reset();
        dispatch(tick{});
    });
}

// ---- platform

void entry_shell::poll_hosts() {
    if (std::exchange(m_hosts_pending, true)) {
        return;
    }
    m_platform.list_hosts([this](const platform_result<std::vector<host_entry>>& hosts) {
        m_hosts_pending = false;
        if (hosts) {
            m_drained_servers.set_hosts(hosts.value());
        } else {
            m_metrics.add("host_list_failures");
        }
    });
}

void entry_shell::handle_hosts(std::vector<host_entry> hosts) {
    std::map<server_name, endpoint> servers;
    for (const host_entry& host : hosts) {
        if (host.role == host_role::backend) {
            servers.emplace(server_name(host.host.value), host.server_endpoint);
        }
    }
    m_engines.set_addresses(std::move(servers));
    dispatch(host_list_read{std::move(hosts)});
}

// ---- metrics

QByteArray entry_shell::metrics_text() {
    const entry_core::figures core = m_core->read_figures();
    const peer_transport::figures peers = m_peers.read_figures();
    const std::vector<std::pair<const char*, double>> gauges{
        {"config_version", static_cast<double>(core.config_version)},
        {"live_members", static_cast<double>(core.live_members)},
        {"owned_servers", static_cast<double>(core.owned_servers)},
        {"open_requests", static_cast<double>(core.open_requests)},
        {"running_attempts", static_cast<double>(core.running_attempts)},
        {"queued_attempts", static_cast<double>(core.queued_attempts)},
        {"caller_connections", static_cast<double>(m_callers.open_connections())},
        {"engine_streams", static_cast<double>(m_engines.open_streams())},
        {"peer_connections", static_cast<double>(peers.connections)},
    };
    const std::vector<std::pair<const char*, std::uint64_t>> counters{
        {"peer_messages_sent", peers.sent},       {"peer_messages_received", peers.received},
        {"peer_messages_dropped", peers.dropped}, {"peer_messages_malformed", peers.malformed},
        {"peer_bytes_sent", peers.bytes_sent},    {"spans_dropped", m_traces.dropped()},
    };
    for (const auto& [name, value] : counters) {
        m_metrics.set_counter(name, static_cast<std::int64_t>(value));
    }
    for (const auto& [name, value] : gauges) {
        m_metrics.set_gauge(name, value);
    }
    return m_metrics.text();
}

// ---- drain and exit

void entry_shell::handle_termination() {
    if (m_draining) {
        log_warning("second signal: ending without waiting for requests");
        m_finished = true;
        m_on_exit(1);
        return;
    }
    m_draining = true;
    log_info("drain begins");
    m_timers.after(m_settings.milliseconds("drain-limit-ms"), [this] {
        if (!m_finished) {
            log_warning("drain limit reached with " + std::to_string(m_callers.open_requests()) + " open requests");
            finish_drain();
        }
    });
    dispatch(drain_requested{});
}

void entry_shell::finish_drain() {
    if (std::exchange(m_finished, true)) {
        return;
    }
    log_info("drain ends");
    m_callers.stop_listening();
    m_traces.flush();
    m_timers.after(flush_time, [this] { m_on_exit(0); });
}

}  // namespace verbenahold
