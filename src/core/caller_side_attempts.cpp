// caller_side: following the current attempt of each request.
#include "caller_side.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

using std::chrono::seconds;

// The owner of an attempt is queried after this long without a message from it.
constexpr duration query_after_silence = seconds(1);
// An idempotent attempt is canceled and placed again after this long without a
// message from its owner.
constexpr duration give_up_after_silence = seconds(4);
// A request is refused when this many attempts were lost with their server or
// owner.
constexpr int max_lost_attempts = 6;
// Same as the lifetime of strikes in crash_evidence.
constexpr duration strike_lifetime = std::chrono::minutes(10);

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

std::string_view time_to_first_token_metric(length_class length) {
    switch (length) {
        case length_class::short_prompt:
            return "time_to_first_token_short_seconds";
        case length_class::medium_prompt:
            return "time_to_first_token_medium_seconds";
        case length_class::long_prompt:
            return "time_to_first_token_long_seconds";
        case length_class::very_long_prompt:
            break;
    }
    return "time_to_first_token_very_long_seconds";
}

}  // namespace

open_request* caller_side::find_by_current_attempt(const attempt_id& attempt, const daemon_id& from) {
    const auto found = m_requests.find(attempt.request);
    if (found == m_requests.end()) {
        return nullptr;
    }
    open_request& request = found->second;
    const bool at_owner = request.phase == request_phase::submitted || request.phase == request_phase::accepted;
    if (!at_owner || request.submission.attempt.number != attempt.number || request.owner != from) {
        return nullptr;
    }
    return &request;
}

void caller_side::on_bounced(const daemon_id& from, const submit_bounced& message, context& ctx) {
    on_summary(from, message.summary, ctx);
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    ctx.out.push_back(count{"attempts_bounced"});
    switch (message.reason) {
        case bounce_reason::suspected_of_crashing:
            refuse(*request, refusal::request_crashes_servers,
                   ctx.evidence.is_blocked(request->submission.prefix_hashes, ctx.now) ? ran_so_far(*request)
                                                                                       : ran_state::yes,
                   "servers died while they ran this request or one like it; it is held for now", ctx);
            return;
        case bounce_reason::no_headroom:
        case bounce_reason::deadline_too_short:
            request->excluded_owners.push_back(from);
            if (request->consecutive_placements >= max_consecutive_placements || !m_retry_budget.try_take()) {
                delay_placement(*request, ctx);
                return;
            }
            break;
        case bounce_reason::not_owner:
        case bounce_reason::zone_out:
        case bounce_reason::draining:
        case bounce_reason::configuration_unconfirmed:
        case bounce_reason::tombstoned:
            request->excluded_owners.push_back(from);
            break;
    }
    place(*request, ctx);
}

void caller_side::on_accepted(const daemon_id& from, const submit_accepted& message, context& ctx) {
    on_summary(from, message.summary, ctx);
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    request->phase = request_phase::accepted;
    request->server = message.server;
    request->last_heard = ctx.now;
    request->unplaced_since.reset();
}

void caller_side::on_tokens(const daemon_id& from, const attempt_tokens& message, context& ctx) {
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    request->phase = request_phase::accepted;
    request->last_heard = ctx.now;
    const std::uint64_t first = request->answer.count();
    const auto fresh = request->answer.add(message.first_index, message.tokens);
    if (fresh.empty()) {
        return;
    }
    record_token_times(*request, fresh.size(), ctx);
    if (const auto* ticket = std::get_if<std::uint64_t>(&request->target)) {
        ctx.out.push_back(reply_tokens{*ticket, first, {fresh.begin(), fresh.end()}});
    }
}

void caller_side::record_token_times(open_request& request, std::size_t new_tokens, context& ctx) {
    if (!request.first_token_at) {
        request.first_token_at = ctx.now;
        const duration taken = ctx.now - request.started;
        ctx.out.push_back(observe{time_to_first_token_metric(request.submission.length), to_seconds(taken)});
        m_cost_model.on_prefill(request.submission.service, request.submission.uncached_tokens,
                                ctx.now - request.attempt_started);
    } else {
        const duration gap = (ctx.now - *request.last_token_at) / static_cast<std::int64_t>(new_tokens);
        ctx.out.push_back(observe{"time_between_tokens_seconds", to_seconds(gap)});
        m_cost_model.on_token_gap(request.submission.service, gap);
    }
    request.last_token_at = ctx.now;
}

