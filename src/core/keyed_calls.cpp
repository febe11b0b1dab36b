#include "keyed_calls.hpp"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How often a forwarded call is sent again until its home answers.
constexpr duration forward_resend_interval = milliseconds(500);
// How often expired outcomes are removed.
constexpr duration expiry_check_period = seconds(5);
// A forwarded call is given up this long after it was last sent if its home is
// not a known member.
constexpr duration unknown_home_timeout = seconds(2);

std::uint64_t hash_call(const keyed_call& call) {
    std::uint64_t hash = XXH64(call.service.value.data(), call.service.value.size(), 0);
    hash = XXH64(call.method.data(), call.method.size(), hash);
    hash = XXH64(call.path.data(), call.path.size(), hash);
    return XXH64(call.body->data(), call.body->size(), hash);
}

keyed_call make_call(const caller_request& request, const account_spec& account, const service_spec& service) {
    keyed_call call;
    call.key = request.idempotency_key;
    call.service = request.service;
    call.account = account.name;
    call.method = request.method;
    call.path = request.path;
    call.content_type = request.content_type;
    call.body = request.body;
    call.time_left = request.deadline > duration::zero() ? request.deadline : service.default_deadline;
    call.traceparent = request.traceparent;
    return call;
}

std::string claim_row_key(const account_name& account, const std::string& key) {
    return account.value + '/' + key;
}

}  // namespace

keyed_calls::keyed_calls(daemon_id self, std::uint64_t seed) : m_self(std::move(self)), m_random(seed) {}

std::string keyed_calls::issue_key(time_point now) {
    return to_string(idempotency_key{m_self, now, m_random()});
}

void keyed_calls::on_caller_request(const caller_request& request, caller_side& callers, context& ctx) {
    const auto account = caller_side::authenticate(request.key_hash, ctx);
    const auto* spec = std::get_if<const account_spec*>(&account);
    const service_spec* service = ctx.config.find_service(request.service);
    if (spec == nullptr || service == nullptr || service->type != service_type::plain) {
        // The caller side refuses the request with the right reason.
        callers.on_caller_request(request, ctx);
        return;
    }
    keyed_call call = make_call(request, **spec, *service);
    if (call.key.empty()) {
        // Without a key, a resend by the caller cannot be recognised; this
        // request still runs at most once.
        call.key = issue_key(ctx.now);
    }
    const auto key = parse_idempotency_key(call.key);
    if (key && key->home != m_self) {
        forward(key->home, call, request.ticket, ctx);
        return;
    }
    start_or_join(call, request.ticket, callers, ctx);
}

void keyed_calls::on_caller_gone(std::uint64_t ticket) {
    const auto drop = [ticket](auto& list) { std::erase(list, std::remove_reference_t<decltype(list[0])>(ticket)); };
    for (auto& [key, call] : m_calls) {
        drop(call.waiters);
    }
    for (auto& [key, forwarded] : m_forwarded) {
        drop(forwarded.tickets);
    }
}

void keyed_calls::on_keyed_call(const daemon_id& from, const keyed_call& call, caller_side& callers, context& ctx) {
    const auto key = parse_idempotency_key(call.key);
    if (key && key->home != m_self) {
        ctx.members.send(from, make_refusal(call, refusal::home_lost, ran_state::unknown), ctx.out);
        return;
    }
    start_or_join(call, from, callers, ctx);
}

void keyed_calls::start_or_join(const keyed_call& call, const waiter& from, caller_side& callers, context& ctx) {
    if (join_existing({call.account, call.key}, call, from, callers, ctx)) {
        return;
    }
    if (const auto key = parse_idempotency_key(call.key)) {
        start_issued(*key, call, from, callers, ctx);
    } else {
        start_claim(call, from, ctx);
    }
}

bool keyed_calls::join_existing(const call_key& key, const keyed_call& call, const waiter& from, caller_side& callers,
                                context& ctx) {
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return false;
    }
    call_entry& entry = found->second;
    if (entry.body_hash != hash_call(call)) {
        answer_waiter(from, make_refusal(call, refusal::key_reused, ran_state::no), ctx);
        return true;
    }
    const auto* daemon = std::get_if<daemon_id>(&from);
    const auto refused = daemon != nullptr ? entry.not_run_forwards.find(*daemon) : entry.not_run_forwards.end();
    const bool repeated = refused != entry.not_run_forwards.end() && call.forward_number <= refused->second;
    const bool may_restart = entry.state == call_state::ended && entry.outcome.ran == ran_state::no;
    if (repeated || (entry.state == call_state::ended && !may_restart)) {
        answer_waiter(from, repeated ? make_refusal(call, refusal::overloaded, ran_state::no) : entry.outcome, ctx);
        return true;
    }
    add_waiter(entry, call, from);
    if (may_restart) {
        restart(key, call, callers, ctx);
    }
    return true;
}

