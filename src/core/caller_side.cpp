#include "caller_side.hpp"

#include "trace_context.hpp"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delay before the next placement when no owner could take the request.
constexpr duration placement_retry_delay = milliseconds(150);
// A request that has not run and finds no owner with headroom is refused after
// this time, or after half of its remaining time if that is less, so that its
// caller can react early. A request that may have run was admitted and keeps
// trying until its deadline.
constexpr duration placement_timeout = seconds(5);
// Retry-after time for callers refused for lack of headroom.
constexpr duration overload_retry_after = seconds(1);
// Longer time limits of callers are cut to this.
constexpr duration max_time_limit = std::chrono::hours(1);
// Tokens that a plain call costs of its account's limit.
constexpr std::int64_t plain_call_tokens = 1;

std::uint64_t fingerprint_of(const caller_request& request) {
    const std::string_view service = request.service.value;
    std::uint64_t hash = XXH64(service.data(), service.size(), static_cast<std::uint64_t>(request.max_tokens));
    hash = XXH64(request.path.data(), request.path.size(), hash);
    return XXH64(request.body->data(), request.body->size(), hash);
}

}  // namespace

caller_side::caller_side(daemon_id self, zone_name zone, std::uint64_t seed)
    : m_self(std::move(self)), m_zone(std::move(zone)), m_random(seed), m_limits(m_self), m_placement(seed + 1) {}

std::variant<const account_spec*, refusal> caller_side::authenticate(std::string_view key_hash, const context& ctx) {
    if (ctx.config.version() == 0 || !ctx.config_confirmed) {
        return refusal::configuration_unconfirmed;
    }
    const account_spec* account = ctx.config.find_account_by_key_hash(key_hash);
    if (account == nullptr) {
        return refusal::unauthorized;
    }
    return account;
}

void caller_side::on_caller_request(const caller_request& request, context& ctx) {
    const auto account = authenticate(request.key_hash, ctx);
    if (const auto* code = std::get_if<refusal>(&account)) {
        const bool unknown_key = *code == refusal::unauthorized;
        refuse_ticket(request.ticket, *code,
                      unknown_key ? "unknown account key" : "this entry's configuration is not confirmed",
                      duration::zero(), ctx);
        return;
    }
    const service_spec* service = ctx.config.find_service(request.service);
    if (service == nullptr) {
        refuse_ticket(request.ticket, refusal::unknown_service, "no such service", duration::zero(), ctx);
        return;
    }
    const bool wants_model = request.kind == call_kind::completion;
    if (wants_model != (service->type == service_type::model)) {
        refuse_ticket(request.ticket, refusal::bad_request, "the service is of another type", duration::zero(), ctx);
        return;
    }
    const duration wanted = request.deadline > duration::zero() ? request.deadline : service->default_deadline;
    admit(request,
          {request.ticket, **std::get_if<const account_spec*>(&account), *service, std::min(wanted, max_time_limit)},
          ctx);
}

void caller_side::admit(const caller_request& request, const resolved_request& resolved, context& ctx) {
    const request_id id{m_self, ++m_last_sequence};
    open_request opened;
    opened.id = id;
    opened.target = resolved.target;
    opened.submission = make_submission(request, resolved, id);
    opened.started = ctx.now;
    opened.deadline = ctx.now + resolved.time_limit;
    opened.parent_traceparent = request.traceparent;
    opened.submission.traceparent = make_child_traceparent(request.traceparent, m_random);
    const std::uint8_t strikes = ctx.evidence.strikes(opened.submission.fingerprint, ctx.now);
    if (strikes >= strikes_to_refuse) {
        refuse(opened, refusal::request_crashes_servers, ran_state::yes,
               "servers died while they ran this request; it is held for now", ctx);
        return;
    }
    if (ctx.evidence.is_blocked(opened.submission.prefix_hashes, ctx.now)) {
        refuse(opened, refusal::request_crashes_servers, ran_state::no,
               "servers died on prompts that begin like this one; it is held for now", ctx);
        return;
    }
    opened.submission.run_alone = strikes > 0;
    opened.charged_tokens =
        static_cast<double>(opened.submission.uncached_tokens + opened.submission.predicted_output_tokens);
    const duration wait = m_limits.admit(resolved.account, opened.charged_tokens, ctx.members, ctx.now);
    if (wait > duration::zero()) {
        const auto* ticket = std::get_if<std::uint64_t>(&resolved.target);
        if (ticket != nullptr) {
            refuse_ticket(*ticket, refusal::account_limit, "the client account is over its token limit", wait, ctx);
        } else {
            opened.charged_tokens = 0;
            refuse(opened, refusal::account_limit, ran_state::no, "the client account is over its token limit", ctx);
        }
        return;
    }
    open_and_place(std::move(opened), ctx);
}

