#include "gateway.hpp"

#include "front_session.hpp"
#include "log_line.hpp"
#include "serving.pb.h"

#include <QByteArray>
#include <QtEndian>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;

// Lifetime of directory answers: short, so that callers soon stop using a daemon
// that is stopping or dead.
constexpr duration locate_lifetime = std::chrono::seconds(1);
// Maximum number of addresses in one directory answer.
constexpr std::size_t max_directory_addresses = 64;
// A daemon that stands by gets the tables from active daemons, and loads them itself
// if they haven't come after this time.
constexpr duration standby_load_delay = std::chrono::milliseconds(1'200);
// The settings file is also reloaded without a signal, at this period.
constexpr duration settings_check_period = std::chrono::seconds(2);
constexpr duration housekeeping_period = std::chrono::milliseconds(250);
constexpr duration stop_check_period = std::chrono::milliseconds(50);
// Time limit of a call to another daemon.
constexpr duration peer_call_timeout = std::chrono::milliseconds(800);
// Counters that are exported as zero before their first event.
constexpr auto counter_names = std::to_array<std::string_view>({
    "requests_received",
    "requests_blocked",
    "requests_without_room",
    "requests_waiting_for_capacity",
    "streams_begun_late",
    "streams_with_late_events",
    "requests_refused_for_capacity",
    "requests_answered",
    "requests_refused",
    "requests_failed",
    "requests_cut_off",
    "requests_cancelled",
    "attempts_failed",
    "handler_exceptions",
    "silent_servers_kept",
    "answers_skipped",
    "answers_without_id",
    "refusals_unstated",
    "server_reports",
    "datagrams_ignored",
    "statuses_ignored",
    "account_uses_ignored",
    "datagrams_unsent",
    "prefixes_ignored",
    "reservations_made",
    "reservations_given_up",
    early_end_counter(early_end::caller_left),
    early_end_counter(early_end::write_failed),
    early_end_counter(early_end::caller_stalled),
    early_end_counter(early_end::stopping),
    early_end_counter(early_end::server_failed),
    early_end_counter(early_end::no_retry_budget),
    early_end_counter(early_end::out_of_time),
    early_end_counter(early_end::internal_fault),
});
// After the store came back from an older copy, operators and servers write again what that
// lacks. Until then it counts less than what was known before.
constexpr duration restored_rows_settling_time = std::chrono::seconds(2);
constexpr std::string_view changes_path = "/v1/changes";
// Upper bound of the random delay before a daemon asks a peer for changes.
constexpr duration max_catch_up_delay = std::chrono::milliseconds(120);
// How often a daemon checks whether it is one of the store readers.
constexpr duration reader_check_period = std::chrono::milliseconds(100);
// zlib level for rows that are sent to other daemons. A low level is fastest,
// and a desired state shrinks to a tenth at any level.
constexpr int compression_level = 2;

// Longest rows of both tables that are taken from another daemon, unpacked, in bytes.
constexpr std::size_t max_unpacked_bytes = 64UL * 1024 * 1024;
// Deflate expands no input by more.
constexpr std::size_t max_expansion = 1'032;
// Answers to other daemons that are kept for the present versions of the tables.
constexpr std::size_t max_kept_answers = 64;

// Empty if the bytes can't be unpacked. They begin with the unpacked length, which
// qUncompress allocates before it has read anything else.
QByteArray unpack(const QByteArray& packed) {
    if (packed.size() < static_cast<qsizetype>(sizeof(quint32))) {
        return {};
    }
    const std::size_t announced = qFromBigEndian<quint32>(packed.constData());
    if (announced > std::min(max_unpacked_bytes, max_expansion * static_cast<std::size_t>(packed.size()))) {
        return {};
    }
    return qUncompress(packed);
}

table_changes changes_of(const wire::StateChanges& message, store_table table) {
    const bool operators = table == store_table::operator_rows;
    table_changes changes;
    changes.position = operators ? store_position{message.operator_rows_era(), message.operator_rows_version()}
                                 : store_position{message.server_rows_era(), message.server_rows_version()};
    changes.whole = operators ? message.operator_rows_whole() : message.server_rows_whole();
    for (const auto& row : message.rows()) {
        if (row.table() == static_cast<std::uint32_t>(table)) {
            changes.rows.push_back({row.key(), row.value(), row.version(), row.removed()});
        }
    }
    return changes;
}

// The query of a request for changes: the versions of both tables that the asking daemon has
// and, unless its release knows none, their eras.
std::string encode_positions(const store_position& operators, const store_position& servers) {
    return std::to_string(operators.version) + ',' + std::to_string(servers.version) + ',' +
           std::to_string(operators.era) + ',' + std::to_string(servers.era);
}

// The positions of the rows of operators and of servers; zero for what is missing.
std::pair<store_position, store_position> decode_positions(std::string_view query) {
    std::array<std::uint64_t, 4> numbers{};
    const char* begin = query.data();
    const char* const end = begin + query.size();
    for (auto& number : numbers) {
        begin = std::from_chars(begin, end, number).ptr;
        if (begin == end) {
            break;
        }
        ++begin;
    }
    return {{numbers[2], numbers[0]}, {numbers[3], numbers[1]}};
}

void add_changes(wire::StateChanges& message, const table_changes& changes, store_table table) {
    for (const auto& row : changes.rows) {
        auto& copy = *message.add_rows();
        copy.set_table(static_cast<std::uint32_t>(table));
        copy.set_key(row.key);
        copy.set_value(row.value);
        copy.set_version(row.version);
        copy.set_removed(row.removed);
    }
}

}  // namespace

