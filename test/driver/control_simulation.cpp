#include "control_simulation.hpp"

#include "record_rows.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::testing {

namespace {

constexpr std::chrono::seconds unix_start(1'800'000'000);

}  // namespace

control_simulation::control_simulation(std::size_t processes) {
    for (std::size_t i = 0; i < processes; ++i) {
        const daemon_id self{host_name("entry-" + std::to_string(i)), 1'000 + i};
        control_process next;
        next.core = std::make_unique<control_core>(control_settings{self, zone_name("zone-a"), unix_start});
        m_processes.push_back(std::move(next));
    }
}

void control_simulation::schedule(duration delay, std::function<void()> action) {
    m_scheduled.emplace(now + delay, std::move(action));
}

void control_simulation::handle(std::size_t process, const control_event& event) {
    if (m_processes[process].paused) {
        m_processes[process].queued_events.push_back(event);
        return;
    }
    std::vector<control_command> out;
    m_processes[process].core->handle(event, now, out);
    for (const control_command& command : out) {
        std::visit([&](const auto& item) { run(process, item); }, command);
    }
}

void control_simulation::send(std::size_t process, control_event event) {
    handle(process, event);
}

void control_simulation::set_paused(std::size_t process, bool paused) {
    m_processes[process].paused = paused;
    for (const control_event& event : std::exchange(m_processes[process].queued_events, {})) {
        handle(process, event);
    }
}

void control_simulation::run_for(duration length) {
    const time_point end = now + length;
    while (true) {
        time_point next = m_scheduled.empty() ? end : std::min(end, m_scheduled.begin()->first);
        std::optional<std::size_t> due_process;
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const auto wakeup = m_processes[i].paused ? std::nullopt : m_processes[i].core->next_wakeup();
            if (wakeup && *wakeup < next) {
                next = *wakeup;
                due_process = i;
            }
        }
        now = std::max(now, next);
        if (due_process) {
            handle(*due_process, tick{});
        } else if (!m_scheduled.empty() && m_scheduled.begin()->first <= now && now < end) {
            const auto action = m_scheduled.extract(m_scheduled.begin());
            action.mapped()();
        } else {
            return;
        }
    }
}

// ---- the table

rows_transacted control_simulation::apply(std::uint64_t call, const row_transaction& transaction) {
    rows_transacted result;
    result.call = call;
    for (const row_check& check : transaction.checks) {
        const auto found = rows.find(check.key);
        if ((found == rows.end() ? 0 : found->second.revision) != check.revision) {
            result.failed_keys.push_back(check.key);
        }
    }
    if (!result.failed_keys.empty()) {
        result.status = transact_status::conflict;
        return result;
    }
    result.status = transact_status::done;
    result.revision = ++m_revision;
    for (const std::string& key : transaction.deletes) {
        rows.erase(key);
    }
    for (const row_put& put : transaction.puts) {
        rows[put.key] = {put.key, put.value, m_revision};
    }
    return result;
}

void control_simulation::run(std::size_t process, const read_rows& command) {
    schedule(latency, [this, process, command] {
        rows_read result{command.call, !table_down, {}};
        for (const std::string& key : command.keys) {
            const auto found = rows.find(key);
            if (result.ok && found != rows.end()) {
                result.rows.push_back(found->second);
            }
        }
        answer(process, result);
    });
}

void control_simulation::run(std::size_t process, const scan_rows& command) {
    schedule(latency, [this, process, command] {
        rows_read result{command.call, !table_down, {}};
        auto row = command.after < command.prefix ? rows.lower_bound(command.prefix) : rows.upper_bound(command.after);
        const auto limit = static_cast<std::size_t>(command.limit);
        for (; result.ok && row != rows.end() && row->first.starts_with(command.prefix) && result.rows.size() < limit;
             ++row) {
            result.rows.push_back(row->second);
        }
        answer(process, result);
    });
}

void control_simulation::run(std::size_t process, const transact_rows& command) {
    const table_fault chosen = table_down     ? table_fault::refused
                               : choose_fault ? choose_fault(process, command.transaction)
                                              : table_fault::none;
    if (chosen == table_fault::refused) {
        answer(process, rows_transacted{command.call, transact_status::refused, 0, {}});
        return;
    }
    if (chosen == table_fault::request_lost) {
        return;
    }
    schedule(chosen == table_fault::late ? late_delay : latency, [this, process, command, chosen] {
        const rows_transacted result = apply(command.call, command.transaction);
        if (chosen == table_fault::none) {
            answer(process, result);
        }
    });
}

void control_simulation::store(record value) {
    const std::uint64_t version = head_version() + 1;
    value.record_version = version;
    row_transaction transaction;
    transaction.puts = {{std::string(head_row_key), head_row(version)},
                        {record_row_key(value.key), to_json(value)},
                        {change_row_key(version), change_row({version, value.key, value}, unix_start)}};
    apply(0, transaction);
}

std::uint64_t control_simulation::head_version() const {
    const auto head = rows.find(std::string(head_row_key));
    return head == rows.end() ? 0 : version_of_row(head->second.value);
}

std::size_t control_simulation::count_rows(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(rows.begin(), rows.end(), [&](const auto& row) { return row.first.starts_with(prefix); }));
}

