// Rolls out the record of one service to its engines, a few at a time. For each
// server it writes an order row, waits until the owning entry daemon has
// drained the server, sends the orders, verifies them by the load report and
// deletes the row.
#pragma once

#include "lease.hpp"
#include "table_client.hpp"

#include "verbenahold/control_commands.hpp"
#include "verbenahold/records.hpp"
#include "verbenahold/types.hpp"

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold {

// Desired state of an engine.
struct engine_target {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;

    bool operator==(const engine_target&) const = default;
};

engine_target target_of(const service_spec& spec);

class service_rollout {
public:
    using commands = std::vector<control_command>;

    // A server counts as drained only if a stream listing that was sent at
    // least this long after its order row was written is empty: entry daemons
    // read order rows every 2 s, in calls of up to 2 s.
    static constexpr duration max_row_read_delay = std::chrono::seconds(4);
    // An order that was not sent yet is ended after its server has been
    // unreachable for this long, so that another server can be ordered.
    static constexpr duration unreachable_timeout = std::chrono::seconds(30);
    // The same limit for an order that the server may have received. Loads take
    // a few minutes at most, so a load has ended by then even if the server is
    // alive.
    static constexpr duration ordered_unreachable_timeout = std::chrono::minutes(10);
    // An order that no load report confirms within this time is repeated.
    static constexpr duration verify_timeout = std::chrono::seconds(60);

    struct context {
        time_point now{};
        // Null if the record is gone; open orders are then ended.
        const service_spec* spec = nullptr;
        lease& service_lease;
        commands& out;
    };

    service_rollout(table_client& table, service_name service);

    // Sets the servers of this service that are live in the host list.
    void set_servers(const std::map<server_name, endpoint>& servers);
    void on_tick(const context& ctx);
    void on_event(const load_report& event, const context& ctx);
    void on_event(const load_failed& event, const context& ctx);
    void on_event(const stream_listing& event, const context& ctx);
    void on_event(const weights_answered& event, const context& ctx);
    void on_event(const order_answered& event, const context& ctx);

    [[nodiscard]] std::size_t open_orders() const { return m_orders.size(); }
    [[nodiscard]] std::optional<time_point> next_wakeup() const { return m_next_tick; }
    // {"service","servers","observed","at_target","orders":[...]}
    [[nodiscard]] QJsonObject status(const service_spec* spec) const;

private:
    enum class stage : std::uint8_t { writing, draining, waiting_for_weights, sending, verifying, clearing };

    // What load reports and failed polls have shown about one server.
    struct server_view {
        endpoint address;
        std::string version;
        std::uint64_t incarnation = 0;
        std::optional<time_point> polled_at;
        std::optional<time_point> observed_at;
        std::optional<time_point> failing_since;
    };

    // Adapters and role that were last ordered. The engine loses them when it
    // restarts, so they are valid for one incarnation only.
    struct loaded_state {
        std::uint64_t incarnation = 0;
        std::vector<std::string> adapters;
        std::string role;
    };

    struct open_order {
        engine_target target;
        std::vector<engine_order> steps;
        std::size_t next_step = 0;
        stage current_stage = stage::writing;
        std::uint64_t row_revision = 0;
        bool row_has_our_fence = false;
        time_point row_written_at{};
        // When the current stage is tried again.
        time_point retry_at{};
        time_point listing_sent_at{};
        time_point ordered_at{};
        // True once the weight store has granted the load.
        bool load_granted = false;
        // True if the server may have received an order, from this process or
        // from the previous holder of the lease.
        bool may_have_arrived = false;
        std::uint64_t call = 0;
    };
    using order_map = std::map<server_name, open_order>;

    [[nodiscard]] bool sync_with_lease(const context& ctx);
    void take_over_rows(const context& ctx);
    void take_over_page(const std::vector<stored_row>& rows, time_point now);
    void scan_page(const std::string& prefix, const std::string& after, time_point now, commands& out);
    void poll_servers(const context& ctx);
    void open_new_orders(const context& ctx);
    [[nodiscard]] bool needs_order(const server_name& server, const server_view& view,
                                   const engine_target& target) const;
    [[nodiscard]] std::vector<engine_order> steps_for(const server_name& server, const server_view& view,
                                                      const engine_target& target) const;
    [[nodiscard]] bool matches_loaded(const server_name& server, const server_view& view,
                                      const engine_target& target) const;

    void advance(const server_name& server, open_order& order, const context& ctx);
    void refresh_target(const server_name& server, open_order& order, const context& ctx);
    void write_row(const server_name& server, open_order& order, const context& ctx);
    void read_row(const server_name& server, const context& ctx);
    void on_row(const server_name& server, const rows_read& answer, lease& service_lease, time_point now);
    void request_listing(const server_name& server, open_order& order, const context& ctx);
    [[nodiscard]] int loading_count() const;
    void request_weight_load(open_order& order, const context& ctx);
    void send_next_step(const server_name& server, open_order& order, const context& ctx);
    void verify(const server_name& server, open_order& order, const context& ctx);
    void clear_row(const server_name& server, open_order& order, const context& ctx);
    [[nodiscard]] open_order* find_order(const server_name& server, std::uint64_t epoch);
    void drop_all_orders();

    table_client& m_table;
    service_name m_service;
    std::map<server_name, server_view> m_servers;
    std::map<server_name, loaded_state> m_loaded;
    order_map m_orders;
    // Fencing number under which the rows were read; they are read again when
    // it changes.
    std::uint64_t m_fence = 0;
    bool m_rows_read = false;
    bool m_scanning = false;
    // Incremented when all orders are dropped, so that late answers are ignored.
    std::uint64_t m_epoch = 0;
    server_name m_last_polled;
    time_point m_next_poll{};
    std::optional<time_point> m_next_tick;
};

}  // namespace verbenahold
