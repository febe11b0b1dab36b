#include "presence.hpp"

#include "log_line.hpp"
#include "server_connection.hpp"
#include "table_follower.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// With at least this many daemons in the caller's zone, the directory names
// only those; with fewer it names the daemons of all zones.
constexpr std::size_t min_daemons_in_zone = 2;
// The list of daemons is read at the start, which finds those that are already
// running; twice more to find those that start at the same time and have
// written their rows since; and then periodically.
constexpr duration second_listing_delay = std::chrono::milliseconds(400);
constexpr duration third_listing_delay = std::chrono::milliseconds(2'500);
constexpr duration listing_period = std::chrono::seconds(12);
// Until the daemons are listed, the call is repeated at this period on other connections, since
// a store that was silent when an earlier call began may answer now.
constexpr duration early_listing_period = std::chrono::milliseconds(250);
// Later it is repeated less often: the calls of many hosts add up.
constexpr duration early_listing_time = std::chrono::seconds(3);
constexpr duration late_listing_period = std::chrono::seconds(2);
// Delay before this daemon's row is written again after a failure.
constexpr duration announce_retry_delay = std::chrono::milliseconds(500);
// Longest delay before this daemon's row is written again into a store that came back.
constexpr duration max_rewrite_delay = std::chrono::seconds(1);
constexpr duration role_check_period = std::chrono::milliseconds(100);
// A daemon that stands by sends one of this many heartbeats.
constexpr std::uint64_t standby_heartbeat_interval = 3;
// Statuses of other zones are relayed with one of this many heartbeats.
constexpr std::uint64_t relay_interval = 2;
// Weight of the newest heartbeat period in the mean rate of requests.
constexpr double rate_smoothing = 0.15;

}  // namespace

presence::presence(gateway_state& state, peer_link& peers, std::function<void()> on_part_decided,
                   std::function<void()> on_heartbeat)
    : m_state(state),
      m_peers(peers),
      m_on_part_decided(std::move(on_part_decided)),
      m_on_heartbeat(std::move(on_heartbeat)) {}

void presence::start() {
    write_own_row();
    list_until_listed();
    m_state.timers.after(second_listing_delay, [this] { list_again_if_active(); });
    m_state.timers.after(third_listing_delay, [this] { list_again_if_active(); });
    m_state.timers.every(listing_period, [this] {
        if (is_store_reader()) {
            list_daemons();
        }
    });
    m_state.timers.every(role_check_period, [this] { update_role(); });
    m_state.timers.every(heartbeat_period, [this] { heartbeat(); });
}

void presence::announce() {
    m_peers.send_status();
}

void presence::leave() {
    update_role();
    // Other daemons remove this one from their directory answers at once.
    m_peers.send_status();
    const auto request = m_state.wire.remove_row(store_table::daemon_rows, m_state.settings.host.value);
    m_state.calls.call(m_state.settings.store_address, request, {store_call_limit, max_rows_bytes},
                       [](const call_result& result) {
                           if (!result.answer) {
                               log_line("own row not removed").add("reason", result.failure).warn();
                           }
                       });
}

void presence::describe(daemon_status& status) const {
    status.leaving = m_state.stop.has_begun();
    status.active = m_state.role.is_active();
    status.shares_work = m_state.role.shares_work(m_state.timers.now());
    status.cores = m_state.settings.cores;
    status.requests_per_second = m_requests_per_second;
    if (status.active) {
        status.chosen_hosts = m_state.role.chosen_hosts();
    }
}

bool presence::is_store_reader() const {
    return m_state.role.is_active() &&
           m_state.daemons.is_store_reader(m_state.settings.host.value, m_state.timers.now());
}

void presence::write_own_row() {
    const auto& settings = m_state.settings;
    const daemon_record own{settings.host.value, settings.peer_address, settings.zone, settings.cores};
    const auto request = m_state.wire.write_row(store_table::daemon_rows, own.name, encode_daemon_record(own));
    m_state.calls.call(settings.store_address, request, {store_call_limit, max_rows_bytes},
                       [this](const call_result& result) { on_own_row_written(result); });
}

void presence::on_own_row_written(const call_result& result) {
    if (m_state.stop.has_begun()) {
        return;
    }
    if (!result.answer || result.answer->head.status != 200) {
        log_line("own row not written").add("reason", result.failure).warn();
        m_state.timers.after(announce_retry_delay, [this] { write_own_row(); });
        return;
    }
    m_own_row_era = m_state.wire.read_store_era(*result.answer);
    on_store_era(*m_own_row_era);
}

void presence::on_store_era(std::uint64_t era) {
    m_store_era = std::max(m_store_era, era);
    if (!m_own_row_era || *m_own_row_era >= m_store_era || m_state.stop.has_begun()) {
        return;
    }
    m_own_row_era.reset();
    log_line("writing own row again").add("era", m_store_era).info();
    // All hosts learn of the era at once.
    std::uniform_int_distribution<duration::rep> spread(0, max_rewrite_delay.count());
    m_state.timers.after(duration(spread(m_state.random)), [this] { write_own_row(); });
}

