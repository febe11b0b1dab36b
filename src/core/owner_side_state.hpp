// Implementation of owner_side: its data and the functions that its handlers
// share. owner_side.cpp has the handlers of ownership changes, caller-side
// messages and timers; owner_side_events.cpp those of backend server events;
// owner_side_memory_parts.cpp those of memory parts; owner_side_dispatch.cpp has queueing, dispatch
// and the end of attempts.
#pragma once

#include "attempt_record.hpp"
#include "memory_sweep.hpp"
#include "owner_side.hpp"
#include "server_choice.hpp"
#include "server_state.hpp"
#include "work_queue.hpp"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenahold {

class owner_side::state {
public:
    // Queues of one service, by length class. Suspects (requests that may have
    // crashed a server) have their own queue, because each runs alone on a
    // server.
    enum lane : std::uint8_t { lane_short, lane_medium, lane_long, lane_suspect, lane_count };

    struct service_work {
        service_name name;
        std::array<work_queue, lane_count> queues;
        std::vector<server_state*> servers;
        placement_policy policy = placement_policy::headroom;
        server_choice choice;
        std::optional<time_point> last_short_at;
        // True when the last dispatch was aged work. Waiting short work is then
        // dispatched before further aged work.
        bool last_dispatch_was_aged = false;
        // Server that takes no medium work, so that its memory becomes free for
        // aged long work.
        const server_state* server_held_for_long = nullptr;
        // Moving average of an attempt's run time, from dispatch to end.
        double mean_run_seconds = 1;
        // Answers whose token gaps were added to the cost model.
        int gap_samples = 0;
    };

    // KV memory on an owned server, reserved for a very long prompt whose
    // stream runs on another server.
    struct held_part {
        reserve_part request;
        daemon_id from;
        time_point expires{};
        bool granted = false;
        bool confirmed = false;
        // The server of the lost part that this part replaces. Set only on
        // parts that this owner requested for an attempt that it runs.
        std::optional<server_name> replaces;
    };

    state(entry_settings given_settings, std::uint64_t given_seed);

    // ---- servers (owner_side_dispatch.cpp)
    service_work& find_or_add_service_work(const service_name& service, const context& ctx);
    server_state* find_server(const server_name& server);
    void rebuild_server_lists();
    void drop_idle_lost_servers();
    // Marks the server as dead and fails all attempts that ran there.
    void handle_server_death(server_state& server, context& ctx);
    [[nodiscard]] static bool is_any_reachable(const service_work& work);
    void bounce_if_unreachable(const service_work& work, context& ctx);
    // Fails attempts lost in a server crash, and adds a strike to each one's
    // request fingerprint, since any of them may have caused the crash.
    void fail_crashed_attempts(std::vector<attempt_record*> lost, context& ctx);
    // Fails a running attempt with attempt_failure::server_died. Also used for
    // streams that a live server lost.
    void fail_as_server_died(attempt_record& record, std::uint8_t strikes, context& ctx);

    // ---- queueing and dispatch (owner_side_dispatch.cpp)
    void enqueue(attempt_record& record, context& ctx);
    bool unqueue(const attempt_record& record, context& ctx);
    // Dispatches queued requests of a service until no more can be dispatched.
    void dispatch_queued(service_work& work, context& ctx);
    void dispatch_all_queued(context& ctx);
    bool dispatch_one_by_headroom(service_work& work, context& ctx);
    // Dispatches one request of a lane, and fails infeasible ones on the way.
    // With `aged`, considers only the oldest request, and only once it is aged.
    bool dispatch_one_from(service_work& work, lane from, bool aged, context& ctx);
    void hold_server_for_aged_long(service_work& work, context& ctx);
    bool dispatch_one_by_baseline(service_work& work, context& ctx);
    // True when it must be called again, because the next suspect was infeasible
    // and has been failed.
    bool dispatch_suspect(service_work& work, context& ctx);
    bool fail_if_infeasible(attempt_record& record, service_work& work, context& ctx);
    void dispatch(attempt_record& record, server_state& server, service_work& work, context& ctx);
    bool dispatch_group(attempt_record& record, service_work& work, context& ctx);
    void return_to_queue(attempt_record& record, context& ctx);
    void request_cold_claims(service_work& work, context& ctx);
    void end_claim(server_state& server, context& ctx);
    void remove_marker(const server_state& server, context& ctx);
    void on_claim_answer(const memory_reserved& event, context& ctx);
    std::optional<bounce_reason> find_bounce_reason(const submit& message, context& ctx);
    // Bounces one queued request if the service's queues are too long.
    void shed_if_full(service_work& work, context& ctx);
    void bounce_queued(bounce_reason reason, context& ctx);
    void bounce_record(attempt_record& record, bounce_reason reason, context& ctx);
    [[nodiscard]] lane lane_of(const attempt_record& record, time_point now) const;
    [[nodiscard]] bool short_work_present(const service_work& work, time_point now) const;
    [[nodiscard]] bool is_feasible(const submit& request, duration time_left) const;
    [[nodiscard]] duration predict_run(const submit& request) const;
    [[nodiscard]] duration predict_wait(const service_work& work, lane in, time_point now) const;
    [[nodiscard]] bool is_zone_usable(const server_state& server, const context& ctx) const;

