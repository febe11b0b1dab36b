#include "owner_side_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace verbenahold {

namespace {

// Short work counts as present for this long after its last arrival or
// dispatch, so that long work does not take the whole server in a gap between
// two short requests.
constexpr duration short_presence_time = std::chrono::seconds(2);
// Waiting times after which medium and long work is aged, which means that it
// is dispatched before younger short work.
constexpr duration medium_aging_time = std::chrono::seconds(1);
constexpr duration long_aging_time = std::chrono::seconds(5);
// Work also becomes aged after this fraction (1/n) of the time from its
// queueing to its deadline.
constexpr int aging_deadline_divisor = 4;
// A request is infeasible when even this fraction of its predicted run time
// exceeds the time left. Predictions are averages, and a request that could
// still finish must not be failed.
constexpr double feasible_run_fraction = 0.5;
// Weight of the newest run time in the moving average.
constexpr double run_time_average_weight = 0.1;

double to_seconds(duration length) {
    return std::chrono::duration<double>(length).count();
}

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

duration aging_limit(const queued_work& work, bool is_long) {
    const duration limit = is_long ? long_aging_time : medium_aging_time;
    return std::min(limit, (work.deadline - work.queued_at) / aging_deadline_divisor);
}

int priority_of(length_class length, placement_policy policy) {
    if (policy != placement_policy::headroom || length == length_class::short_prompt)
        return priority_short;
    return length == length_class::medium_prompt ? priority_medium : priority_long;
}

}  // namespace

owner_side::state::state(entry_settings given_settings, std::uint64_t given_seed)
    : self(std::move(given_settings.self)),
      own_stream_suffix('.' + to_string(self)),
      seed(given_seed),
      random(given_seed) {}

// ---- servers

owner_side::state::service_work& owner_side::state::find_or_add_service_work(const service_name& service,
                                                                             const context& ctx) {
    const placement_policy policy = ctx.config.routing_for(service).policy;
    auto found = services.find(service.value);
    const bool added = found == services.end();
    if (added)
        found = services.emplace(service.value, service_work{}).first;
    service_work& work = found->second;
    if (added)
        work.name = service;
    if (added || work.policy != policy) {
        work.policy = policy;
        work.choice = make_server_choice(policy, combine_hash(seed, std::hash<service_name>{}(service)));
    }
    return work;
}

server_state* owner_side::state::find_server(const server_name& server) {
    const auto found = servers.find(server);
    return found == servers.end() ? nullptr : found->second.get();
}

void owner_side::state::rebuild_server_lists() {
    for (auto& [name, work] : services)
        work.servers.clear();
    for (auto& [name, server] : servers)
        if (server->owned())
            services.at(server->server().service.value).servers.push_back(server.get());
    // Sorted, because the hash map's order differs between runs and decisions
    // must not.
    for (auto& [name, work] : services)
        std::ranges::sort(work.servers, {}, [](const server_state* server) { return server->server().name.value; });
}

void owner_side::state::drop_idle_lost_servers() {
    std::erase_if(sweeps, [this](const auto& item) {
        const server_state* server = find_server(item.first);
        return server == nullptr || (!server->owned() && !server->has_work());
    });
    std::erase_if(servers, [](const auto& item) { return !item.second->owned() && !item.second->has_work(); });
}

void owner_side::state::handle_server_death(server_state& server, context& ctx) {
    if (!server.is_dead()) {
        ctx.out.push_back(log_change{"server dead: " + server.server().name.value});
        ctx.out.push_back(count{"owner_server_deaths", 1});
    }
    server.on_death(ctx.now);
    fail_crashed_attempts({server.running().begin(), server.running().end()}, ctx);
    handle_part_server_death(server.server().name, ctx);
    bounce_if_unreachable(find_or_add_service_work(server.server().service, ctx), ctx);
}

bool owner_side::state::is_any_reachable(const service_work& work) {
    return std::ranges::any_of(work.servers, [](const server_state* server) { return server->is_reachable(); });
}

