#include "owner_side.hpp"

#include "owner_side_state.hpp"
#include "trace_context.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

// Interval of checks for silent streams, dead caller sides and expired state.
constexpr duration attempt_check_interval = std::chrono::milliseconds(100);
// A stream without any event for this long has lost its connection: engines
// send a heartbeat every 500 ms.
constexpr duration stream_silence_timeout = std::chrono::seconds(2);
// Maximum time to wait for the listing that tells why a stream was lost.
constexpr duration lost_stream_timeout = std::chrono::seconds(3);
// A group without tokens for this long has lost a part: the engine then sends
// heartbeats but no tokens. Rebuilding a replaced part takes less than this.
constexpr duration group_stall_timeout = std::chrono::seconds(30);
// Maximum queued requests per slot. More would wait for several run times,
// while other owners may have free slots.
constexpr std::size_t max_queued_per_slot = 4;
constexpr std::size_t min_queue_limit = 16;

}  // namespace

owner_side::owner_side(const entry_settings& settings, std::uint64_t seed)
    : m_state(std::make_unique<state>(settings, seed)) {}
owner_side::~owner_side() = default;
owner_side::owner_side(owner_side&&) noexcept = default;
owner_side& owner_side::operator=(owner_side&&) noexcept = default;

// ---- ownership

void owner_side::gain(const backend_server& server, bool released, context& ctx) {
    if (server_state* known = m_state->find_server(server.name)) {
        known->refresh(server);
        if (!known->owned())
            known->set_owned(released, ctx.now);
        else if (released)
            known->end_handover(ctx.now);
    } else {
        m_state->servers[server.name] = std::make_unique<server_state>(server, released, ctx.now);
    }
    m_state->find_or_add_service_work(server.service, ctx);
    m_state->rebuild_server_lists();
    if (const service_spec* spec = ctx.config.find_service(server.service))
        m_state->find_server(server.name)->configure(*spec);
    m_state->poll_servers(ctx);
}

void owner_side::lose(const server_name& server, context& ctx) {
    server_state* known = m_state->find_server(server);
    if (known == nullptr)
        return;
    const service_name service = known->server().service;
    known->set_lost();
    known->isolated = false;
    m_state->forget_parts_of(server);
    m_state->rebuild_server_lists();
    m_state->drop_idle_lost_servers();
    if (!m_state->find_or_add_service_work(service, ctx).servers.empty())
        return;
    for (const attempt_id& attempt : m_state->attempts.list_live()) {
        attempt_record* record = m_state->attempts.find(attempt);
        if (record->phase == attempt_phase::queued && record->request.service == service)
            m_state->bounce_record(*record, bounce_reason::not_owner, ctx);
    }
}

void owner_side::refresh(const backend_server& server, context& ctx) {
    server_state* known = m_state->find_server(server.name);
    if (known == nullptr || known->server() == server)
        return;
    known->refresh(server);
    m_state->rebuild_server_lists();
    m_state->dispatch_queued(m_state->find_or_add_service_work(server.service, ctx), ctx);
}

void owner_side::on_release(const daemon_id& /*from*/, std::span<const server_name> servers, context& ctx) {
    for (const server_name& name : servers)
        if (server_state* known = m_state->find_server(name))
            known->end_handover(ctx.now);
    m_state->dispatch_all_queued(ctx);
}

// ---- caller sides

std::optional<bounce_reason> owner_side::state::find_bounce_reason(const submit& message, context& ctx) {
    if (attempts.is_tombstoned(message.attempt))
        return bounce_reason::tombstoned;
    if (draining)
        return bounce_reason::draining;
    if (!ctx.config_confirmed)
        return bounce_reason::configuration_unconfirmed;
    if (evidence.strikes(message.fingerprint, ctx.now) >= strikes_to_refuse ||
        evidence.is_blocked(message.prefix_hashes, ctx.now))
        return bounce_reason::suspected_of_crashing;
    const service_work& work = find_or_add_service_work(message.service, ctx);
    if (work.servers.empty() || ctx.config.find_service(message.service) == nullptr)
        return bounce_reason::not_owner;
    const auto usable = [&](const server_state* server) {
        return is_zone_usable(*server, ctx) && !server->server().leaving;
    };
    if (std::ranges::none_of(work.servers, [&](const server_state* server) { return is_zone_usable(*server, ctx); }))
        return bounce_reason::zone_out;
    if (std::ranges::none_of(work.servers, usable))
        return bounce_reason::not_owner;
    if (!is_any_reachable(work))
        return bounce_reason::no_headroom;
    if (!is_feasible(message, message.time_left))
        return bounce_reason::deadline_too_short;
    const bool fits = message.kind == call_kind::plain || std::ranges::any_of(work.servers, [&](const auto* server) {
                          return usable(server) && kv_tokens_needed(message) <= server->kv_capacity();
                      });
    return fits ? std::nullopt : std::optional(bounce_reason::no_headroom);
}

