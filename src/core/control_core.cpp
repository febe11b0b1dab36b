#include "verbenahold/control_core.hpp"

#include "lease.hpp"
#include "operator_api.hpp"
#include "record_cache.hpp"
#include "record_rows.hpp"
#include "row_garbage_collector.hpp"
#include "service_rollout.hpp"
#include "table_client.hpp"

#include <QJsonArray>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

// How often the records are refreshed while this process holds the lease of a
// service. Operators' requests refresh them on their own.
constexpr duration holder_refresh_interval = std::chrono::seconds(2);
constexpr duration idle_refresh_interval = std::chrono::seconds(10);
// Number of control processes that compete for one lease. With five, some are
// left after the loss of a zone; if all of several hundred competed, their
// reads alone would use up the table's rate limit.
constexpr std::size_t candidates_per_lease = 5;
// A drain ends after this at the latest: enough for operation_timeout and then
// the release of a lease.
constexpr duration drain_timeout = std::chrono::seconds(12);
// Service names contain no dot, so no lease of a service has this name.
constexpr std::string_view collector_lease_name = "rows.collector";

std::uint64_t lease_weight(std::string_view lease_name, const host_name& host) {
    return XXH64(host.value.data(), host.value.size(), XXH64(lease_name.data(), lease_name.size(), 0));
}

void keep_earliest(std::optional<time_point>& next, std::optional<time_point> other) {
    if (other) {
        next = next ? std::min(*next, *other) : other;
    }
}

}  // namespace

class control_core::impl {
public:
    using commands = std::vector<control_command>;

    explicit impl(control_settings settings)
        : m_settings(std::move(settings)),
          m_cache(m_table),
          m_operator_api(m_table, m_cache, m_settings.unix_time_at_zero),
          m_collector_lease(m_table, std::string(lease_row_prefix).append(collector_lease_name), m_settings.self),
          m_collector(m_table, m_settings.unix_time_at_zero) {}

    void handle(const control_event& event, time_point now, commands& out) {
        std::visit([&](const auto& item) { on_event(item, now, out); }, event);
        run_due_work(now, out);
    }

    [[nodiscard]] std::optional<time_point> next_wakeup() const {
        std::optional<time_point> next = m_table.next_wakeup();
        keep_earliest(next, m_operator_api.next_wakeup());
        if (m_drain_deadline) {
            keep_earliest(next, m_drained ? std::nullopt : m_drain_deadline);
            return next;
        }
        keep_earliest(next, m_next_refresh);
        keep_earliest(next, m_collector_lease.next_wakeup());
        if (m_collector_lease.held()) {
            keep_earliest(next, m_collector.next_wakeup());
        }
        for (const auto& [name, managed] : m_services) {
            keep_earliest(next, managed.service_lease.next_wakeup());
            if (managed.service_lease.held()) {
                keep_earliest(next, managed.rollout.next_wakeup());
            }
        }
        return next;
    }

    [[nodiscard]] figures read_figures() const {
        figures result;
        result.config_version = m_cache.current()->version();
        result.open_operations = m_operator_api.open_writes();
        result.held_leases = m_collector_lease.held() ? 1 : 0;
        for (const auto& [name, managed] : m_services) {
            result.held_leases += managed.service_lease.held() ? 1 : 0;
            result.open_orders += managed.rollout.open_orders();
        }
        return result;
    }

private:
    // A service's lease and the rollout that sends its orders under that lease.
    struct managed_service {
        managed_service(table_client& table, const service_name& name, const daemon_id& self)
            : service_lease(table, std::string(lease_row_prefix) + name.value, self), rollout(table, name) {}

        lease service_lease;
        service_rollout rollout;
    };

    void on_event(const tick& /*event*/, time_point /*now*/, commands& /*out*/) {}

    void on_event(const drain_requested& /*event*/, time_point now, commands& out) {
        if (m_drain_deadline) {
            return;
        }
        m_drain_deadline = now + drain_timeout;
        m_operator_api.begin_drain();
        m_collector_lease.release(now, out);
        for (auto& [name, managed] : m_services) {
            managed.service_lease.release(now, out);
        }
    }

    void on_event(const host_list_read& event, time_point /*now*/, commands& /*out*/) {
        m_hosts = event.hosts;
        m_operator_api.on_host_list(m_hosts);
        apply_host_list();
    }

    void on_event(const rows_read& event, time_point now, commands& out) { m_table.on_answer(event, now, out); }
    void on_event(const rows_transacted& event, time_point now, commands& out) { m_table.on_answer(event, now, out); }
    void on_event(const schema_versions_read& event, time_point now, commands& out) {
        m_operator_api.on_event(event, now, out);
    }
    void on_event(const write_request& event, time_point now, commands& out) {
        m_operator_api.on_event(event, now, out);
    }
    void on_event(const read_request& event, time_point now, commands& out) {
        m_operator_api.on_event(event, now, out);
    }
    void on_event(const changes_request& event, time_point now, commands& out) {
        m_operator_api.on_event(event, now, out);
    }

    // Events of engines and the weight store go to every rollout; each handles
    // those with its own server names or call numbers.
    template <class Event>
    void on_event(const Event& event, time_point now, commands& out) {
        for (auto& [name, managed] : m_services) {
            managed.rollout.on_event(event, context_of(name, managed, now, out));
        }
    }

    void on_event(const status_request& event, time_point now, commands& out) {
        m_cache.refresh(now, out, [this, ticket = event.ticket](bool ok, time_point at, commands& more) {
            more.emplace_back(operator_reply{ticket, 200, status(ok, at)});
        });
    }

    service_rollout::context context_of(const service_name& name, managed_service& managed, time_point now,
                                        commands& out) const {
        return {now, m_cache.current()->find_service(name), managed.service_lease, out};
    }