// Bounces queued work if no server answers, because another owner may have one
// that does.
void owner_side::state::bounce_if_unreachable(const service_work& work, context& ctx) {
    if (is_any_reachable(work))
        return;
    for (const attempt_id& attempt : attempts.list_live()) {
        attempt_record* record = attempts.find(attempt);
        if (record->phase == attempt_phase::queued && record->request.service == work.name)
            bounce_record(*record, bounce_reason::no_headroom, ctx);
    }
}

void owner_side::state::fail_crashed_attempts(std::vector<attempt_record*> lost, context& ctx) {
    // Sorted, because the set of running attempts has no fixed order and the
    // order of answers must not vary between runs.
    std::ranges::sort(lost, {}, [](const attempt_record* record) { return to_string(record->request.attempt); });
    std::vector<std::uint64_t> fingerprints;
    fingerprints.reserve(lost.size());
    for (const attempt_record* record : lost)
        fingerprints.push_back(record->request.fingerprint);
    const bool ran_alone = lost.size() == 1 && lost.front()->runs_alone;
    evidence.on_server_death(fingerprints, ran_alone, ctx.now);
    for (const attempt_record* record : lost)
        if (!record->has_tokens)
            evidence.on_prompt_lost(record->server, record->request.prefix_hashes, ctx.now);
    ctx.out.push_back(count{"owner_attempts_lost", static_cast<std::int64_t>(lost.size())});
    for (attempt_record* record : lost) {
        // The server may be alive but unreachable, and must stop the work.
        cancel_on_server(*record, ctx);
        fail_as_server_died(*record, evidence.strikes(record->request.fingerprint, ctx.now), ctx);
    }
}

void owner_side::state::fail_as_server_died(attempt_record& record, std::uint8_t held_strikes, context& ctx) {
    const ran_state ran = record.has_tokens ? ran_state::yes : ran_state::unknown;
    finish(record,
           attempt_failed{record.request.attempt, attempt_failure::server_died, ran, held_strikes, "server died",
                          summarize(ctx)},
           ctx);
}

// ---- queueing

owner_side::state::lane owner_side::state::lane_of(const attempt_record& record, time_point now) const {
    if (record.request.run_alone || evidence.strikes(record.request.fingerprint, now) > 0)
        return lane_suspect;
    if (record.request.kind == call_kind::plain || record.request.length == length_class::short_prompt)
        return lane_short;
    return record.request.length == length_class::medium_prompt ? lane_medium : lane_long;
}

void owner_side::state::enqueue(attempt_record& record, context& ctx) {
    service_work& work = find_or_add_service_work(record.request.service, ctx);
    lane into = lane_of(record, ctx.now);
    const bool plain_policy = work.policy != placement_policy::headroom;
    if (plain_policy && into != lane_suspect)
        into = lane_short;
    const std::int64_t cost = record.request.prompt_tokens + record.request.predicted_output_tokens;
    work.queues[into].push({record.request.attempt, record.request.account, record.request.account_weight,
                            std::max<std::int64_t>(1, cost), record.deadline, ctx.now},
                           plain_policy ? queue_order::arrival : queue_order::fair);
    if (record.request.length == length_class::short_prompt)
        work.last_short_at = ctx.now;
    record.phase = attempt_phase::queued;
    ++queued_count;
}

bool owner_side::state::unqueue(const attempt_record& record, context& ctx) {
    service_work& work = find_or_add_service_work(record.request.service, ctx);
    for (work_queue& queue : work.queues)
        if (queue.remove(record.request.attempt)) {
            --queued_count;
            return true;
        }
    return false;
}

void owner_side::state::bounce_record(attempt_record& record, bounce_reason reason, context& ctx) {
    const attempt_id attempt = record.request.attempt;
    const daemon_id caller = record.caller;
    unqueue(record, ctx);
    attempts.add_tombstone(attempt, ctx.now);
    ctx.members.send(caller, submit_bounced{attempt, reason, summarize(ctx)}, ctx.out);
}

void owner_side::state::bounce_queued(bounce_reason reason, context& ctx) {
    for (const attempt_id& attempt : attempts.list_live()) {
        attempt_record* record = attempts.find(attempt);
        if (record->phase == attempt_phase::queued)
            bounce_record(*record, reason, ctx);
    }
}