gateway::gateway(boost::asio::io_context& loop, const serving_settings& settings, const wire_protocol& protocol,
                 std::uint64_t started_unix_us, std::function<settings_reading()> read_again)
    : m_state(settings, protocol, loop, make_boot_id(settings.host.value, started_unix_us)),
      m_read_again(std::move(read_again)),
      m_acceptor(loop),
      m_signals(loop, SIGTERM, SIGINT, SIGHUP),
      m_peers(m_state, [this] { return own_status(); }),
      m_presence(
          m_state, m_peers, [this] { on_part_decided(); }, [this] { on_heartbeat(); }),
      m_reports(m_state, [this](const server_report& report) { m_peers.send_report(report); }),
      m_operator_rows(store_table::operator_rows, settings.store_address, protocol, m_state.calls, m_state.timers,
                      [this](const auto& rows, const auto& changed) { on_operator_rows(rows, changed); }),
      m_server_rows(store_table::server_rows, settings.store_address, protocol, m_state.calls, m_state.timers,
                    [this](const auto&, const auto& changed) { on_server_rows(changed); }),
      m_block_archive(m_state, std::chrono::microseconds(started_unix_us)) {
    for (auto* table : {&m_operator_rows, &m_server_rows}) {
        table->set_on_new_era([this](std::uint64_t era) { on_new_era(era); });
    }
    m_state.notices.on_daemon_status = [this](const daemon_status& peer) { on_daemon_status(peer); };
    m_state.notices.on_work = [this](const work_update& update) { m_peers.send_work(update); };
    m_state.notices.on_server_failure = [this](const server_name& server) { m_peers.send_trouble(server); };
    m_state.notices.on_crash = [this](const crash_observation& crash) { m_peers.send_crash(crash); };
    m_state.notices.on_sound_request = [this](std::span<const request_trait> traits, time_point began) {
        m_peers.send_sound_request(traits, began);
    };
    m_state.notices.on_leaving = [this](const leaving_statement& leaving) { m_peers.send_leaving(leaving); };
    m_state.notices.on_waiting_changed = [this](int weight) { m_peers.send_waiting(weight); };
    m_state.waiters.set_on_change([this] { m_state.announce_waiting(); });
    m_state.notices.on_limit_changed = [this](const limit_statement& limit) { m_peers.send_limit(limit); };
}

// Pending handlers on the loop refer to this object's state, so the destructor
// cancels and runs all of them.
gateway::~gateway() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_signals.cancel(ignored);
    for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock()) {
            session->abandon(early_end::stopping);
        }
    }
    m_peers.close();
    m_state.calls.abandon_all();
    m_state.loop.restart();
    m_state.loop.poll();
}

bool gateway::open_service(std::unique_ptr<service_listener>& listener, const std::string& address,
                           service_handler handler, std::string& fault) {
    if (address.empty()) {
        return true;
    }
    listener = std::make_unique<service_listener>(m_state.loop, m_state.timers, std::move(handler));
    return listener->listen(address, fault);
}