    void run_due_work(time_point now, commands& out) {
        m_table.on_tick(now, out);
        m_operator_api.on_tick(now, out);
        if (m_drain_deadline) {
            finish_drain(now, out);
            return;
        }
        refresh_if_due(now, out);
        m_collector_lease.on_tick(now, out);
        m_collector.on_tick(m_collector_lease.may_act(now), now, out);
        for (auto& [name, managed] : m_services) {
            managed.service_lease.on_tick(now, out);
            const bool due = !managed.rollout.next_wakeup() || *managed.rollout.next_wakeup() <= now;
            if (managed.service_lease.held() && due) {
                managed.rollout.on_tick(context_of(name, managed, now, out));
            }
        }
    }

    void refresh_if_due(time_point now, commands& out) {
        if (now < m_next_refresh) {
            return;
        }
        const bool holds_service_lease = std::any_of(m_services.begin(), m_services.end(),
                                                     [](const auto& item) { return item.second.service_lease.held(); });
        m_next_refresh = now + (holds_service_lease ? holder_refresh_interval : idle_refresh_interval);
        m_cache.refresh(now, out, [this](bool, time_point, commands&) { add_new_services(); });
    }

    // Creates a lease and a rollout for each new service of type `model`.
    void add_new_services() {
        bool added = false;
        for (const auto& [key, value] : m_cache.current()->records()) {
            const service_name name(key.name);
            const service_spec* spec =
                key.kind == record_kind::service ? m_cache.current()->find_service(name) : nullptr;
            if (spec == nullptr || spec->type != service_type::model || m_services.contains(name)) {
                continue;
            }
            m_services.try_emplace(name, m_table, name, m_settings.self);
            added = true;
        }
        if (added) {
            apply_host_list();
        }
    }

    void apply_host_list() {
        m_collector_lease.set_candidate(is_candidate(collector_lease_name));
        for (auto& [name, managed] : m_services) {
            managed.service_lease.set_candidate(is_candidate(name.value));
            std::map<server_name, endpoint> servers;
            for (const host_entry& host : m_hosts) {
                if (host.role == host_role::backend && host.state == host_state::live && host.service == name) {
                    servers.emplace(server_name(host.host.value), host.server_endpoint);
                }
            }
            managed.rollout.set_servers(servers);
        }
    }

    [[nodiscard]] bool is_candidate(std::string_view lease_name) const {
        const host_name& self = m_settings.self.host;
        const std::uint64_t own = lease_weight(lease_name, self);
        const auto ahead = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const host_entry& host) {
            return host.role == host_role::entry && host.state == host_state::live && host.host != self &&
                   lease_weight(lease_name, host.host) > own;
        });
        return static_cast<std::size_t>(ahead) < candidates_per_lease;
    }

    void finish_drain(time_point now, commands& out) {
        const bool releasing = m_collector_lease.call_open() ||
                               std::any_of(m_services.begin(), m_services.end(),
                                           [](const auto& item) { return item.second.service_lease.call_open(); });
        if (!m_drained && ((m_operator_api.open_writes() == 0 && !releasing) || now >= *m_drain_deadline)) {
            m_drained = true;
            out.emplace_back(drained{});
        }
    }

    [[nodiscard]] QJsonObject status(bool confirmed, time_point now) const {
        QJsonArray services;
        for (const auto& [name, managed] : m_services) {
            QJsonObject service = managed.rollout.status(m_cache.current()->find_service(name));
            service["holder"] = to_qstring(managed.service_lease.holder());
            service["fence"] = static_cast<qint64>(managed.service_lease.fence());
            service["held_here"] = managed.service_lease.may_act(now);
            services.append(service);
        }
        QJsonArray zones_out;
        for (const auto& [key, value] : m_cache.current()->records()) {
            if (key.kind == record_kind::availability_zone && m_cache.current()->is_zone_out(zone_name(key.name))) {
                zones_out.append(to_qstring(key.name));
            }
        }
        return {{"daemon", to_qstring(to_string(m_settings.self))},
                {"zone", to_qstring(m_settings.zone.value)},
                {"version", static_cast<qint64>(m_cache.current()->version())},
                {"confirmed", confirmed},
                {"writes_schema_version", m_operator_api.writable_schema()},
                {"hosts", host_counts()},
                {"zones_out", zones_out},
                {"services", services}};
    }

    [[nodiscard]] QJsonObject host_counts() const {
        std::map<QString, int> counts;
        for (const host_entry& host : m_hosts) {
            const QString role = host.role == host_role::entry ? "entry" : "backend";
            ++counts[role + (host.state == host_state::live ? "_live" : "_leaving")];
        }
        QJsonObject result;
        for (const auto& [name, host_count] : counts) {
            result[name] = host_count;
        }
        return result;
    }

    control_settings m_settings;
    table_client m_table;
    record_cache m_cache;
    operator_api m_operator_api;
    lease m_collector_lease;
    row_garbage_collector m_collector;
    std::map<service_name, managed_service> m_services;
    std::vector<host_entry> m_hosts;
    time_point m_next_refresh{};
    std::optional<time_point> m_drain_deadline;
    bool m_drained = false;
};

control_core::control_core(control_settings settings) : m_impl(std::make_unique<impl>(std::move(settings))) {}
control_core::~control_core() = default;
control_core::control_core(control_core&&) noexcept = default;
control_core& control_core::operator=(control_core&&) noexcept = default;

void control_core::handle(const control_event& event, time_point now, std::vector<control_command>& out) {
    m_impl->handle(event, now, out);
}

std::optional<time_point> control_core::next_wakeup() const {
    return m_impl->next_wakeup();
}

control_core::figures control_core::read_figures() const {
    return m_impl->read_figures();
}

}  // namespace verbenahold