// ---- operators and daemons

std::uint64_t control_simulation::write(std::size_t process, const record& value, const std::string& operation) {
    send(process, write_request{++m_last_ticket, to_json(value), operation});
    return m_last_ticket;
}

void control_simulation::run(std::size_t /*process*/, const operator_reply& command) {
    replies[command.ticket] = command;
}

int control_simulation::status_of(std::uint64_t ticket) const {
    const auto found = replies.find(ticket);
    return found == replies.end() ? 0 : found->second.status;
}

void control_simulation::run(std::size_t process, const read_schema_versions& command) {
    answer(process, schema_versions_read{command.host, newest_schema_by_daemon.at(command.host.value)});
}

void control_simulation::announce_hosts(const std::string& service) {
    host_list_read list;
    for (const auto& [name, newest] : newest_schema_by_daemon) {
        host_entry host;
        host.host = host_name(name);
        host.role = host_role::entry;
        list.hosts.push_back(host);
    }
    for (const auto& [name, which] : engines) {
        host_entry host;
        host.host = host_name(name);
        host.service = service_name(service);
        host.server_endpoint = endpoint{name};
        list.hosts.push_back(host);
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        send(i, list);
    }
}

// ---- engines and weights

void control_simulation::run(std::size_t process, const request_weights& command) {
    const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    m_granted_in_second = second == m_weight_second ? m_granted_in_second : 0;
    m_weight_second = second;
    const bool granted = m_granted_in_second < weights_per_second;
    m_granted_in_second += granted ? 1 : 0;
    (granted ? weights_granted : weight_refusals) += 1;
    answer(process, weights_answered{command.call, granted ? weights_state::available : weights_state::rate_limited});
}

void control_simulation::run(std::size_t process, const send_order& command) {
    if (on_order) {
        on_order(process);
    }
    engine& target = engines.at(command.server.value);
    if (target.dead) {
        answer(process, order_answered{command.call, order_result::unknown});
        return;
    }
    if (target.checks_fence && command.fence < target.highest_fence) {
        answer(process, order_answered{command.call, order_result::stale_fence});
        return;
    }
    target.highest_fence = std::max(target.highest_fence, command.fence);
    target.accepted_fences.push_back(command.fence);
    target.orders_during_streams += target.streams.empty() ? 0 : 1;
    if (command.order.type == order_type::load_model) {
        ++loads_ordered;
        target.loading_until = now + load_time;
        target.next_version = command.order.version;
        const auto loading = std::count_if(engines.begin(), engines.end(), [&](const auto& item) {
            return item.second.loading_until && *item.second.loading_until > now;
        });
        max_loading = std::max(max_loading, static_cast<int>(loading));
    }
    answer(process, order_answered{command.call, order_result::accepted});
}

void control_simulation::run(std::size_t process, const poll_load& command) {
    engine& target = engines.at(command.server.value);
    if (target.dead) {
        answer(process, load_failed{command.server, backend_failure::refused});
        return;
    }
    if (target.loading_until && *target.loading_until <= now) {
        target.version = target.next_version;
        target.loading_until.reset();
    }
    load_report report;
    report.server = command.server;
    report.incarnation = 1;
    report.model_version = target.version;
    answer(process, report);
}

void control_simulation::run(std::size_t process, const list_streams& command) {
    if (engines.at(command.server.value).dead) {
        answer(process, load_failed{command.server, backend_failure::refused});
        return;
    }
    stream_listing listing{command.server, 1, {}, {}};
    for (const std::string& stream : engines.at(command.server.value).streams) {
        listing.streams.push_back({stream, 1, true, {}});
    }
    answer(process, listing);
}

}  // namespace verbenahold::testing