bool gateway::start(std::string& fault) {
    const auto& settings = m_state.settings;
    const bool open =
        open_service(
            m_ready, settings.ready_address, [this](const auto& r) { return answer_ready(r); }, fault) &&
        open_service(
            m_directory, settings.directory_address, [this](const auto& r) { return answer_directory(r); }, fault) &&
        open_service(
            m_peer_service, settings.peer_address, [this](const auto& r) { return answer_peer(r); }, fault) &&
        m_peers.open(settings.peer_address, fault) && open_listener(m_acceptor, settings.front_address, fault);
    if (!open) {
        return false;
    }
    std::string metrics_fault;
    if (!open_service(
            m_metrics, settings.metrics_address, [this](const auto& r) { return answer_metrics(r); }, metrics_fault)) {
        // Metrics are optional: callers are served without them.
        log_line("metrics not served").add("reason", metrics_fault).error();
    }
    for (const auto name : counter_names) {
        m_state.counters.add(name, 0);
    }
    accept();
    wait_for_signals();
    m_presence.start();
    m_state.timers.every(reader_check_period, [this] { update_store_reader(); });
    m_reports.start();
    m_state.timers.every(settings_check_period, [this] { reload(); });
    m_state.timers.every(housekeeping_period, [this] {
        m_state.pool.expire();
        m_state.calls.expire();
        m_state.load.drop_expired(m_state.timers.now());
        m_state.shares.drop_idle(m_state.timers.now());
        m_state.prefixes.drop_unused(m_state.timers.now());
        log_new_blocks();
        std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
    });
    log_line("started")
        .add("host", settings.host.value)
        .add("zone", settings.zone.value)
        .add("front", settings.front_address)
        .add("boot", m_state.boot)
        .info();
    return true;
}

void gateway::accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            log_line("caller not accepted").add("reason", error.message()).warn();
            m_state.timers.after(accept_retry_delay, [this] { accept(); });
            return;
        }
        m_state.guard.run({"caller connection", {}}, [&] {
            const auto session = std::make_shared<front_session>(m_state, std::move(socket));
            m_sessions.push_back(session);
            session->start();
        });
        accept();
    });
}

// ---- state from the store ----

void gateway::on_operator_rows(const table_follower::rows& rows, const std::vector<store_row>& changed) {
    std::set<zone_name> evacuated;
    for (const auto& [key, row] : rows) {
        if (const auto asked = m_state.wire.read_evacuation(key)) {
            evacuated.insert(asked->zone);
        }
    }
    if (has_restored_rows()) {
        evacuated.insert(m_state.servers.evacuated().begin(), m_state.servers.evacuated().end());
    }
    if (evacuated != m_state.servers.evacuated()) {
        std::string zones;
        for (const auto& zone : evacuated) {
            zones.append(zones.empty() ? "" : ",").append(zone.value);
        }
        log_line("evacuated zones changed").add("zones", zones).add("version", m_operator_rows.version()).info();
        m_state.servers.set_evacuated(std::move(evacuated));
    }
    for (const auto& row : changed) {
        if (!row.removed) {
            m_state.guard.run({"operator row", row.key}, [&] { take_desired_state(row); });
        }
    }
    m_presence.announce();
}

void gateway::take_desired_state(const store_row& row) {
    auto state = m_state.wire.read_desired_state(row);
    if (!state) {
        return;
    }
    const auto before = m_state.routes ? m_state.routes->state().version : 0;
    if (m_state.routes && state->version <= before) {
        log_line("ignored older desired state").add("version", state->version).add("current", before).warn();
        return;
    }
    m_state.routes = std::make_shared<const route_table>(std::move(*state));
    m_state.changes.desired_state = m_state.timers.now();
    log_line("desired state in force")
        .add("version", m_state.routes->state().version)
        .add("before", before)
        .add("routes", m_state.routes->state().routes.size())
        .info();
}

void gateway::on_new_era(std::uint64_t era) {
    m_rows_settle_at = m_state.timers.now() + restored_rows_settling_time;
    m_state.timers.after(restored_rows_settling_time, [this] {
        if (!has_restored_rows()) {
            m_operator_rows.repeat_rows();
            m_server_rows.repeat_rows();
        }
    });
    m_presence.on_store_era(era);
    m_block_archive.on_store_era(era);
}

