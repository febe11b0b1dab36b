#include "service_rollout.hpp"

#include "record_rows.hpp"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(500);
constexpr duration idle_interval = std::chrono::seconds(1);
constexpr duration retry_interval = std::chrono::seconds(1);
// Minimum time between two polls of a server in the regular round.
constexpr duration poll_interval = std::chrono::seconds(5);
// Maximum number of polls per tick; bounds the cost for a service of thousands
// of servers.
constexpr int polls_per_tick = 10;
// New orders are opened only for servers whose last load report is younger than
// this. At 20 polls a second, a round over 2,000 servers takes 100 s.
constexpr duration max_observation_age = std::chrono::seconds(150);
constexpr int page_rows = 500;

QJsonArray json_list(const std::vector<std::string>& texts) {
    QJsonArray list;
    for (const std::string& text : texts) {
        list.append(to_qstring(text));
    }
    return list;
}

std::vector<std::string> text_list(const QJsonValue& list) {
    std::vector<std::string> texts;
    for (const auto& item : list.toArray()) {
        texts.push_back(item.toString().toStdString());
    }
    return texts;
}

QJsonObject target_json(const engine_target& target) {
    return {{"model", to_qstring(target.model)},
            {"version", to_qstring(target.version)},
            {"adapters", json_list(target.adapters)},
            {"role", to_qstring(target.role)}};
}

engine_target parse_target(const QJsonValue& json) {
    return {json["model"].toString().toStdString(), json["version"].toString().toStdString(),
            text_list(json["adapters"]), json["role"].toString().toStdString()};
}

}  // namespace

std::string_view to_string(order_type type) {
    switch (type) {
        case order_type::load_model:
            return "load_model";
        case order_type::load_adapter:
            return "load_adapter";
        case order_type::set_role:
            break;
    }
    return "set_role";
}

engine_target target_of(const service_spec& spec) {
    return {spec.model, spec.model_version, spec.adapters, spec.role};
}

service_rollout::service_rollout(table_client& table, service_name service)
    : m_table(table), m_service(std::move(service)) {}

void service_rollout::set_servers(const std::map<server_name, endpoint>& servers) {
    std::map<server_name, server_view> next;
    for (const auto& [name, address] : servers) {
        auto known = m_servers.extract(name);
        server_view view = known.empty() ? server_view{} : std::move(known.mapped());
        view.address = address;
        next.emplace(name, std::move(view));
    }
    m_servers = std::move(next);
}

void service_rollout::drop_all_orders() {
    m_orders.clear();
    m_rows_read = false;
    m_scanning = false;
    ++m_epoch;
}

service_rollout::open_order* service_rollout::find_order(const server_name& server, std::uint64_t epoch) {
    const auto found = epoch == m_epoch ? m_orders.find(server) : m_orders.end();
    return found == m_orders.end() ? nullptr : &found->second;
}

// ---- taking over order rows

// Returns true if this process may act under the lease and has read all order
// rows. Drops all orders and reads the rows again when the lease was lost or its
// fencing number has changed.
bool service_rollout::sync_with_lease(const context& ctx) {
    if (!ctx.service_lease.held() || ctx.service_lease.fence() != m_fence) {
        drop_all_orders();
        m_fence = ctx.service_lease.fence();
    }
    if (!ctx.service_lease.may_act(ctx.now)) {
        return false;
    }
    if (!m_rows_read && !m_scanning) {
        take_over_rows(ctx);
    }
    return m_rows_read;
}

void service_rollout::take_over_rows(const context& ctx) {
    m_scanning = true;
    m_loaded.clear();
    scan_page(loaded_row_key(m_service.value, ""), "", ctx.now, ctx.out);
}

void service_rollout::scan_page(const std::string& prefix, const std::string& after, time_point now, commands& out) {
    m_table.scan(prefix, after, page_rows, now, out,
                 [this, prefix, epoch = m_epoch](const rows_read& answer, time_point at, commands& more) {
                     if (epoch != m_epoch) {
                         return;
                     }
                     if (!answer.ok) {
                         m_scanning = false;
                         return;
                     }
                     take_over_page(answer.rows, at);
                     if (answer.rows.size() == static_cast<std::size_t>(page_rows)) {
                         scan_page(prefix, answer.rows.back().key, at, more);
                     } else if (prefix != order_row_prefix) {
                         scan_page(std::string(order_row_prefix), "", at, more);
                     } else {
                         m_scanning = false;
                         m_rows_read = true;
                     }
                 });
}