bool owner_side::state::short_work_present(const service_work& work, time_point now) const {
    if (!work.queues[lane_short].empty() || (work.last_short_at && now - *work.last_short_at < short_presence_time))
        return true;
    return std::ranges::any_of(work.servers, [](const server_state* server) { return server->short_running() > 0; });
}

bool owner_side::state::is_feasible(const submit& request, duration time_left) const {
    return from_seconds(feasible_run_fraction * to_seconds(predict_run(request))) < time_left;
}

duration owner_side::state::predict_run(const submit& request) const {
    if (request.kind == call_kind::plain)
        return duration::zero();
    const auto left = std::max<std::int64_t>(
        0, request.predicted_output_tokens - static_cast<std::int64_t>(request.generated.size()));
    return costs.predict_prefill(request.service, request.uncached_tokens) +
           costs.predict_token_gap(request.service) * left;
}

duration owner_side::state::predict_wait(const service_work& work, lane in, time_point now) const {
    int slot_count = 0;
    int free = 0;
    for (const server_state* server : work.servers) {
        if (!server->is_usable(now))
            continue;
        slot_count += server->window();
        free += server->free_slots(now);
    }
    std::size_t ahead = 0;
    for (std::size_t lane_number = 0; lane_number <= in; ++lane_number)
        ahead += work.queues[lane_number].size();
    if (static_cast<std::size_t>(free) > ahead)
        return duration::zero();
    const auto excess = static_cast<double>(ahead + 1 - static_cast<std::size_t>(free));
    return from_seconds(work.mean_run_seconds * excess / std::max(1, slot_count));
}

bool owner_side::state::is_zone_usable(const server_state& server, const context& ctx) const {
    return !ctx.config.is_zone_out(server.server().zone);
}

// ---- dispatch

void owner_side::state::dispatch_all_queued(context& ctx) {
    for (auto& [name, work] : services)
        dispatch_queued(work, ctx);
}

void owner_side::state::dispatch_queued(service_work& work, context& ctx) {
    if (draining || !ctx.config_confirmed)
        return;
    const service_spec* spec = ctx.config.find_service(work.name);
    if (spec == nullptr)
        return;
    for (server_state* server : work.servers)
        server->configure(*spec);
    while (dispatch_suspect(work, ctx)) {
    }
    const bool fair = work.policy == placement_policy::headroom;
    while (fair ? dispatch_one_by_headroom(work, ctx) : dispatch_one_by_baseline(work, ctx)) {
    }
    request_cold_claims(work, ctx);
}

// Requests claims on the idle servers that need one (see cold_claim), if work is
// queued.
void owner_side::state::request_cold_claims(service_work& work, context& ctx) {
    if (std::ranges::all_of(work.queues, &work_queue::empty))
        return;
    for (server_state* server : work.servers)
        if (server->is_usable(ctx.now) && server->running().empty() && server->must_claim_first() &&
            server->claim().request_if_due(ctx.now))
            ctx.out.push_back(reserve_memory{server->server().name, server->server().address,
                                             cold_claim::marker_name(self), 1, claim_expiry});
}

void owner_side::state::end_claim(server_state& server, context& ctx) {
    if (server.claim().end(ctx.now))
        remove_marker(server, ctx);
}

void owner_side::state::remove_marker(const server_state& server, context& ctx) {
    ctx.out.push_back(release_memory{server.server().name, server.server().address, cold_claim::marker_name(self)});
}

// Dispatches one request by the headroom policy's order; false when none can
// be dispatched.
bool owner_side::state::dispatch_one_by_headroom(service_work& work, context& ctx) {
    const bool short_waits = !work.queues[lane_short].empty();
    // While short work waits, at most every other dispatch is of aged work.
    if (!short_waits || !work.last_dispatch_was_aged) {
        if (dispatch_one_from(work, lane_long, true, ctx) || dispatch_one_from(work, lane_medium, true, ctx)) {
            work.last_dispatch_was_aged = true;
            return true;
        }
    }
    hold_server_for_aged_long(work, ctx);
    for (const lane from : {lane_short, lane_medium, lane_long})
        if (dispatch_one_from(work, from, false, ctx)) {
            work.last_dispatch_was_aged = false;
            return true;
        }
    return false;
}

