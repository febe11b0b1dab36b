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

// Pause after bounces, before owners are asked again.
constexpr duration placement_pause = milliseconds(150);
// A request that never ran and finds no headroom anywhere is refused after
// this time, or after half of its time if that is less, so that its caller
// learns early. One that has begun waits for its deadline: it was admitted.
constexpr duration placement_patience = seconds(5);
// Advice to callers refused for lack of headroom.
constexpr duration overload_retry_after = seconds(1);
// Longest deadline that a caller may ask for.
constexpr duration longest_deadline = std::chrono::hours(1);
// Tokens that a plain call counts against its account's limit.
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
          {request.ticket, **std::get_if<const account_spec*>(&account), *service, std::min(wanted, longest_deadline)},
          ctx);
}

void caller_side::admit(const caller_request& request, const admission& granted, context& ctx) {
    const request_id id{m_self, ++m_last_sequence};
    open_request opened;
    opened.id = id;
    opened.target = granted.target;
    opened.work = make_work(request, granted, id);
    opened.started = ctx.now;
    opened.deadline = ctx.now + granted.time_allowed;
    opened.parent_traceparent = request.traceparent;
    opened.work.traceparent = make_child_traceparent(request.traceparent, m_random);
    const std::uint8_t strikes = ctx.evidence.strikes(opened.work.fingerprint, ctx.now);
    if (strikes >= strikes_to_hold) {
        refuse(opened, refusal::request_crashes_servers, ran_state::yes,
               "servers died while they ran this request; it is held for now", ctx);
        return;
    }
    opened.work.run_alone = strikes > 0;
    opened.charged_tokens = static_cast<double>(opened.work.uncached_tokens + opened.work.predicted_output_tokens);
    const duration wait = m_limits.admit(granted.account, opened.charged_tokens, ctx.members, ctx.now);
    if (wait > duration::zero()) {
        const auto* ticket = std::get_if<std::uint64_t>(&granted.target);
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

submit caller_side::make_work(const caller_request& request, const admission& granted, const request_id& id) {
    submit work;
    work.attempt = {id, 0};
    work.kind = request.kind;
    work.service = request.service;
    work.account = granted.account.name;
    work.account_weight = granted.account.weight;
    work.body = request.body;
    work.method = request.method;
    work.path = request.path;
    work.content_type = request.content_type;
    work.idempotency_key = request.idempotency_key;
    work.idempotent = request.idempotent;
    work.fingerprint = fingerprint_of(request);
    if (request.kind == call_kind::plain) {
        work.prompt_tokens = plain_call_tokens;
        work.uncached_tokens = plain_call_tokens;
        return work;
    }
    work.prompt_tokens = count_prompt_tokens(*request.body);
    work.prefix_hashes = hash_prefixes(*request.body);
    const auto hit = m_prefixes.find(work.prefix_hashes);
    work.uncached_tokens = work.prompt_tokens - (hit ? std::min(hit->cached_tokens, work.prompt_tokens) : 0);
    work.max_tokens = request.max_tokens;
    work.predicted_output_tokens = m_costs.predict_output(work.service, work.account, work.max_tokens);
    work.length = classify(work.uncached_tokens, work.prompt_tokens + work.predicted_output_tokens,
                           granted.service.kv_capacity_tokens);
    return work;
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
        m_keyed_ends.push_back({key, std::move(reply)});
        return;
    }
    admit(request, {key, *account, *service, call.time_left}, ctx);
}

std::vector<keyed_end> caller_side::take_keyed_ends() {
    return std::exchange(m_keyed_ends, {});
}

void caller_side::on_caller_gone(std::uint64_t ticket, context& ctx) {
    const auto found = m_by_ticket.find(ticket);
    if (found == m_by_ticket.end()) {
        return;
    }
    const request_id id = found->second;
    send_cancel(m_requests.at(id), ctx);
    ctx.out.push_back(count{"requests_abandoned_by_caller"});
    close(id, false, ctx);
}

void caller_side::place(open_request& request, context& ctx) {
    if (request.work.length == length_class::very_long_prompt) {
        start_group(request, ctx);
        return;
    }
    const routing_spec routing = ctx.config.routing_for(request.work.service);
    placement_query query;
    query.service = request.work.service;
    query.length = request.work.length;
    query.uncached_tokens = request.work.uncached_tokens;
    query.total_tokens = request.work.prompt_tokens + request.work.predicted_output_tokens;
    query.prefix_hashes = request.work.prefix_hashes;
    query.own_zone = m_zone;
    query.prefer_same_zone = routing.prefer_same_zone;
    query.time_left = request.deadline - ctx.now;
    query.excluded = request.excluded;
    query.config = &ctx.config;
    query.prefill_per_block = m_costs.predict_prefill(request.work.service, prefix_block_tokens);
    const auto choice = m_placement.choose(routing.policy, query, m_summaries, m_prefixes);
    if (!choice) {
        pause_placing(request, ctx);
        return;
    }
    send_attempt(request, *choice, ctx);
}

void caller_side::pause_placing(open_request& request, context& ctx) {
    if (!request.bounced_since) {
        request.bounced_since = ctx.now;
    }
    const duration waited = ctx.now - *request.bounced_since;
    const duration patience = std::min(placement_patience, (request.deadline - *request.bounced_since) / 2);
    if (!request.may_have_run && waited >= patience) {
        refuse(request, refusal::overloaded, ran_so_far(request), "no server has headroom", ctx);
        return;
    }
    request.phase = request_phase::placing;
    request.excluded.clear();
    request.placements = 0;
    request.retry_at = ctx.now + placement_pause;
}

void caller_side::send_attempt(open_request& request, const placement_choice& choice, context& ctx) {
    request.work.attempt.number += 1;
    request.work.preferred_server = choice.preferred_server;
    request.work.uncached_tokens = std::max<std::int64_t>(1, request.work.prompt_tokens - choice.cached_tokens);
    request.zone = choice.zone;
    m_summaries.record_sent(choice.owner, request.work.service, choice.zone, request.work.uncached_tokens,
                            request.work.length);
    submit_to(request, choice.owner, ctx);
}

void caller_side::submit_to(open_request& request, const daemon_id& owner, context& ctx) {
    request.work.generated = request.answer.tokens();
    request.work.time_left = request.deadline - ctx.now;
    request.phase = request_phase::submitted;
    request.owner = owner;
    request.server = {};
    request.attempt_started = ctx.now;
    request.last_heard = ctx.now;
    request.last_query = ctx.now;
    request.placements += 1;
    request.answer.drop_beyond_gap();
    ctx.members.send(owner, request.work, ctx.out);
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
        reply.account = request.work.account;
        reply.error_code = to_string(code);
        reply.ran = ran;
        reply.body = std::move(message);
        m_keyed_ends.push_back({reply.key, reply});
    }
    ctx.out.push_back(count{"requests_refused"});
    if (ran == ran_state::no) {
        m_limits.refund(request.work.account, request.charged_tokens);
    }
    close(request.id, false, ctx);
}

void caller_side::close(const request_id& id, bool ok, context& ctx) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const open_request& request = found->second;
    ctx.out.push_back(
        span_ended{request.work.traceparent, request.parent_traceparent, "entry", ctx.now - request.started, ok});
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