void caller_side::on_finished(const daemon_id& from, const attempt_finished& message, context& ctx) {
    on_summary(from, message.summary, ctx);
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    request->last_heard = ctx.now;
    if (message.token_count > request->answer.count()) {
        query_owner(*request, ctx);
        return;
    }
    if (message.token_count != request->answer.count() || message.checksum != request->answer.checksum()) {
        refuse(*request, refusal::server_failed, ran_state::yes, "the answer failed its check", ctx);
        return;
    }
    finish(*request, message, ctx);
}

void caller_side::finish(open_request& request, const attempt_finished& message, context& ctx) {
    record_completion(request, message, ctx);
    if (const auto* ticket = std::get_if<std::uint64_t>(&request.target)) {
        ctx.out.push_back(reply_finished{*ticket, message.finish_reason, request.submission.prompt_tokens,
                                         static_cast<std::int64_t>(message.token_count), message.cached_tokens});
    }
    ctx.out.push_back(count{"requests_answered"});
    ctx.out.push_back(observe{"request_seconds", to_seconds(ctx.now - request.started)});
    close_request(request.id, true, ctx);
}

void caller_side::record_completion(const open_request& request, const attempt_finished& message, context& ctx) {
    m_cost_model.on_output(request.submission.service, request.submission.account,
                           static_cast<std::int64_t>(message.token_count));
    m_prefixes.on_completed(message.server, request.owner, request.submission.prefix_hashes, message.cached_tokens);
    m_retry_budget.on_completed();
    ctx.evidence.on_completed(request.submission.fingerprint);
    const double unused = request.charged_tokens - static_cast<double>(request.submission.uncached_tokens) -
                          static_cast<double>(message.token_count);
    if (unused > 0) {
        m_limits.refund(request.submission.account, unused);
    }
}

void caller_side::on_replied(const daemon_id& from, const attempt_replied& message, context& ctx) {
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    m_retry_budget.on_completed();
    if (const auto* ticket = std::get_if<std::uint64_t>(&request->target)) {
        ctx.out.push_back(reply_service{*ticket, message.status, message.content_type, message.body});
    } else {
        keyed_reply reply;
        reply.key = std::get<std::string>(request->target);
        reply.account = request->submission.account;
        reply.replied = true;
        reply.status = message.status;
        reply.content_type = message.content_type;
        reply.body = message.body;
        reply.ran = ran_state::yes;
        m_keyed_results.push_back({reply.key, reply});
    }
    ctx.out.push_back(count{"requests_answered"});
    close_request(request->id, true, ctx);
}

void caller_side::on_failed(const daemon_id& from, const attempt_failed& message, context& ctx) {
    on_summary(from, message.summary, ctx);
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    if (message.strikes > 0) {
        const crash_strike strike{request->submission.fingerprint, message.strikes, strike_lifetime};
        ctx.evidence.on_gossip(std::span(&strike, 1), ctx.now);
        request->submission.run_alone = true;
    }
    if (message.strikes >= strikes_to_refuse) {
        refuse(*request, refusal::request_crashes_servers, ran_state::yes, message.message, ctx);
        return;
    }
    request->may_have_run = request->may_have_run || message.ran != ran_state::no;
    switch (message.reason) {
        case attempt_failure::deadline_passed:
            refuse(*request, refusal::deadline, ran_so_far(*request), message.message, ctx);
            return;
        case attempt_failure::bad_request:
            refuse(*request, refusal::bad_request, ran_so_far(*request), message.message, ctx);
            return;
        case attempt_failure::server_died:
        case attempt_failure::server_refused:
        case attempt_failure::canceled:
        case attempt_failure::owner_stopping:
        case attempt_failure::part_lost:
            break;
    }
    if (message.ran == ran_state::no) {
        request->excluded_owners.push_back(from);
        if (request->consecutive_placements >= max_consecutive_placements) {
            delay_placement(*request, ctx);
        } else {
            place(*request, ctx);
        }
        return;
    }
    retry_after_loss(*request, ctx);
}