void service_rollout::take_over_page(const std::vector<stored_row>& rows, time_point now) {
    for (const stored_row& row : rows) {
        const server_name server(row.key.substr(row.key.rfind('/') + 1));
        if (row.key.starts_with(loaded_row_prefix)) {
            m_loaded[server] = {static_cast<std::uint64_t>(row.value["incarnation"].toInteger()),
                                text_list(row.value["adapters"]), row.value["role"].toString().toStdString()};
        } else if (row.value["service"].toString() == to_qstring(m_service.value)) {
            // The row is first rewritten with this process's fencing number.
            open_order order;
            order.target = parse_target(row.value["target"]);
            order.row_revision = row.revision;
            order.retry_at = now;
            order.may_have_arrived = true;
            m_orders.emplace(server, std::move(order));
        }
    }
}

// ---- polling servers

void service_rollout::poll_servers(const context& ctx) {
    if (ctx.now < m_next_poll || m_servers.empty()) {
        return;
    }
    m_next_poll = ctx.now + tick_interval;
    auto position = m_servers.upper_bound(m_last_polled);
    int polls = 0;
    for (std::size_t looked = 0; looked < m_servers.size() && polls < polls_per_tick; ++looked, ++position) {
        if (position == m_servers.end()) {
            position = m_servers.begin();
        }
        auto& [name, view] = *position;
        m_last_polled = name;
        if (!view.polled_at || ctx.now - *view.polled_at >= poll_interval) {
            view.polled_at = ctx.now;
            ctx.out.emplace_back(poll_load{name, view.address});
            ++polls;
        }
    }
}

void service_rollout::on_event(const load_report& event, const context& ctx) {
    const auto found = m_servers.find(event.server);
    if (found == m_servers.end()) {
        return;
    }
    found->second.version = event.model_version;
    found->second.incarnation = event.incarnation;
    found->second.observed_at = ctx.now;
    found->second.failing_since.reset();
    if (auto* order = find_order(event.server, m_epoch); order != nullptr && order->current_stage == stage::verifying) {
        verify(event.server, *order, ctx);
    }
}

void service_rollout::on_event(const load_failed& event, const context& ctx) {
    const auto found = m_servers.find(event.server);
    if (found != m_servers.end() && !found->second.failing_since) {
        found->second.failing_since = ctx.now;
    }
}

bool service_rollout::matches_loaded(const server_name& server, const server_view& view,
                                     const engine_target& target) const {
    const auto found = m_loaded.find(server);
    if (found == m_loaded.end() || found->second.incarnation != view.incarnation) {
        return target.adapters.empty() && target.role.empty();
    }
    return found->second.adapters == target.adapters && found->second.role == target.role;
}

bool service_rollout::needs_order(const server_name& server, const server_view& view,
                                  const engine_target& target) const {
    const bool other_version = !target.version.empty() && view.version != target.version;
    return other_version || !matches_loaded(server, view, target);
}

std::vector<engine_order> service_rollout::steps_for(const server_name& server, const server_view& view,
                                                     const engine_target& target) const {
    std::vector<engine_order> steps;
    const bool needs_load = !target.version.empty() && view.version != target.version;
    if (needs_load) {
        steps.push_back({order_type::load_model, target.model, target.version, "", ""});
    }
    if (needs_load || !matches_loaded(server, view, target)) {
        for (const std::string& adapter : target.adapters) {
            steps.push_back({order_type::load_adapter, target.model, target.version, adapter, ""});
        }
        if (!target.role.empty()) {
            steps.push_back({order_type::set_role, target.model, target.version, "", target.role});
        }
    }
    return steps;
}

// ---- orders

void service_rollout::open_new_orders(const context& ctx) {
    if (ctx.spec == nullptr || ctx.spec->type != service_type::model) {
        return;
    }
    const engine_target target = target_of(*ctx.spec);
    const auto allowed = static_cast<std::size_t>(ctx.spec->max_unavailable);
    for (const auto& [name, view] : m_servers) {
        if (m_orders.size() >= allowed) {
            return;
        }
        const bool recently_observed =
            view.observed_at && ctx.now - *view.observed_at < max_observation_age && !view.failing_since;
        if (!recently_observed || m_orders.contains(name) || !needs_order(name, view, target)) {
            continue;
        }
        open_order order;
        order.target = target;
        order.retry_at = ctx.now;
        m_orders.emplace(name, std::move(order));
        ctx.out.emplace_back(log_change{"order opened for " + name.value + ": " + target.model + ' ' + target.version});
    }
}