submit caller_side::make_submission(const caller_request& request, const resolved_request& resolved,
                                    const request_id& id) {
    submit submission;
    submission.attempt = {id, 0};
    submission.kind = request.kind;
    submission.service = request.service;
    submission.account = resolved.account.name;
    submission.account_weight = resolved.account.weight;
    submission.body = request.body;
    submission.method = request.method;
    submission.path = request.path;
    submission.content_type = request.content_type;
    submission.idempotency_key = request.idempotency_key;
    submission.idempotent = request.idempotent;
    submission.fingerprint = fingerprint_of(request);
    if (request.kind == call_kind::plain) {
        submission.prompt_tokens = plain_call_tokens;
        submission.uncached_tokens = plain_call_tokens;
        return submission;
    }
    submission.prompt_tokens = count_prompt_tokens(*request.body);
    submission.prefix_hashes = hash_prefixes(*request.body);
    const auto hit = m_prefixes.find(submission.prefix_hashes);
    submission.uncached_tokens =
        submission.prompt_tokens - (hit ? std::min(hit->cached_tokens, submission.prompt_tokens) : 0);
    submission.max_tokens = request.max_tokens;
    submission.predicted_output_tokens =
        m_cost_model.predict_output(submission.service, submission.account, submission.max_tokens);
    submission.length =
        classify_length(submission.uncached_tokens, submission.prompt_tokens + submission.predicted_output_tokens,
                        resolved.service.kv_capacity_tokens);
    return submission;
}

void caller_side::open_and_place(open_request request, context& ctx) {
    const request_id id = request.id;
    if (const auto* ticket = std::get_if<std::uint64_t>(&request.target)) {
        m_by_ticket.emplace(*ticket, id);
    }
    request.retry_at = ctx.now;
    open_request& opened = m_requests.emplace(id, std::move(request)).first->second;
    if (!m_next_check) {
        m_next_check = ctx.now + request_check_period;
    }
    place(opened, ctx);
}

void caller_side::start_keyed_call(const std::string& key, const keyed_call& call, context& ctx) {
    caller_request request;
    request.kind = call_kind::plain;
    request.service = call.service;
    request.body = call.body;
    request.method = call.method;
    request.path = call.path;
    request.content_type = call.content_type;
    request.idempotency_key = call.key;
    request.idempotent = false;
    request.traceparent = call.traceparent;
    const account_spec* account = ctx.config.find_account(call.account);
    const service_spec* service = ctx.config.find_service(call.service);
    if (account == nullptr || service == nullptr || service->type != service_type::plain || !ctx.config_confirmed) {
        keyed_reply reply;
        reply.key = key;
        reply.account = call.account;
        reply.ran = ran_state::no;
        reply.error_code =
            to_string(ctx.config_confirmed ? refusal::unknown_service : refusal::configuration_unconfirmed);
        m_keyed_results.push_back({key, std::move(reply)});
        return;
    }
    admit(request, {key, *account, *service, call.time_left}, ctx);
}

std::vector<keyed_result> caller_side::take_keyed_results() {
    return std::exchange(m_keyed_results, {});
}

void caller_side::on_caller_gone(std::uint64_t ticket, context& ctx) {
    const auto found = m_by_ticket.find(ticket);
    if (found == m_by_ticket.end()) {
        return;
    }
    const request_id id = found->second;
    send_cancel(m_requests.at(id), ctx);
    ctx.out.push_back(count{"requests_abandoned_by_caller"});
    close_request(id, false, ctx);
}

void caller_side::place(open_request& request, context& ctx) {
    if (request.submission.length == length_class::very_long_prompt) {
        start_group(request, ctx);
        return;
    }
    const routing_spec routing = ctx.config.routing_for(request.submission.service);
    placement_query query;
    query.service = request.submission.service;
    query.length = request.submission.length;
    query.uncached_tokens = request.submission.uncached_tokens;
    query.total_tokens = request.submission.prompt_tokens + request.submission.predicted_output_tokens;
    query.prefix_hashes = request.submission.prefix_hashes;
    query.own_zone = m_zone;
    query.prefer_same_zone = routing.prefer_same_zone;
    query.time_left = request.deadline - ctx.now;
    query.excluded = request.excluded_owners;
    query.config = &ctx.config;
    query.prefill_per_block = m_cost_model.predict_prefill(request.submission.service, prefix_block_tokens);
    const auto choice = m_placement.choose(routing.policy, query, m_summaries, m_prefixes);
    if (!choice) {
        delay_placement(request, ctx);
        return;
    }
    send_attempt(request, *choice, ctx);
}