    // ---- ends (owner_side_dispatch.cpp)
    // Frees the attempt's slot, KV memory and claim on its server.
    void free_server_resources(attempt_record& record, context& ctx);
    void finish(attempt_record& record, peer_message message, context& ctx);
    void fail(attempt_record& record, attempt_failure reason, ran_state ran, std::string message, context& ctx);
    void cancel_on_server(const attempt_record& record, context& ctx);
    void cancel(attempt_record& record, attempt_failure reason, std::string message, context& ctx);

    // ---- backend events (owner_side_events.cpp)
    void reopen(attempt_record& record, context& ctx);
    void on_connection_lost(attempt_record& record, context& ctx);
    void requeue_refused(attempt_record& record, backend_failure failure, context& ctx);
    // Records that the server is alive and has the stream. At the first call for
    // a stream, ends the cold claim: the stream itself now shows in listings.
    void on_stream_activity(attempt_record& record, context& ctx);
    void reconcile_streams(server_state& server, const stream_listing& event, bool restarted, context& ctx);
    void sweep(const server_state& server, const stream_listing& event, context& ctx);
    void send_listing_request(server_state& server, context& ctx);
    attempt_record* find_running(const server_name& server, std::string_view stream);
    attempt_record* find_call(const server_name& server, const attempt_id& attempt);
    void add_tokens(attempt_record& record, const stream_tokens& event, context& ctx);
    void record_token_timing(attempt_record& record, std::size_t new_tokens, context& ctx);

    // ---- parts (owner_side_memory_parts.cpp)
    void release_held_part(const std::string& reservation, context& ctx);
    void handle_part_server_death(const server_name& server, context& ctx);
    void replace_lost_part(attempt_record& record, const memory_part& lost, context& ctx);
    void on_replacement_answer(const memory_reserved& event, context& ctx);
    void release_replacements(const attempt_record& record, context& ctx);
    void expire_parts(context& ctx);
    void forget_parts_of(const server_name& server);
    bool adopt_part(const daemon_id& from, const confirm_part& message, context& ctx);
    void fail_stalled_group(attempt_record& record, context& ctx);

    // ---- time (owner_side.cpp)
    void poll_servers(context& ctx);
    void check_running_attempts(context& ctx);
    void end_overdue(context& ctx);
    void cancel_for_dead_callers(context& ctx);

    owner_summary summarize(const context& ctx);

    daemon_id self;
    std::string own_stream_suffix;
    std::uint64_t seed;
    std::mt19937_64 random;
    bool draining = false;
    std::uint64_t summary_sequence = 0;
    std::size_t queued_count = 0;
    time_point next_attempt_check{};

    std::unordered_map<server_name, std::unique_ptr<server_state>> servers;
    // Ordered, because decisions must not depend on the order of a hash map.
    std::map<std::string, service_work> services;
    attempt_table attempts;
    std::map<std::string, held_part> parts;
    // Number of replacement parts requested; makes their names unique.
    std::uint64_t replacement_count = 0;
    std::unordered_map<server_name, memory_sweep> sweeps;
    // Plain calls that lost their connection: time and request fingerprint, by
    // server. They get a strike when a load report shows that the server
    // restarted.
    std::unordered_map<server_name, std::vector<std::pair<time_point, std::uint64_t>>> lost_plain_calls;
    crash_evidence evidence;
    cost_model costs;
};

}  // namespace verbenahold