bool gateway::has_restored_rows() const {
    return m_rows_settle_at && m_state.timers.now() < *m_rows_settle_at;
}

void gateway::on_server_rows(const std::vector<store_row>& changed) {
    auto last_trouble = m_server_rows.last_trouble();
    if (m_peer_store_trouble_at && (!last_trouble || *m_peer_store_trouble_at > *last_trouble)) {
        last_trouble = m_peer_store_trouble_at;
    }
    for (const auto& row : changed) {
        m_state.guard.run({"server row", row.key}, [&] { take_server_row(row, last_trouble); });
    }
    m_presence.announce();
}

void gateway::take_server_row(const store_row& row, const std::optional<time_point>& last_trouble) {
    const auto now = m_state.timers.now();
    if (row.removed) {
        log_line line("server entry gone");
        line.add("server", row.key).add("version", row.version);
        if (last_trouble) {
            line.add("store_trouble_ms_ago", now - *last_trouble);
        }
        line.info();
        m_state.servers.remove(server_name(row.key), last_trouble, now);
        m_state.pacer.forget(server_name(row.key));
        m_state.statements.on_entry_gone(server_name(row.key), now);
        return;
    }
    const auto entry = m_state.wire.read_server(row);
    if (!entry) {
        log_line("server entry unusable").add("server", row.key).add("version", row.version).warn();
        m_state.servers.remove(server_name(row.key), std::nullopt, now);
        return;
    }
    log_line("server entry")
        .add("server", row.key)
        .add("phase", entry->phase == server_phase::ready ? "ready" : "draining")
        .add("address", entry->address)
        .add("version", row.version)
        .debug();
    if (has_restored_rows() && m_state.servers.is_draining_run(*entry)) {
        log_line("server entry older than its drain").add("server", row.key).add("version", row.version).info();
        return;
    }
    m_state.statements.on_entry(*entry, now);
    m_state.servers.update(*entry, now);
}

// ---- other daemons ----

daemon_status gateway::own_status() const {
    daemon_status status;
    status.boot = m_state.boot;
    status.name = m_state.settings.host.value;
    status.zone = m_state.settings.zone;
    status.front_address = m_state.settings.front_address;
    status.peer_address = m_state.settings.peer_address;
    status.accepting = is_ready();
    status.operator_rows = m_operator_rows.position();
    status.server_rows = m_server_rows.position();
    status.store_in_reach = m_operator_rows.is_store_reachable() && m_server_rows.is_store_reachable();
    m_presence.describe(status);
    return status;
}

void gateway::on_part_decided() {
    const bool active = m_state.role.is_active();
    if (active) {
        m_block_archive.start();
    }
    for (auto* table : {&m_operator_rows, &m_server_rows}) {
        table->set_poll_period(active ? non_reader_poll_period : standby_poll_period);
        if (!m_tables_started || (active && !table->is_loaded())) {
            table->start(active ? duration::zero() : standby_load_delay);
        }
    }
    m_tables_started = true;
}

void gateway::on_heartbeat() {
    for (const auto& peer : m_state.daemons.alive()) {
        on_daemon_status(peer);
    }
}

void gateway::update_store_reader() {
    const bool reads = m_presence.is_store_reader();
    m_operator_rows.set_store_reader(reads);
    m_server_rows.set_store_reader(reads);
}

bool gateway::has_newer_rows(const daemon_status& peer) const {
    return peer.operator_rows > m_operator_rows.position() || peer.server_rows > m_server_rows.position();
}

// Daemons of earlier releases don't state the era of their versions, so their rows may be
// those of an earlier one.
void gateway::check_hint(table_follower& table, const store_position& theirs) {
    if (theirs.era == 0 && table.position().era > 0 && theirs.version > table.position().version) {
        table.poll_on_hint();
    }
}

void gateway::on_daemon_status(const daemon_status& peer) {
    if (!peer.store_in_reach) {
        m_peer_store_trouble_at = m_state.timers.now();
    }
    check_hint(m_operator_rows, peer.operator_rows);
    check_hint(m_server_rows, peer.server_rows);
    if (m_fetching_changes || !has_newer_rows(peer)) {
        return;
    }
    m_fetching_changes = true;
    // Random delay, so that not all daemons ask the first one that has the
    // changes.
    std::uniform_int_distribution<duration::rep> spread(0, max_catch_up_delay.count());
    m_state.timers.after(duration(spread(m_state.random)), [this] { fetch_changes(); });
}