// If the queue is too long, bounces one queued request, possibly the new one:
// the latest deadline of the account with the most queued tokens for its
// weight, long prompts first.
void owner_side::state::shed_if_full(service_work& work, context& ctx) {
    std::size_t slot_count = 0;
    std::size_t waiting = 0;
    for (const server_state* server : work.servers)
        slot_count += static_cast<std::size_t>(server->window());
    for (const work_queue& queue : work.queues)
        waiting += queue.size();
    if (waiting <= std::max(min_queue_limit, max_queued_per_slot * slot_count))
        return;
    // Long work is shed before short work.
    for (const lane from : {lane_long, lane_medium, lane_short, lane_suspect}) {
        const queued_work* victim = work.queues[from].shed_candidate();
        if (victim == nullptr)
            continue;
        bounce_record(*attempts.find(victim->attempt), bounce_reason::no_headroom, ctx);
        return;
    }
}

void owner_side::on_submit(const daemon_id& from, const submit& message, context& ctx) {
    state& owner = *m_state;
    if (attempt_record* known = owner.attempts.find(message.attempt)) {
        if (known->phase == attempt_phase::ended)
            ctx.members.send(from, *known->end, ctx.out);
        else
            ctx.members.send(from, submit_accepted{message.attempt, known->server, owner.summarize(ctx)}, ctx.out);
        return;
    }
    if (const auto reason = owner.find_bounce_reason(message, ctx)) {
        owner.attempts.add_tombstone(message.attempt, ctx.now);
        ctx.members.send(from, submit_bounced{message.attempt, *reason, owner.summarize(ctx)}, ctx.out);
        return;
    }
    if (message.run_alone)
        owner.evidence.add_suspect(message.fingerprint, ctx.now);
    attempt_record& record = owner.attempts.insert(from, message, ctx.now);
    record.parent_traceparent = message.traceparent;
    record.request.traceparent = make_child_traceparent(message.traceparent, owner.random);
    state::service_work& work = owner.find_or_add_service_work(message.service, ctx);
    if (!owner.dispatch_group(record, work, ctx)) {
        owner.enqueue(record, ctx);
        owner.dispatch_queued(work, ctx);
    }
    owner.shed_if_full(work, ctx);
    // If shedding bounced this attempt, it has been answered.
    attempt_record* kept = owner.attempts.find(message.attempt);
    if (kept == nullptr || kept->phase == attempt_phase::ended)
        return;
    if (kept->phase == attempt_phase::queued) {
        const state::lane in = owner.lane_of(*kept, ctx.now);
        if (owner.predict_wait(work, in, ctx.now) >= message.time_left) {
            owner.bounce_record(*kept, bounce_reason::no_headroom, ctx);
            return;
        }
    }
    ctx.members.send(from, submit_accepted{message.attempt, kept->server, owner.summarize(ctx)}, ctx.out);
}

void owner_side::on_cancel(const daemon_id& /*from*/, const cancel_attempt& message, context& ctx) {
    attempt_record* record = m_state->attempts.find(message.attempt);
    if (record == nullptr) {
        // The submit may arrive after its cancellation and must not run.
        m_state->attempts.add_tombstone(message.attempt, ctx.now);
        return;
    }
    const service_name service = record->request.service;
    m_state->cancel(*record, attempt_failure::canceled, "canceled by the caller side", ctx);
    m_state->dispatch_queued(m_state->find_or_add_service_work(service, ctx), ctx);
}

void owner_side::on_query(const daemon_id& from, const attempt_query& message, context& ctx) {
    const attempt_record* record = m_state->attempts.find(message.attempt);
    if (record == nullptr) {
        m_state->attempts.add_tombstone(message.attempt, ctx.now);
        ctx.members.send(from, attempt_status{message.attempt, attempt_state::unknown}, ctx.out);
        return;
    }
    const std::uint64_t base = record->request.generated.size();
    const std::uint64_t have = std::max(base, message.have_tokens);
    const bool missing = have < record->next_index();
    if (missing) {
        const auto first = record->tokens.begin() + static_cast<std::ptrdiff_t>(have - base);
        ctx.members.send(from, attempt_tokens{message.attempt, have, {first, record->tokens.end()}}, ctx.out);
    }
    if (record->phase == attempt_phase::ended) {
        ctx.members.send(from, *record->end, ctx.out);
        return;
    }
    if (missing)
        return;
    const bool running = record->phase == attempt_phase::running;
    ctx.members.send(from, attempt_status{message.attempt, running ? attempt_state::running : attempt_state::queued},
                     ctx.out);
}