void caller_side::delay_placement(open_request& request, context& ctx) {
    if (!request.unplaced_since) {
        request.unplaced_since = ctx.now;
    }
    const duration waited = ctx.now - *request.unplaced_since;
    const duration timeout = std::min(placement_timeout, (request.deadline - *request.unplaced_since) / 2);
    if (!request.may_have_run && waited >= timeout) {
        refuse(request, refusal::overloaded, ran_so_far(request), "no server has headroom", ctx);
        return;
    }
    request.phase = request_phase::placing;
    request.excluded_owners.clear();
    request.consecutive_placements = 0;
    request.retry_at = ctx.now + placement_retry_delay;
}

void caller_side::send_attempt(open_request& request, const placement_choice& choice, context& ctx) {
    request.submission.attempt.number += 1;
    request.submission.preferred_server = choice.preferred_server;
    request.submission.uncached_tokens =
        std::max<std::int64_t>(1, request.submission.prompt_tokens - choice.cached_tokens);
    request.zone = choice.zone;
    m_summaries.record_sent(choice.owner, request.submission.service, choice.zone, request.submission.uncached_tokens,
                            request.submission.length);
    submit_to(request, choice.owner, ctx);
}

void caller_side::submit_to(open_request& request, const daemon_id& owner, context& ctx) {
    request.submission.generated = request.answer.tokens();
    request.submission.time_left = request.deadline - ctx.now;
    request.phase = request_phase::submitted;
    request.owner = owner;
    request.server = {};
    request.attempt_started = ctx.now;
    request.last_heard = ctx.now;
    request.last_query = ctx.now;
    request.consecutive_placements += 1;
    request.answer.drop_beyond_gap();
    ctx.members.send(owner, request.submission, ctx.out);
}

void caller_side::refuse_ticket(std::uint64_t ticket, refusal code, std::string message, duration retry_after,
                                context& ctx) {
    ctx.out.push_back(reply_refused{ticket, code, ran_state::no, std::move(message), retry_after});
    ctx.out.push_back(count{"requests_refused"});
}

void caller_side::refuse(open_request& request, refusal code, ran_state ran, std::string message, context& ctx) {
    if (const auto* ticket = std::get_if<std::uint64_t>(&request.target)) {
        const duration advice = code == refusal::overloaded ? overload_retry_after : duration::zero();
        ctx.out.push_back(reply_refused{*ticket, code, ran, std::move(message), advice});
    } else {
        keyed_reply reply;
        reply.key = std::get<std::string>(request.target);
        reply.account = request.submission.account;
        reply.error_code = to_string(code);
        reply.ran = ran;
        reply.body = std::move(message);
        m_keyed_results.push_back({reply.key, reply});
    }
    ctx.out.push_back(count{"requests_refused"});
    if (ran == ran_state::no) {
        m_limits.refund(request.submission.account, request.charged_tokens);
    }
    close_request(request.id, false, ctx);
}

void caller_side::close_request(const request_id& id, bool ok, context& ctx) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const open_request& request = found->second;
    ctx.out.push_back(
        span_ended{request.submission.traceparent, request.parent_traceparent, "entry", ctx.now - request.started, ok});
    if (const auto* ticket = std::get_if<std::uint64_t>(&request.target)) {
        m_by_ticket.erase(*ticket);
    }
    release_group(id, ctx);
    m_requests.erase(found);
}

ran_state caller_side::ran_so_far(const open_request& request) {
    if (request.answer.count() > 0) {
        return ran_state::yes;
    }
    return request.may_have_run ? ran_state::unknown : ran_state::no;
}

void caller_side::on_summary(const daemon_id& from, const owner_summary& summary, const context& ctx) {
    if (ctx.members.is_live(from)) {
        m_summaries.on_summary(from, summary, ctx.now);
    }
}

std::optional<time_point> caller_side::next_wakeup() const {
    const auto limits = m_limits.next_wakeup();
    if (!m_next_check) {
        return limits;
    }
    return limits ? std::min(*limits, *m_next_check) : m_next_check;
}

}  // namespace verbenahold