void gateway::fetch_changes() {
    std::vector<daemon_status> ahead;
    for (const auto& peer : m_state.daemons.alive()) {
        if (has_newer_rows(peer)) {
            ahead.push_back(peer);
        }
    }
    if (ahead.empty()) {
        m_fetching_changes = false;
        return;
    }
    const auto choice = std::uniform_int_distribution<std::size_t>(0, ahead.size() - 1)(m_state.random);
    const auto& peer = ahead[choice];
    const http_request request{
        "GET",
        std::string(changes_path) + '?' + encode_positions(m_operator_rows.position(), m_server_rows.position()),
        {},
        {}};
    m_state.calls.call(
        peer.peer_address, request, {peer_call_timeout, max_rows_bytes},
        [this, name = peer.name](const call_result& result) {
            m_fetching_changes = false;
            const auto unpacked = result.answer ? unpack(QByteArray::fromStdString(result.answer->body)) : QByteArray();
            wire::StateChanges changes;
            if (unpacked.isEmpty() || !changes.ParseFromArray(unpacked.data(), static_cast<int>(unpacked.size()))) {
                log_line("no rows from daemon").add("daemon", name).add("reason", result.failure).warn();
                return;
            }
            m_operator_rows.apply_changes(changes_of(changes, store_table::operator_rows));
            m_server_rows.apply_changes(changes_of(changes, store_table::server_rows));
        });
}

http_answer gateway::answer_peer(const http_request& request) {
    const auto question = request.target.find('?');
    if (path_of(request.target) != changes_path || question == std::string::npos ||
        request.target.find(',') == std::string::npos) {
        return {{404, {}, {}}, {}};
    }
    const std::pair positions(m_operator_rows.position(), m_server_rows.position());
    if (m_compressed_positions != positions) {
        m_compressed_changes.clear();
        m_compressed_positions = positions;
    }
    if (m_compressed_changes.size() >= max_kept_answers) {
        m_compressed_changes.clear();
    }
    // After a change most daemons ask with the same versions, so the compressed
    // answer is cached.
    auto& packed = m_compressed_changes[request.target];
    if (packed.empty()) {
        const auto [operators_known, servers_known] =
            decode_positions(std::string_view(request.target).substr(question + 1));
        wire::StateChanges changes;
        const auto operators = m_operator_rows.changes_since(operators_known);
        const auto servers = m_server_rows.changes_since(servers_known);
        add_changes(changes, operators, store_table::operator_rows);
        add_changes(changes, servers, store_table::server_rows);
        changes.set_operator_rows_version(operators.position.version);
        changes.set_operator_rows_era(operators.position.era);
        changes.set_operator_rows_whole(operators.whole);
        changes.set_server_rows_version(servers.position.version);
        changes.set_server_rows_era(servers.position.era);
        changes.set_server_rows_whole(servers.whole);
        packed = qCompress(QByteArray::fromStdString(changes.SerializeAsString()), compression_level).toStdString();
    }
    return {{200, {}, {}}, packed};
}

// ---- directory, readiness and metrics ----

bool gateway::is_ready() const {
    return !m_state.stop.has_begun() && m_state.routes && m_server_rows.is_loaded();
}

http_answer gateway::answer_ready(const http_request& request) const {
    if (!m_state.wire.is_readiness_check(request.target)) {
        return {{404, {}, {}}, {}};
    }
    return {{is_ready() ? 200 : 503, {}, {}}, {}};
}

http_answer gateway::answer_directory(const http_request& request) {
    const auto query = m_state.wire.read_locate(request.target);
    if (!query) {
        return {{404, {}, {}}, {}};
    }
    auto chosen = m_presence.addresses_for(query->zone, own_status());
    if (chosen.empty()) {
        return {{503, {}, {}}, {}};
    }
    chosen.resize(std::min(chosen.size(), max_directory_addresses));
    return m_state.wire.locate_answer(chosen, std::min(locate_lifetime, m_state.settings.max_locate_lifetime));
}