void service_rollout::on_tick(const context& ctx) {
    m_next_tick = ctx.now + idle_interval;
    if (!sync_with_lease(ctx)) {
        return;
    }
    poll_servers(ctx);
    open_new_orders(ctx);
    std::vector<server_name> due;
    for (const auto& [name, order] : m_orders) {
        if (order.retry_at <= ctx.now) {
            due.push_back(name);
        }
    }
    for (const server_name& name : due) {
        if (auto* order = find_order(name, m_epoch)) {
            advance(name, *order, ctx);
        }
    }
    m_next_tick = ctx.now + (m_orders.empty() ? idle_interval : tick_interval);
}

// Restarts an order whose target has changed, and ends an order whose record is
// gone or whose server has left or is unreachable.
void service_rollout::refresh_target(const server_name& server, open_order& order, const context& ctx) {
    const auto found = m_servers.find(server);
    const bool gone = found == m_servers.end() || ctx.spec == nullptr;
    const duration limit = order.may_have_arrived ? ordered_unreachable_timeout : unreachable_timeout;
    const bool unreachable = !gone && found->second.failing_since && ctx.now - *found->second.failing_since > limit;
    if (gone || unreachable) {
        order.current_stage = stage::clearing;
        return;
    }
    const engine_target target = target_of(*ctx.spec);
    if (order.target != target && order.current_stage != stage::clearing) {
        order.target = target;
        order.current_stage = stage::writing;
    }
}

void service_rollout::advance(const server_name& server, open_order& order, const context& ctx) {
    order.retry_at = ctx.now + retry_interval;
    refresh_target(server, order, ctx);
    switch (order.current_stage) {
        case stage::writing:
            write_row(server, order, ctx);
            return;
        case stage::draining:
        case stage::sending:
            order.current_stage = stage::draining;
            request_listing(server, order, ctx);
            return;
        case stage::waiting_for_weights:
            request_weight_load(order, ctx);
            return;
        case stage::verifying:
            if (ctx.now - order.ordered_at > verify_timeout) {
                ctx.out.emplace_back(log_change{"order to " + server.value + " is not confirmed; repeating it"});
                order.current_stage = stage::draining;
                order.load_granted = false;
                return;
            }
            ctx.out.emplace_back(poll_load{server, m_servers.at(server).address});
            return;
        case stage::clearing:
            clear_row(server, order, ctx);
            return;
    }
}

void service_rollout::write_row(const server_name& server, open_order& order, const context& ctx) {
    const QJsonObject value{{"service", to_qstring(m_service.value)},
                            {"fence", static_cast<qint64>(m_fence)},
                            {"target", target_json(order.target)}};
    const std::string key = order_row_key(server.value);
    // The answer to the transaction sets the next retry; table_client answers it
    // after its time limit at the latest.
    order.retry_at = time_point::max();
    m_table.transact({{{key, order.row_revision}}, {{key, value}}, {}}, ctx.now, ctx.out,
                     [this, server, epoch = m_epoch, service_lease = &ctx.service_lease](
                         const rows_transacted& answer, time_point at, commands& more) {
                         auto* found = find_order(server, epoch);
                         if (found == nullptr) {
                             return;
                         }
                         if (answer.status == transact_status::done) {
                             found->row_revision = answer.revision;
                             found->row_has_our_fence = true;
                             found->row_written_at = at;
                             found->current_stage = stage::draining;
                             found->retry_at = at;
                         } else if (answer.status == transact_status::refused) {
                             found->retry_at = at + retry_interval;
                         } else {
                             read_row(server, {at, nullptr, *service_lease, more});
                         }
                     });
}

void service_rollout::read_row(const server_name& server, const context& ctx) {
    m_table.read({order_row_key(server.value)}, ctx.now, ctx.out,
                 [this, server, epoch = m_epoch, service_lease = &ctx.service_lease](
                     const rows_read& answer, time_point at, commands& /*more*/) {
                     if (epoch == m_epoch) {
                         on_row(server, answer, *service_lease, at);
                     }
                 });
}