// Prevents starvation of long work, since medium work could refill the memory
// of every server forever. While aged long work is queued, the server with the
// most free memory takes no medium work.
void owner_side::state::hold_server_for_aged_long(service_work& work, context& ctx) {
    work.server_held_for_long = nullptr;
    const queued_work* oldest = work.queues[lane_long].oldest();
    if (oldest == nullptr || ctx.now - oldest->queued_at < aging_limit(*oldest, true))
        return;
    for (const server_state* server : work.servers) {
        const bool usable = server->is_usable(ctx.now) && !server->isolated && is_zone_usable(*server, ctx);
        if (usable &&
            (work.server_held_for_long == nullptr || server->free_kv() > work.server_held_for_long->free_kv()))
            work.server_held_for_long = server;
    }
}

bool owner_side::state::dispatch_one_from(service_work& work, lane from, bool aged, context& ctx) {
    work_queue& queue = work.queues[from];
    while (!queue.empty()) {
        const queued_work& next = aged ? *queue.oldest() : *queue.next();
        if (aged && ctx.now - next.queued_at < aging_limit(next, from == lane_long))
            return false;
        attempt_record& record = *attempts.find(next.attempt);
        if (fail_if_infeasible(record, work, ctx))
            continue;
        std::vector<server_state*> in_zone;
        std::ranges::copy_if(work.servers, std::back_inserter(in_zone),
                             [&](const server_state* server) { return is_zone_usable(*server, ctx); });
        const server_query query{record.request, short_work_present(work, ctx.now),
                                 aged,           ctx.config.routing_for(work.name).long_share,
                                 ctx.now,        work.server_held_for_long};
        server_state* server = std::visit([&](auto& choose) { return choose(in_zone, query); }, work.choice);
        if (server == nullptr)
            return false;
        if (aged)
            queue.remove(record.request.attempt);
        else
            queue.take();
        --queued_count;
        dispatch(record, *server, work, ctx);
        return true;
    }
    return false;
}

bool owner_side::state::dispatch_one_by_baseline(service_work& work, context& ctx) {
    // Lanes other than the first hold only work queued under another policy.
    return dispatch_one_from(work, lane_short, false, ctx) || dispatch_one_from(work, lane_medium, false, ctx) ||
           dispatch_one_from(work, lane_long, false, ctx);
}

// Runs a suspect on a server without other work, so that a crash shows which
// request caused it. At most one server at a time is isolated for suspects;
// the others keep serving normal work.
bool owner_side::state::dispatch_suspect(service_work& work, context& ctx) {
    work_queue& queue = work.queues[lane_suspect];
    const auto isolated_here = std::ranges::find_if(work.servers, &server_state::isolated);
    if (queue.empty()) {
        if (isolated_here != work.servers.end() && (*isolated_here)->running().empty())
            (*isolated_here)->isolated = false;
        return false;
    }
    attempt_record& record = *attempts.find(queue.next()->attempt);
    if (fail_if_infeasible(record, work, ctx))
        return true;
    const bool isolated_elsewhere = std::ranges::any_of(
        servers, [&](const auto& item) { return item.second->isolated && item.second->server().service != work.name; });
    if (isolated_elsewhere)
        return false;
    const auto usable = [&](const server_state* server) {
        return server->is_usable(ctx.now) && is_zone_usable(*server, ctx);
    };
    server_state* chosen = isolated_here == work.servers.end() ? nullptr : *isolated_here;
    if (chosen != nullptr && !chosen->running().empty() && (*chosen->running().begin())->runs_alone)
        return false;
    if (chosen == nullptr || !usable(chosen) || chosen->in_flight() > 0) {
        server_state* least_loaded = nullptr;
        for (server_state* server : work.servers)
            if (usable(server) && (least_loaded == nullptr || server->in_flight() < least_loaded->in_flight()))
                least_loaded = server;
        const bool keep =
            chosen != nullptr && usable(chosen) && (least_loaded == nullptr || least_loaded->in_flight() > 0);
        if (!keep) {
            if (chosen != nullptr)
                chosen->isolated = false;
            chosen = least_loaded;
        }
    }
    if (chosen == nullptr)
        return false;
    chosen->isolated = true;
    const bool fits = record.request.kind == call_kind::plain || chosen->free_kv() >= kv_tokens_needed(record.request);
    if (chosen->in_flight() > 0 || chosen->must_claim_first() || !fits)
        return false;
    queue.take();
    --queued_count;
    record.runs_alone = true;
    dispatch(record, *chosen, work, ctx);
    return false;
}