void presence::list_again_if_active() {
    if (m_state.role.is_active()) {
        list_daemons();
    }
}

void presence::list_until_listed() {
    if (m_listed || m_state.stop.has_begun()) {
        return;
    }
    list_daemons();
    const bool is_early = m_state.timers.now() < time_point(early_listing_time);
    m_state.timers.after(is_early ? early_listing_period : late_listing_period, [this] { list_until_listed(); });
}

void presence::list_daemons(const std::string& first_key) {
    const auto request = m_state.wire.list_rows(store_table::daemon_rows, first_key);
    m_state.calls.call(m_state.settings.store_address, request, {store_call_limit, max_rows_bytes},
                       [this](const call_result& result) {
                           m_state.guard.run(
                               {"table", "daemons"}, [&] { on_listing(result); },
                               [&] { on_listing_failed("the answer can't be handled"); });
                       });
}

void presence::on_listing(const call_result& result) {
    if (!result.answer) {
        on_listing_failed(result.failure);
        return;
    }
    const auto page = m_state.wire.read_page(*result.answer);
    const auto* listed = std::get_if<store_page>(&page);
    if (listed == nullptr) {
        on_listing_failed("status " + std::to_string(result.answer->head.status));
        return;
    }
    for (const auto& row : listed->rows) {
        if (row.key == m_state.settings.host.value) {
            continue;
        }
        const auto record = decode_daemon_record(row.key, row.value);
        if (endpoint_of(record.peer_address).port() == 0) {
            log_line("daemon row unusable").add("daemon", row.key).add("version", row.version).warn();
            continue;
        }
        m_state.daemons.on_record(record);
    }
    log_line("daemons listed").add("rows", listed->rows.size()).add("version", listed->position.version).info();
    on_store_era(listed->position.era);
    if (listed->has_more && !listed->rows.empty()) {
        // The smallest key that is greater than the last one.
        list_daemons(listed->rows.back().key + '\0');
        return;
    }
    on_listed();
}

void presence::on_listing_failed(std::string_view reason) {
    log_line("daemons not listed").add("reason", reason).warn();
}

void presence::on_listed() {
    m_state.role.on_listed();
    update_role();
    m_peers.send_status();
    if (!m_listed) {
        m_listed = true;
        m_on_part_decided();
    }
}

void presence::measure_requests() {
    const auto period_s = std::chrono::duration<double>(heartbeat_period).count();
    const auto received = static_cast<double>(m_state.last_request - m_requests_before);
    m_requests_before = m_state.last_request;
    m_requests_per_second += rate_smoothing * (received / period_s - m_requests_per_second);
}

void presence::heartbeat() {
    measure_requests();
    ++m_heartbeats;
    const auto now = m_state.timers.now();
    m_state.statements.limits().set_share(m_state.heard_share());
    if (m_state.role.shares_work(now) || m_heartbeats % standby_heartbeat_interval == 0) {
        m_peers.send_status();
    }
    if (m_state.role.is_active() && m_heartbeats % relay_interval == 0) {
        m_peers.relay_statuses();
    }
    m_state.forget_work_of_ended_daemons();
    m_on_heartbeat();
}

void presence::update_role() {
    const auto chosen_before = m_state.role.chosen_hosts();
    const bool changed = m_state.role.update(m_requests_per_second, m_state.stop.has_begun(), m_state.timers.now());
    if (changed) {
        log_line(m_state.role.is_active() ? "active" : "standing by")
            .add("active_daemons", m_state.daemons.senders())
            .add("chosen", m_state.role.chosen_hosts().size())
            .info();
        m_on_part_decided();
    }
    const bool choice_changed = m_state.role.is_active() && chosen_before != m_state.role.chosen_hosts();
    if (changed || choice_changed) {
        m_peers.send_status();
    }
}

std::vector<std::string> presence::addresses_for(const zone_name& zone, const daemon_status& own) {
    const auto now = m_state.timers.now();
    std::vector<std::string> in_zone;
    std::vector<std::string> active;
    std::vector<std::string> all;
    const auto add = [&](const daemon_status& status) {
        if (!status.accepting || status.front_address.empty()) {
            return;
        }
        all.push_back(status.front_address);
        if (!status.active) {
            return;
        }
        active.push_back(status.front_address);
        if (status.zone == zone) {
            in_zone.push_back(status.front_address);
        }
    };
    add(own);
    for (const auto& [name, member] : m_state.daemons.members()) {
        // Relayed heartbeats are older, and only count where nothing better is known.
        if (member.is_relayed || now - member.last_heard < active_timeout) {
            add(member.status);
        }
    }
    auto& chosen = in_zone.size() >= min_daemons_in_zone ? in_zone : active.empty() ? all : active;
    std::shuffle(chosen.begin(), chosen.end(), m_state.random);
    return chosen;
}

}  // namespace verbenahold::serving