void service_rollout::on_row(const server_name& server, const rows_read& answer, lease& service_lease, time_point now) {
    auto* order = find_order(server, m_epoch);
    if (order == nullptr) {
        return;
    }
    order->retry_at = now + retry_interval;
    if (!answer.ok) {
        return;
    }
    const stored_row* row = find_row(answer.rows, order_row_key(server.value));
    const std::uint64_t fence = row == nullptr ? 0 : static_cast<std::uint64_t>(row->value["fence"].toInteger());
    if (fence > m_fence) {
        service_lease.step_down(now);
        drop_all_orders();
        return;
    }
    order->row_revision = row == nullptr ? 0 : row->revision;
    if (row == nullptr && order->current_stage == stage::clearing) {
        m_orders.erase(server);
        return;
    }
    const bool written = row != nullptr && fence == m_fence && parse_target(row->value["target"]) == order->target;
    if (written && order->current_stage == stage::writing) {
        order->row_has_our_fence = true;
        order->row_written_at = now;
        order->current_stage = stage::draining;
    }
    order->retry_at = now;
}

void service_rollout::request_listing(const server_name& server, open_order& order, const context& ctx) {
    order.listing_sent_at = ctx.now;
    ctx.out.emplace_back(list_streams{server, m_servers.at(server).address});
}

void service_rollout::on_event(const stream_listing& event, const context& ctx) {
    auto* order = find_order(event.server, m_epoch);
    const auto view = m_servers.find(event.server);
    if (order == nullptr || order->current_stage != stage::draining || view == m_servers.end() || ctx.spec == nullptr) {
        return;
    }
    view->second.failing_since.reset();
    const bool row_was_read =
        order->row_has_our_fence && order->listing_sent_at >= order->row_written_at + max_row_read_delay;
    const bool fresh = ctx.now - order->listing_sent_at <= retry_interval;
    const bool drained = event.streams.empty() && event.reservations.empty();
    // An order taken over from a previous holder also waits for the first load
    // report of its server.
    if (!row_was_read || !fresh || !drained || !view->second.observed_at) {
        return;
    }
    order->steps = steps_for(event.server, view->second, order->target);
    order->next_step = 0;
    if (order->steps.empty()) {
        order->current_stage = stage::clearing;
        order->retry_at = ctx.now;
        return;
    }
    if (loading_count() >= ctx.spec->max_unavailable) {
        return;
    }
    if (order->steps.front().type == order_type::load_model && !order->load_granted) {
        order->current_stage = stage::waiting_for_weights;
        request_weight_load(*order, ctx);
        return;
    }
    send_next_step(event.server, *order, ctx);
}

// Number of orders whose servers are drained and count as loading.
int service_rollout::loading_count() const {
    return static_cast<int>(std::count_if(m_orders.begin(), m_orders.end(), [](const auto& item) {
        const stage current = item.second.current_stage;
        return current == stage::waiting_for_weights || current == stage::sending || current == stage::verifying;
    }));
}

void service_rollout::request_weight_load(open_order& order, const context& ctx) {
    order.call = m_table.new_call_number();
    order.retry_at = ctx.now + table_client::call_timeout;
    ctx.out.emplace_back(request_weights{order.call, order.target.model, order.target.version});
}

void service_rollout::on_event(const weights_answered& event, const context& ctx) {
    const auto found = std::find_if(m_orders.begin(), m_orders.end(),
                                    [&](const auto& item) { return item.second.call == event.call; });
    if (found == m_orders.end() || found->second.current_stage != stage::waiting_for_weights) {
        return;
    }
    open_order& order = found->second;
    order.retry_at = ctx.now + retry_interval;
    if (event.state != weights_state::available) {
        ctx.out.emplace_back(count{"weight_waits"});
        return;
    }
    // The server's streams are listed once more right before the order is sent.
    order.load_granted = true;
    order.current_stage = stage::draining;
    order.retry_at = ctx.now;
}

void service_rollout::send_next_step(const server_name& server, open_order& order, const context& ctx) {
    if (!ctx.service_lease.may_act(ctx.now)) {
        order.current_stage = stage::draining;
        return;
    }
    order.current_stage = stage::sending;
    order.may_have_arrived = true;
    order.call = m_table.new_call_number();
    order.retry_at = ctx.now + table_client::call_timeout;
    ctx.out.emplace_back(
        send_order{order.call, server, m_servers.at(server).address, m_fence, order.steps[order.next_step]});
    ctx.out.emplace_back(count{"orders_sent"});
}