bool owner_side::state::fail_if_infeasible(attempt_record& record, service_work& work, context& ctx) {
    if (is_feasible(record.request, record.deadline - ctx.now))
        return false;
    for (work_queue& queue : work.queues)
        if (queue.remove(record.request.attempt))
            --queued_count;
    fail(record, attempt_failure::deadline_passed, ran_state::no, "the request can no longer finish in time", ctx);
    return true;
}

void owner_side::state::dispatch(attempt_record& record, server_state& server, service_work& work, context& ctx) {
    const submit& request = record.request;
    record.phase = attempt_phase::running;
    record.server = server.server().name;
    record.consecutive_silences = 0;
    record.known_to_server = false;
    record.stream_lost_at.reset();
    server.start(record, ctx.now);
    if (request.length == length_class::short_prompt)
        work.last_short_at = ctx.now;
    ctx.out.push_back(observe{"owner_queue_seconds", to_seconds(ctx.now - record.submitted)});
    if (request.kind == call_kind::plain) {
        ctx.out.push_back(call_service{record.server, server.server().address, request.attempt, request.method,
                                       request.path, request.content_type, request.body, request.idempotency_key,
                                       request.idempotent, record.deadline - ctx.now, request.traceparent});
        return;
    }
    attempts.set_stream(record, to_string(request.attempt) + own_stream_suffix);
    ctx.out.push_back(open_stream{record.server, server.server().address, record.stream, request.body,
                                  request.prompt_tokens, request.generated, request.max_tokens,
                                  priority_of(request.length, work.policy), request.parts, request.traceparent});
}

// Dispatches a request whose memory parts on other servers are already reserved.
// It does not queue behind other work.
bool owner_side::state::dispatch_group(attempt_record& record, service_work& work, context& ctx) {
    if (record.request.parts.empty())
        return false;
    server_state* lead = record.request.preferred_server ? find_server(*record.request.preferred_server) : nullptr;
    const server_query query{record.request, false, false, 1, ctx.now};
    if (lead == nullptr || !is_zone_usable(*lead, ctx) || !has_capacity(*lead, query))
        return false;
    dispatch(record, *lead, work, ctx);
    return true;
}

// Queues an attempt again after its server refused it without running it.
void owner_side::state::return_to_queue(attempt_record& record, context& ctx) {
    free_server_resources(record, ctx);
    attempts.clear_stream(record);
    record.runs_alone = false;
    const server_state* usable_server = nullptr;
    for (const server_state* server : find_or_add_service_work(record.request.service, ctx).servers)
        if (is_zone_usable(*server, ctx) && !server->server().leaving)
            usable_server = server;
    record.phase = attempt_phase::queued;
    if (draining || usable_server == nullptr) {
        bounce_record(record, draining ? bounce_reason::draining : bounce_reason::not_owner, ctx);
        return;
    }
    enqueue(record, ctx);
}

// ---- ends

void owner_side::state::free_server_resources(attempt_record& record, context& ctx) {
    server_state* server = find_server(record.server);
    record.server = server_name();
    if (server == nullptr)
        return;
    server->end(record, ctx.now);
    end_claim(*server, ctx);
    if (record.runs_alone)
        server->isolated = false;
}

