// State that the components of one serving daemon share. It is used on the
// event loop's thread only.
#pragma once

#include "account_shares.hpp"
#include "active_role.hpp"
#include "body_budget.hpp"
#include "capacity_waiters.hpp"
#include "connection_pool.hpp"
#include "crash_attribution.hpp"
#include "daemon_view.hpp"
#include "engine_load.hpp"
#include "http_client.hpp"
#include "kept_prefixes.hpp"
#include "log_line.hpp"
#include "placer.hpp"
#include "planned_stop.hpp"
#include "retry_budget_share.hpp"
#include "route_table.hpp"
#include "send_pacer.hpp"
#include "server_registry.hpp"
#include "server_statements.hpp"
#include "serving_settings.hpp"
#include "wire_protocol.hpp"

#include "metrics.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace verbenahold::serving {

// Progress of an attempt at its servers, as announced to other daemons. `read`
// means that the prefill is done. The last two tell a daemon that joins of work in
// progress, in prefill or after it.
enum class work_event { started, read, ended, open_in_prefill, open_after_prefill };

// Prefixes of one prompt that other daemons are told of, so that a work update stays small
// in its datagram.
inline constexpr std::size_t max_announced_prefixes = 8;

// Traits of a crash, a block or a sound request in one message between daemons.
inline constexpr std::size_t max_traits_per_message = 64;

struct work_update {
    work_id id;
    work_event event = work_event::started;
    std::vector<work_item> items;
    // Receivers drop the work after this time if no `ended` update arrives.
    duration lifetime{};
    // Hash of the client account's name, set in `started` updates; 0 for none.
    std::uint64_t account = 0;
    // Predicted server time of the request, set in `started` updates; 0 if an earlier update
    // of the request announced it.
    double server_ms = 0;
    // Prefixes of the prompt that the server of the first item has prefilled. That item
    // only names the server, except when the attempt starts.
    std::vector<prefix_part> prefixes;
};

// Callbacks for what other daemons should learn (on_work, on_server_failure, on_crash,
// on_sound_request, on_limit_changed, on_leaving, on_waiting_changed) and for the statuses they send. Each may
// be empty.
struct peer_notices {
    std::function<void(const daemon_status&)> on_daemon_status;
    std::function<void(const work_update&)> on_work;
    std::function<void(const server_name&)> on_server_failure;
    std::function<void(const crash_observation&)> on_crash;
    std::function<void(std::span<const request_trait>, time_point began)> on_sound_request;
    std::function<void(const limit_statement&)> on_limit_changed;
    std::function<void(const leaving_statement&)> on_leaving;
    std::function<void(int weight)> on_waiting_changed;
};

// When this daemon's configuration last changed; empty before any change. Log lines of
// connections that ended early state the time since then.
struct change_times {
    std::optional<time_point> settings_reloaded;
    std::optional<time_point> desired_state;
};

// One part of the host's memory is for bodies of requests, and one for bodies of answers.
// While a body is passed on there are two copies of it, and the allocator keeps some of what
// was released.
inline constexpr std::size_t parts_of_memory_for_requests = 4;
inline constexpr std::size_t parts_of_memory_for_answers = 4;

struct gateway_state {
    gateway_state(const serving_settings& chosen, const wire_protocol& protocol, boost::asio::io_context& io,
                  std::uint64_t boot_of_daemon)
        : settings(chosen),
          wire(protocol),
          loop(io),
          guard(counters),
          request_bodies(chosen.memory_bytes / parts_of_memory_for_requests, defer()),
          answer_bodies(chosen.memory_bytes / parts_of_memory_for_answers, defer()),
          timers(io, guard),
          waiters(timers),
          pool(io, timers),
          calls(io, timers),
          placing(lateness_policy{}, boot_of_daemon),
          pacer(chosen.cold),
          repeats(chosen.repeats),
          turns(boot_of_daemon),
          statements(boot_of_daemon),
          role({chosen.host.value, chosen.peer_address, chosen.zone, chosen.cores}, chosen.zones, daemons),
          random(boot_of_daemon),
          boot(boot_of_daemon) {}