http_answer gateway::answer_metrics(const http_request& /*request*/) {
    m_state.counters.set_gauge("open_requests", m_state.open_requests);
    m_state.counters.set_gauge("known_servers", static_cast<double>(m_state.servers.size()));
    m_state.counters.set_gauge("blocked_traits",
                               static_cast<double>(m_state.crashes.count_active_blocks(m_state.timers.now())));
    m_state.counters.set_gauge("limited_servers", static_cast<double>(m_state.statements.limits().size()));
    m_state.counters.set_gauge("leaving_servers", static_cast<double>(m_state.statements.count_leaving()));
    m_state.counters.set_gauge("pausing_servers",
                               static_cast<double>(m_state.statements.count_pausing(m_state.timers.now())));
    m_state.counters.set_gauge("reservations_held", m_state.reservations_held);
    m_state.counters.set_gauge("reservations_unused", m_state.reservations_unused);
    m_state.counters.set_gauge("request_bytes_held", static_cast<double>(m_state.request_bodies.held_bytes()));
    m_state.counters.set_gauge("answer_bytes_held", static_cast<double>(m_state.answer_bodies.held_bytes()));
    m_state.counters.set_counter("answers_given_way", static_cast<std::int64_t>(m_state.answer_bodies.given_way()));
    m_state.counters.set_gauge("live_daemons", m_state.daemons.senders());
    m_state.counters.set_counter("server_connections_opened", static_cast<std::int64_t>(m_state.pool.opened()));
    m_state.counters.set_counter("call_connections_opened", static_cast<std::int64_t>(m_state.calls.opened()));
    return {{200, {}, {{"Content-Type", "text/plain; version=0.0.4"}}}, m_state.counters.text().toStdString()};
}

void gateway::log_new_blocks() {
    for (const auto& block : m_state.crashes.take_new_blocks()) {
        log_line("requests blocked that crash servers")
            .add("traits", block.traits.size())
            .add("first_trait", block.traits.front())
            .add("round", block.round)
            .add("for_ms", block.expires - m_state.timers.now())
            .warn();
    }
}

// ---- signals, reload and shutdown ----

void gateway::wait_for_signals() {
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        m_state.guard.run({"signal", {}}, [&] {
            if (signal == SIGHUP) {
                log_line("reload requested").info();
                reload();
            } else {
                begin_stop();
            }
        });
        wait_for_signals();
    });
}

void gateway::reload() {
    if (!m_read_again) {
        return;
    }
    const auto reading = m_read_again();
    if (const auto* unreadable = std::get_if<settings_unreadable>(&reading)) {
        log_line("settings not reloaded").add("reason", unreadable->reason).error();
        return;
    }
    const auto* fresh = std::get_if<serving_settings>(&reading);
    if (fresh == nullptr) {
        return;
    }
    std::string held_back;
    for (const auto& name : apply_reload(m_state.settings, *fresh)) {
        held_back.append(held_back.empty() ? "" : ",").append(name);
    }
    m_state.repeats.set_limits(m_state.settings.repeats);
    m_state.pacer.set_bound(m_state.settings.cold);
    m_state.changes.settings_reloaded = m_state.timers.now();
    log_line("settings reloaded").add("from_next_start", held_back).info();
}

void gateway::begin_stop() {
    if (m_state.stop.has_begun()) {
        return;
    }
    m_state.stop.begin(m_state.timers.now(), m_state.settings.stop_grace);
    m_state.timers.every(stop_check_period, [this] { continue_stop(); });
    log_line("stopping").add("open_requests", m_state.open_requests).info();
    m_presence.leave();
}

void gateway::continue_stop() {
    const auto now = m_state.timers.now();
    const auto elapsed = now - *m_state.stop.began();
    if (m_state.stop.accepts_requests(now)) {
        return;
    }
    if (m_acceptor.is_open()) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }
    for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock()) {
            m_state.stop.must_answer(now) ? session->answer_for_stop() : session->close_if_idle();
        }
    }
    std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
    const bool done = m_state.open_requests == 0 && m_sessions.empty();
    if (done || m_state.stop.must_exit(now)) {
        log_line("stopped").add("open_requests", m_state.open_requests).add("after_ms", elapsed).info();
        m_state.loop.stop();
    }
}

}  // namespace verbenahold::serving