void keyed_calls::add_waiter(call_entry& entry, const keyed_call& call, const waiter& from) {
    if (std::find(entry.waiters.begin(), entry.waiters.end(), from) == entry.waiters.end()) {
        entry.waiters.push_back(from);
    }
    if (const auto* daemon = std::get_if<daemon_id>(&from)) {
        std::uint64_t& latest = entry.latest_forwards[*daemon];
        latest = std::max(latest, call.forward_number);
    }
}

void keyed_calls::restart(const call_key& key, const keyed_call& call, caller_side& callers, context& ctx) {
    call_entry& entry = m_calls.at(key);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    entry.expires_at = std::max(entry.expires_at, ctx.now + outcome_lifetime);
    if (entry.claimed_in_table) {
        entry.state = call_state::claiming;
        ctx.out.push_back(claim_key{claim_row_key(key.first, key.second), entry.body_hash});
        return;
    }
    start_call(key, callers, ctx);
}

void keyed_calls::start_issued(const idempotency_key& key, const keyed_call& call, const waiter& from,
                               caller_side& callers, context& ctx) {
    const duration age = ctx.now - key.issued;
    if (age > key_lifetime) {
        const ran_state ran = age > outcome_lifetime ? ran_state::unknown : ran_state::no;
        answer_waiter(from, make_refusal(call, refusal::key_expired, ran), ctx);
        return;
    }
    const call_key where{call.account, call.key};
    call_entry entry;
    entry.body_hash = hash_call(call);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    // The outcome must be kept longer than the key is valid, which is until
    // key_lifetime after its issue. A forged issue time may lie in the future.
    entry.expires_at = std::max(key.issued, ctx.now) + outcome_lifetime;
    add_waiter(entry, call, from);
    m_calls.emplace(where, std::move(entry));
    schedule_check(ctx.now + expiry_check_period);
    start_call(where, callers, ctx);
}

void keyed_calls::start_claim(const keyed_call& call, const waiter& from, context& ctx) {
    call_entry entry;
    entry.state = call_state::claiming;
    entry.body_hash = hash_call(call);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    entry.expires_at = ctx.now + outcome_lifetime;
    entry.claimed_in_table = true;
    add_waiter(entry, call, from);
    ctx.out.push_back(claim_key{claim_row_key(call.account, call.key), entry.body_hash});
    m_calls.emplace(call_key{call.account, call.key}, std::move(entry));
    schedule_check(ctx.now + expiry_check_period);
}

void keyed_calls::on_claim_answered(const claim_answered& reply, caller_side& callers, context& ctx) {
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& item) {
        return item.second.state == call_state::claiming &&
               claim_row_key(item.first.first, item.first.second) == reply.key;
    });
    if (found == m_calls.end()) {
        return;
    }
    const call_key key = found->first;
    call_entry& entry = found->second;
    const bool claimed_here =
        reply.state == claim_state::granted || (reply.state == claim_state::held_by_other && reply.holder == m_self);
    const bool body_differs = reply.state != claim_state::granted && reply.state != claim_state::unavailable &&
                              reply.body_hash != entry.body_hash;
    if (body_differs) {
        finish(key, make_refusal(entry.call, refusal::key_reused, ran_state::no), ctx);
    } else if (claimed_here) {
        start_call(key, callers, ctx);
    } else if (reply.state == claim_state::unavailable) {
        finish(key, make_refusal(entry.call, refusal::store_unavailable, ran_state::no), ctx);
    } else if (reply.state == claim_state::finished && reply.outcome) {
        finish(key, *reply.outcome, ctx);
    } else {
        // Another daemon holds the claim; only that one may run the call.
        const call_entry held = std::move(entry);
        m_calls.erase(found);
        for (const waiter& from : held.waiters) {
            if (const auto* ticket = std::get_if<std::uint64_t>(&from)) {
                forward(reply.holder, held.call, *ticket, ctx);
            } else {
                answer_waiter(from, make_refusal(held.call, refusal::home_lost, ran_state::unknown), ctx);
            }
        }
    }
}

void keyed_calls::start_call(const call_key& key, caller_side& callers, context& ctx) {
    call_entry& entry = m_calls.at(key);
    entry.state = call_state::running;
    entry.call.time_left = entry.deadline - ctx.now;
    // The caller side identifies the call by "account/key", which
    // collect_results() splits again.
    callers.start_keyed_call(claim_row_key(key.first, key.second), entry.call, ctx);
    collect_results(callers, ctx);
}

void keyed_calls::collect_results(caller_side& callers, context& ctx) {
    for (keyed_result& ended : callers.take_keyed_results()) {
        const std::size_t slash = ended.key.find('/');
        const call_key key{account_name(ended.key.substr(0, slash)), ended.key.substr(slash + 1)};
        ended.reply.key = key.second;
        finish(key, std::move(ended.reply), ctx);
    }
}

void keyed_calls::finish(const call_key& key, keyed_reply reply, context& ctx) {
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    call_entry& entry = found->second;
    reply.account = key.first;
    for (const waiter& to : std::exchange(entry.waiters, {})) {
        answer_waiter(to, reply, ctx);
    }
    if (reply.ran == ran_state::no) {
        entry.not_run_forwards = entry.latest_forwards;
    } else if (entry.claimed_in_table && entry.state == call_state::running) {
        ctx.out.push_back(record_outcome{claim_row_key(key.first, key.second), reply});
    }
    entry.state = call_state::ended;
    entry.outcome = std::move(reply);
    entry.call.body.reset();
}