    serving_settings settings;
    const wire_protocol& wire;
    boost::asio::io_context& loop;
    metrics counters;
    handler_guard guard;
    // The bodies that are held whole.
    body_budget request_bodies;
    body_budget answer_bodies;
    // Callbacks of timers and connections may hold bodies.
    loop_timers timers;
    // Requests that wait for capacity of servers.
    capacity_waiters waiters;
    // Connections to servers for the requests of callers.
    connection_pool pool;
    http_client calls;

    [[nodiscard]] body_budget::deferral defer() {
        return [this](std::function<void()> work) { timers.after(duration::zero(), std::move(work)); };
    }

    // Number of daemons by which this one divides limits that all share.
    [[nodiscard]] int sharing_daemons() { return role.sharing_daemons(daemons.recent_max_senders(timers.now())); }

    // The part of all requests to servers of which this daemon hears, 0 to 1.
    [[nodiscard]] double heard_share() {
        const double heard = role.is_active() ? daemons.senders() : 1;
        return std::min(1.0, heard / std::max(1, sharing_daemons()));
    }

    [[nodiscard]] int own_turn_weight() const { return turn_weight(waiters.queue().size(admission_lane::interactive)); }

    // Tells the other daemons if that has changed.
    void announce_waiting() {
        const int weight = own_turn_weight();
        if (std::exchange(announced_turn_weight, weight) != weight && notices.on_waiting_changed) {
            notices.on_waiting_changed(weight);
        }
    }

    // Counts a request that this or another daemon sent towards the share of its account.
    void count_account_use(std::uint64_t account, double server_ms) {
        if (!shares.on_sent(account, server_ms, timers.now())) {
            counters.add("account_uses_ignored");
        }
    }

    // The cost model of the server's engine if that caches prefixes, otherwise null. The
    // server must be in use.
    [[nodiscard]] const engine_cost_model* caching_engine_of(const server_name& server) const {
        const auto* listed = servers.find(server, timers.now());
        const auto* used = listed != nullptr && routes ? routes->find_service(listed->service) : nullptr;
        const bool caches = used != nullptr && used->engine && used->engine->prefix_cache_tokens > 0;
        return caches ? &*used->engine : nullptr;
    }

    // Servers end the requests of a daemon that has ended. What it had in progress would keep
    // capacity from others until it expires.
    void forget_work_of_ended_daemons() {
        for (const auto ended : daemons.remove_dead(timers.now())) {
            log_line("daemon ended").add("boot", ended).warn();
            load.remove_daemon(ended, timers.now());
            turns.remove_daemon(ended);
        }
    }

    // Takes in a load report of a server.
    void on_report(const server_report& report) {
        load.on_report(report, timers.now());
        if (const auto* engine = caching_engine_of(report.server)) {
            prefixes.on_report(report, engine->memory_tokens, timers.now());
        }
    }

    // Null until the first desired state is known.
    std::shared_ptr<const route_table> routes;
    server_registry servers;
    engine_load load;
    account_shares shares;
    kept_prefixes prefixes;
    placer placing;
    send_pacer pacer;
    retry_budget_share repeats;
    slot_turns turns;
    server_statements statements;
    crash_attribution crashes;
    daemon_view daemons;
    active_role role;
    peer_notices notices;
    std::mt19937_64 random;
    // Identifies this run of the daemon; a new value at each start.
    std::uint64_t boot = 0;
    std::uint64_t last_request = 0;
    // From its beginning on, the daemon is not ready and answers close their
    // connections.
    planned_stop stop;
    change_times changes;
    int open_requests = 0;
    int announced_turn_weight = 0;
    // Reservations of memory at servers, and those that no request has used yet.
    int reservations_held = 0;
    int reservations_unused = 0;
};

}  // namespace verbenahold::serving