void service_rollout::on_event(const order_answered& event, const context& ctx) {
    const auto found = std::find_if(m_orders.begin(), m_orders.end(),
                                    [&](const auto& item) { return item.second.call == event.call; });
    if (found == m_orders.end() || found->second.current_stage != stage::sending || !m_servers.contains(found->first)) {
        return;
    }
    open_order& order = found->second;
    if (event.result == order_result::stale_fence) {
        ctx.out.emplace_back(
            log_change{found->first.value + " has seen a higher fencing number; stopped acting under the lease"});
        ctx.service_lease.step_down(ctx.now);
        drop_all_orders();
        return;
    }
    if (event.result != order_result::accepted) {
        // Orders name absolute targets, so sending one twice is harmless.
        order.current_stage = stage::draining;
        order.retry_at = ctx.now + retry_interval;
        return;
    }
    ++order.next_step;
    if (order.next_step < order.steps.size()) {
        send_next_step(found->first, order, ctx);
        return;
    }
    order.current_stage = stage::verifying;
    order.ordered_at = ctx.now;
    order.retry_at = ctx.now;
}

void service_rollout::verify(const server_name& server, open_order& order, const context& ctx) {
    const server_view& view = m_servers.at(server);
    if (!order.target.version.empty() && view.version != order.target.version) {
        return;
    }
    m_loaded[server] = {view.incarnation, order.target.adapters, order.target.role};
    order.current_stage = stage::clearing;
    order.retry_at = ctx.now;
}

void service_rollout::clear_row(const server_name& server, open_order& order, const context& ctx) {
    if (order.row_revision == 0 && !order.row_has_our_fence) {
        // The row was not written yet, so there is nothing to delete.
        m_orders.erase(server);
        return;
    }
    const std::string key = order_row_key(server.value);
    row_transaction transaction{{{key, order.row_revision}}, {}, {key}};
    const auto loaded = m_loaded.find(server);
    if (loaded != m_loaded.end() && (!loaded->second.adapters.empty() || !loaded->second.role.empty())) {
        transaction.puts.push_back({loaded_row_key(m_service.value, server.value),
                                    QJsonObject{{"incarnation", static_cast<qint64>(loaded->second.incarnation)},
                                                {"adapters", json_list(loaded->second.adapters)},
                                                {"role", to_qstring(loaded->second.role)}}});
    }
    order.retry_at = time_point::max();
    m_table.transact(std::move(transaction), ctx.now, ctx.out,
                     [this, server, epoch = m_epoch, service_lease = &ctx.service_lease](
                         const rows_transacted& answer, time_point at, commands& more) {
                         auto* found = find_order(server, epoch);
                         if (found == nullptr) {
                             return;
                         }
                         if (answer.status == transact_status::done) {
                             m_orders.erase(server);
                             more.emplace_back(log_change{"order to " + server.value + " ended"});
                         } else if (answer.status == transact_status::refused) {
                             found->retry_at = at + retry_interval;
                         } else {
                             read_row(server, {at, nullptr, *service_lease, more});
                         }
                     });
}

QJsonObject service_rollout::status(const service_spec* spec) const {
    static constexpr const char* stage_names[] = {"writing", "draining",  "waiting_for_weights",
                                                  "sending", "verifying", "clearing"};
    int observed = 0;
    int at_target = 0;
    for (const auto& [name, view] : m_servers) {
        observed += view.observed_at ? 1 : 0;
        at_target += view.observed_at && spec != nullptr && !needs_order(name, view, target_of(*spec)) ? 1 : 0;
    }
    QJsonArray orders;
    for (const auto& [name, order] : m_orders) {
        orders.append(QJsonObject{{"server", to_qstring(name.value)},
                                  {"stage", stage_names[static_cast<std::size_t>(order.current_stage)]},
                                  {"target", target_json(order.target)}});
    }
    return {{"service", to_qstring(m_service.value)},
            {"servers", static_cast<qint64>(m_servers.size())},
            {"observed", observed},
            {"at_target", at_target},
            {"orders", orders}};
}

}  // namespace verbenahold