void keyed_calls::forward(const daemon_id& home, const keyed_call& call, std::uint64_t ticket, context& ctx) {
    const call_key key{call.account, call.key};
    const auto found = m_forwarded.find(key);
    if (found != m_forwarded.end() && hash_call(found->second.call) == hash_call(call)) {
        found->second.tickets.push_back(ticket);
        found->second.deadline = std::max(found->second.deadline, ctx.now + call.time_left);
        return;
    }
    if (found != m_forwarded.end()) {
        answer_waiter(ticket, make_refusal(call, refusal::key_reused, ran_state::no), ctx);
        return;
    }
    keyed_call numbered = call;
    numbered.forward_number = ++m_last_forward_number;
    forwarded_call forwarded{home, std::move(numbered), ctx.now + call.time_left, ctx.now, {ticket}};
    forwarded_call& kept = m_forwarded.emplace(key, std::move(forwarded)).first->second;
    send_forwarded(kept, ctx);
}

void keyed_calls::send_forwarded(forwarded_call& forwarded, context& ctx) {
    forwarded.call.time_left = forwarded.deadline - ctx.now;
    forwarded.resend_at = ctx.now + forward_resend_interval;
    ctx.members.send(forwarded.home, forwarded.call, ctx.out);
    schedule_check(forwarded.resend_at);
}

void keyed_calls::on_keyed_reply(const daemon_id& from, const keyed_reply& reply, context& ctx) {
    const auto found = m_forwarded.find({reply.account, reply.key});
    if (found == m_forwarded.end() || found->second.home != from) {
        return;
    }
    const forwarded_call forwarded = std::move(found->second);
    m_forwarded.erase(found);
    for (const std::uint64_t ticket : forwarded.tickets) {
        answer_waiter(ticket, reply, ctx);
    }
}

void keyed_calls::check_forwarded(context& ctx) {
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        forwarded_call& forwarded = it->second;
        const bool known = ctx.members.find(forwarded.home) != nullptr;
        const bool lost = known ? !ctx.members.is_live(forwarded.home)
                                : ctx.now - (forwarded.resend_at - forward_resend_interval) >= unknown_home_timeout;
        if (lost || ctx.now >= forwarded.deadline) {
            const refusal code = lost ? refusal::home_lost : refusal::outcome_unknown;
            for (const std::uint64_t ticket : forwarded.tickets) {
                answer_waiter(ticket, make_refusal(forwarded.call, code, ran_state::unknown), ctx);
            }
            it = m_forwarded.erase(it);
            continue;
        }
        if (known && ctx.now >= forwarded.resend_at) {
            send_forwarded(forwarded, ctx);
        }
        schedule_check(ctx.now + forward_resend_interval);
        ++it;
    }
}

void keyed_calls::remove_expired(time_point now) {
    std::erase_if(m_calls, [now](const auto& item) {
        return item.second.state == call_state::ended && now >= item.second.expires_at;
    });
}

void keyed_calls::on_tick(caller_side& callers, context& ctx) {
    collect_results(callers, ctx);
    if (!m_next_check || ctx.now < *m_next_check) {
        return;
    }
    m_next_check.reset();
    check_forwarded(ctx);
    remove_expired(ctx.now);
    if (!m_calls.empty()) {
        schedule_check(ctx.now + expiry_check_period);
    }
}

void keyed_calls::schedule_check(time_point when) {
    m_next_check = m_next_check ? std::min(*m_next_check, when) : when;
}

std::optional<time_point> keyed_calls::next_wakeup() const {
    return m_next_check;
}

std::size_t keyed_calls::count_open() const {
    const auto running = std::count_if(m_calls.begin(), m_calls.end(),
                                       [](const auto& item) { return item.second.state != call_state::ended; });
    return static_cast<std::size_t>(running) + m_forwarded.size();
}

keyed_reply keyed_calls::make_refusal(const keyed_call& call, refusal code, ran_state ran) {
    keyed_reply reply;
    reply.key = call.key;
    reply.account = call.account;
    reply.error_code = to_string(code);
    reply.ran = ran;
    return reply;
}

void keyed_calls::answer_waiter(const waiter& to, const keyed_reply& reply, context& ctx) {
    if (const auto* daemon = std::get_if<daemon_id>(&to)) {
        ctx.members.send(*daemon, reply, ctx.out);
        return;
    }
    const std::uint64_t ticket = std::get<std::uint64_t>(to);
    if (reply.replied) {
        ctx.out.push_back(reply_service{ticket, reply.status, reply.content_type, reply.body});
        return;
    }
    const refusal code = parse_refusal(reply.error_code).value_or(refusal::outcome_unknown);
    ctx.out.push_back(reply_refused{ticket, code, reply.ran, reply.body, duration::zero()});
}

}  // namespace verbenahold