void owner_side::state::finish(attempt_record& record, peer_message message, context& ctx) {
    if (record.phase == attempt_phase::running) {
        service_work& work = find_or_add_service_work(record.request.service, ctx);
        const double seconds = to_seconds(ctx.now - record.started);
        work.mean_run_seconds += run_time_average_weight * (seconds - work.mean_run_seconds);
        release_replacements(record, ctx);
    }
    free_server_resources(record, ctx);
    ctx.members.send(record.caller, message, ctx.out);
    const bool ok =
        std::holds_alternative<attempt_finished>(message) || std::holds_alternative<attempt_replied>(message);
    ctx.out.push_back(
        span_ended{record.request.traceparent, record.parent_traceparent, "owner", ctx.now - record.submitted, ok});
    attempts.end(record, std::move(message), ctx.now);
}

void owner_side::state::fail(attempt_record& record, attempt_failure reason, ran_state ran, std::string message,
                             context& ctx) {
    const std::uint8_t held = evidence.strikes(record.request.fingerprint, ctx.now);
    finish(record, attempt_failed{record.request.attempt, reason, ran, held, std::move(message), summarize(ctx)}, ctx);
}

void owner_side::state::cancel_on_server(const attempt_record& record, context& ctx) {
    const server_state* server = find_server(record.server);
    if (server == nullptr || record.stream.empty())
        return;
    ctx.out.push_back(cancel_stream{record.server, server->server().address, record.stream});
}

void owner_side::state::cancel(attempt_record& record, attempt_failure reason, std::string message, context& ctx) {
    if (record.phase == attempt_phase::ended)
        return;
    if (record.phase == attempt_phase::queued) {
        unqueue(record, ctx);
        fail(record, reason, ran_state::no, std::move(message), ctx);
        return;
    }
    cancel_on_server(record, ctx);
    const ran_state ran = record.has_tokens ? ran_state::yes : ran_state::unknown;
    fail(record, reason, ran, std::move(message), ctx);
}

// ---- headroom

owner_summary owner_side::state::summarize(const context& ctx) {
    owner_summary summary;
    summary.sequence = ++summary_sequence;
    for (auto& [name, work] : services) {
        const std::size_t first = summary.entries.size();
        const duration short_wait = predict_wait(work, lane_short, ctx.now);
        const duration long_wait = predict_wait(work, lane_long, ctx.now);
        const double long_share = short_work_present(work, ctx.now) ? ctx.config.routing_for(work.name).long_share : 1;
        for (const server_state* server : work.servers) {
            if (server->server().leaving || !is_zone_usable(*server, ctx))
                continue;
            const zone_name& zone = server->server().zone;
            auto entry = std::find_if(summary.entries.begin() + static_cast<std::ptrdiff_t>(first),
                                      summary.entries.end(), [&](const headroom& seen) { return seen.zone == zone; });
            if (entry == summary.entries.end()) {
                entry = summary.entries.insert(summary.entries.end(), headroom{});
                entry->service = work.name;
                entry->zone = zone;
                entry->short_wait = short_wait;
                entry->long_wait = long_wait;
            }
            ++entry->servers;
            entry->in_flight = static_cast<std::uint16_t>(entry->in_flight + server->in_flight());
            const int slot_count = draining ? 0 : server->free_slots(ctx.now);
            if (slot_count == 0)
                continue;
            entry->free_slots = static_cast<std::uint16_t>(entry->free_slots + slot_count);
            const std::int64_t free_kv = std::max<std::int64_t>(0, server->free_kv());
            const std::int64_t backlog = server->prefill_backlog() - server->long_prefill();
            entry->free_short_tokens += std::clamp<std::int64_t>(prefill_budget_tokens - backlog, 0, free_kv);
            const auto share = static_cast<std::int64_t>(long_share * static_cast<double>(server->kv_capacity()));
            entry->free_long_tokens += std::clamp<std::int64_t>(share - server->long_kv(), 0, free_kv);
            entry->largest_free_kv_tokens = std::max(entry->largest_free_kv_tokens, free_kv);
        }
    }
    return summary;
}

}  // namespace verbenahold