void caller_side::retry_after_loss(open_request& request, context& ctx) {
    request.may_have_run = true;
    if (!request.submission.idempotent) {
        refuse(request, refusal::outcome_unknown, ran_state::unknown, "the server was lost while it ran the call", ctx);
        return;
    }
    request.lost_attempts += 1;
    if (request.lost_attempts >= max_lost_attempts) {
        refuse(request, refusal::server_failed, ran_so_far(request), "servers failed again and again", ctx);
        return;
    }
    ctx.out.push_back(count{"attempts_resumed"});
    request.consecutive_placements = 0;
    request.unplaced_since.reset();
    place(request, ctx);
}

void caller_side::on_status(const daemon_id& from, const attempt_status& message, context& ctx) {
    open_request* request = find_by_current_attempt(message.attempt, from);
    if (request == nullptr) {
        return;
    }
    request->last_heard = ctx.now;
    if (message.state != attempt_state::unknown) {
        request->phase = request_phase::accepted;
        return;
    }
    // An owner that does not know the attempt bounces any later submit of it. If
    // it had accepted the attempt, it has dropped its record since, and the
    // attempt may have run; otherwise the attempt never ran there.
    if (request->phase == request_phase::accepted) {
        retry_after_loss(*request, ctx);
        return;
    }
    request->excluded_owners.push_back(from);
    place(*request, ctx);
}

void caller_side::on_tick(context& ctx) {
    m_limits.on_tick(ctx.members, ctx.config, ctx.now, ctx.out);
    if (!m_next_check || *m_next_check > ctx.now) {
        return;
    }
    std::vector<request_id> ids;
    ids.reserve(m_requests.size());
    for (const auto& [id, request] : m_requests) {
        ids.push_back(id);
    }
    // Requests are checked in a fixed order, since the order decides which of
    // them gets headroom first. The hash table's order is arbitrary.
    std::sort(ids.begin(), ids.end());
    for (const request_id& id : ids) {
        const auto found = m_requests.find(id);
        if (found != m_requests.end()) {
            check_request(found->second, ctx);
        }
    }
    m_next_check.reset();
    if (!m_requests.empty()) {
        m_next_check = ctx.now + request_check_period;
    }
}

void caller_side::check_request(open_request& request, context& ctx) {
    if (ctx.now >= request.deadline) {
        send_cancel(request, ctx);
        if (request.phase != request_phase::placing && request.phase != request_phase::reserving) {
            request.may_have_run = true;
        }
        const bool outcome_is_unknown = !request.submission.idempotent && request.may_have_run;
        refuse(request, outcome_is_unknown ? refusal::outcome_unknown : refusal::deadline, ran_so_far(request),
               "the deadline passed", ctx);
        return;
    }
    if (request.phase == request_phase::placing) {
        if (ctx.now >= request.retry_at) {
            place(request, ctx);
        }
        return;
    }
    if (m_groups.contains(request.id)) {
        check_group(request, ctx);
        return;
    }
    check_attempt(request, ctx);
}

void caller_side::check_attempt(open_request& request, context& ctx) {
    if (!ctx.members.is_live(request.owner)) {
        handle_lost_owner(request, ctx);
        return;
    }
    const duration silence = ctx.now - request.last_heard;
    if (silence >= give_up_after_silence && request.submission.idempotent) {
        send_cancel(request, ctx);
        handle_lost_owner(request, ctx);
        return;
    }
    if (silence >= query_after_silence && ctx.now - request.last_query >= query_after_silence) {
        query_owner(request, ctx);
    }
}

void caller_side::handle_lost_owner(open_request& request, context& ctx) {
    request.excluded_owners.push_back(request.owner);
    retry_after_loss(request, ctx);
}

void caller_side::query_owner(open_request& request, context& ctx) {
    request.last_query = ctx.now;
    ctx.members.send(request.owner, attempt_query{request.submission.attempt, request.answer.count()}, ctx.out);
}

void caller_side::send_cancel(const open_request& request, context& ctx) {
    if (request.phase == request_phase::placing || request.phase == request_phase::reserving) {
        return;
    }
    ctx.members.send(request.owner, cancel_attempt{request.submission.attempt}, ctx.out);
}

}  // namespace verbenahold