// ---- time

void owner_side::state::poll_servers(context& ctx) {
    for (auto& [name, work] : services)
        for (server_state* server : work.servers) {
            const server_name& polled = server->server().name;
            const endpoint& address = server->server().address;
            if (server->take_due_poll(ctx.now))
                ctx.out.push_back(poll_load{polled, address});
            if (server->take_due_listing(ctx.now))
                ctx.out.push_back(list_streams{polled, address});
        }
}

void owner_side::state::end_overdue(context& ctx) {
    for (const attempt_id& attempt : attempts.find_overdue(ctx.now))
        cancel(*attempts.find(attempt), attempt_failure::deadline_passed, "the deadline has passed", ctx);
}

void owner_side::state::cancel_for_dead_callers(context& ctx) {
    for (const attempt_id& attempt : attempts.list_live()) {
        const daemon_id& origin = attempt.request.origin;
        if (origin != self && ctx.members.is_dead_for(origin, duration::zero(), ctx.now))
            cancel(*attempts.find(attempt), attempt_failure::canceled, "the caller side is dead", ctx);
    }
}

void owner_side::state::check_running_attempts(context& ctx) {
    for (const attempt_id& attempt : attempts.list_live()) {
        attempt_record* record = attempts.find(attempt);
        // Handling an earlier attempt in this loop may have ended this one.
        if (record == nullptr || record->phase != attempt_phase::running || record->request.kind == call_kind::plain)
            continue;
        if (record->stream_lost_at && ctx.now - *record->stream_lost_at >= lost_stream_timeout) {
            fail_as_server_died(*record, evidence.strikes(record->request.fingerprint, ctx.now), ctx);
            continue;
        }
        const bool stopped = record->has_tokens && ctx.now - record->last_token >= group_stall_timeout;
        if (!record->request.parts.empty() && stopped) {
            fail_stalled_group(*record, ctx);
            continue;
        }
        if (!record->stream_lost_at && ctx.now - record->last_heard >= stream_silence_timeout)
            on_connection_lost(*record, ctx);
    }
}

void owner_side::on_tick(context& ctx) {
    state& owner = *m_state;
    owner.end_overdue(ctx);
    if (ctx.now >= owner.next_attempt_check) {
        owner.next_attempt_check = ctx.now + attempt_check_interval;
        owner.cancel_for_dead_callers(ctx);
        owner.check_running_attempts(ctx);
        owner.attempts.expire(ctx.now);
        owner.expire_parts(ctx);
        owner.drop_idle_lost_servers();
        if (!ctx.config_confirmed)
            owner.bounce_queued(bounce_reason::configuration_unconfirmed, ctx);
    }
    owner.dispatch_all_queued(ctx);
    owner.poll_servers(ctx);
}

void owner_side::begin_drain(context& ctx) {
    m_state->draining = true;
    m_state->bounce_queued(bounce_reason::draining, ctx);
}

std::optional<time_point> owner_side::next_wakeup() const {
    const state& owner = *m_state;
    std::optional<time_point> next = owner.attempts.next_deadline();
    const auto include = [&next](time_point due) { next = next ? std::min(*next, due) : due; };
    if (owner.attempts.live() > 0 || !owner.parts.empty())
        include(owner.next_attempt_check);
    for (const auto& [name, work] : owner.services)
        for (const server_state* server : work.servers)
            include(server->next_due());
    return next;
}

owner_summary owner_side::make_summary(const context& ctx) {
    return m_state->summarize(ctx);
}

std::size_t owner_side::running() const {
    return m_state->attempts.live() - m_state->queued_count;
}

std::size_t owner_side::queued() const {
    return m_state->queued_count;
}

std::size_t owner_side::owned() const {
    std::size_t servers = 0;
    for (const auto& [name, work] : m_state->services)
        servers += work.servers.size();
    return servers;
}

crash_evidence& owner_side::evidence() {
    return m_state->evidence;
}

}  // namespace verbenahold
