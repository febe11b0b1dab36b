#include "idempotency.hpp"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenahold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How often a forwarded call is sent again until its home answers.
constexpr duration forward_resend = milliseconds(500);
// How often expired outcomes are removed.
constexpr duration collect_period = seconds(5);
// A forwarded call is given up this long after it was last sent if its home is
// not a known member.
constexpr duration unknown_home_patience = seconds(2);

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

std::string claim_row(const account_name& account, const std::string& key) {
    return account.value + '/' + key;
}

}  // namespace

idempotency::idempotency(daemon_id self, std::uint64_t seed) : m_self(std::move(self)), m_random(seed) {}

std::string idempotency::issue_key(time_point now) {
    return to_string(idempotency_key{m_self, now, m_random()});
}

void idempotency::on_caller_request(const caller_request& request, caller_side& callers, context& ctx) {
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
    begin(call, request.ticket, callers, ctx);
}

void idempotency::on_caller_gone(std::uint64_t ticket) {
    const auto drop = [ticket](auto& list) { std::erase(list, std::remove_reference_t<decltype(list[0])>(ticket)); };
    for (auto& [key, call] : m_calls) {
        drop(call.waiters);
    }
    for (auto& [key, forwarded] : m_forwarded) {
        drop(forwarded.tickets);
    }
}

void idempotency::on_keyed_call(const daemon_id& from, const keyed_call& call, caller_side& callers, context& ctx) {
    const auto key = parse_idempotency_key(call.key);
    if (key && key->home != m_self) {
        ctx.members.send(from, refusal_reply(call, refusal::home_lost, ran_state::unknown), ctx.out);
        return;
    }
    begin(call, from, callers, ctx);
}

void idempotency::begin(const keyed_call& call, const waiter& from, caller_side& callers, context& ctx) {
    if (join({call.account, call.key}, call, from, callers, ctx)) {
        return;
    }
    if (const auto key = parse_idempotency_key(call.key)) {
        begin_issued(*key, call, from, callers, ctx);
    } else {
        begin_claimed(call, from, ctx);
    }
}

bool idempotency::join(const entry_key& key, const keyed_call& call, const waiter& from, caller_side& callers,
                       context& ctx) {
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return false;
    }
    call_entry& entry = found->second;
    if (entry.body_hash != hash_call(call)) {
        answer(from, refusal_reply(call, refusal::key_reused, ran_state::no), ctx);
        return true;
    }
    const auto* daemon = std::get_if<daemon_id>(&from);
    const auto refused = daemon != nullptr ? entry.refused_forwards.find(*daemon) : entry.refused_forwards.end();
    const bool repeated = refused != entry.refused_forwards.end() && call.forward_number <= refused->second;
    const bool may_start_again = entry.state == call_state::ended && entry.outcome.ran == ran_state::no;
    if (repeated || (entry.state == call_state::ended && !may_start_again)) {
        answer(from, repeated ? refusal_reply(call, refusal::overloaded, ran_state::no) : entry.outcome, ctx);
        return true;
    }
    note_waiter(entry, call, from);
    if (may_start_again) {
        start_again(key, call, callers, ctx);
    }
    return true;
}

void idempotency::note_waiter(call_entry& entry, const keyed_call& call, const waiter& from) {
    if (std::find(entry.waiters.begin(), entry.waiters.end(), from) == entry.waiters.end()) {
        entry.waiters.push_back(from);
    }
    if (const auto* daemon = std::get_if<daemon_id>(&from)) {
        std::uint64_t& newest = entry.newest_forwards[*daemon];
        newest = std::max(newest, call.forward_number);
    }
}

void idempotency::start_again(const entry_key& key, const keyed_call& call, caller_side& callers, context& ctx) {
    call_entry& entry = m_calls.at(key);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    entry.forget_at = std::max(entry.forget_at, ctx.now + outcome_lifetime);
    if (entry.claimed_in_table) {
        entry.state = call_state::claiming;
        ctx.out.push_back(claim_key{claim_row(key.first, key.second), entry.body_hash});
        return;
    }
    run(key, callers, ctx);
}

void idempotency::begin_issued(const idempotency_key& key, const keyed_call& call, const waiter& from,
                               caller_side& callers, context& ctx) {
    const duration age = ctx.now - key.issued;
    if (age > key_lifetime) {
        const ran_state ran = age > outcome_lifetime ? ran_state::unknown : ran_state::no;
        answer(from, refusal_reply(call, refusal::key_expired, ran), ctx);
        return;
    }
    const entry_key where{call.account, call.key};
    call_entry entry;
    entry.body_hash = hash_call(call);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    // The issue time of a forged key may lie in the future or the past; the
    // outcome is kept for the full lifetime from now at least.
    entry.forget_at = std::max(key.issued, ctx.now) + outcome_lifetime;
    note_waiter(entry, call, from);
    m_calls.emplace(where, std::move(entry));
    wake_by(ctx.now + collect_period);
    run(where, callers, ctx);
}

void idempotency::begin_claimed(const keyed_call& call, const waiter& from, context& ctx) {
    call_entry entry;
    entry.state = call_state::claiming;
    entry.body_hash = hash_call(call);
    entry.call = call;
    entry.deadline = ctx.now + call.time_left;
    entry.forget_at = ctx.now + outcome_lifetime;
    entry.claimed_in_table = true;
    note_waiter(entry, call, from);
    ctx.out.push_back(claim_key{claim_row(call.account, call.key), entry.body_hash});
    m_calls.emplace(entry_key{call.account, call.key}, std::move(entry));
    wake_by(ctx.now + collect_period);
}

void idempotency::on_claim_answered(const claim_answered& reply, caller_side& callers, context& ctx) {
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& item) {
        return item.second.state == call_state::claiming && claim_row(item.first.first, item.first.second) == reply.key;
    });
    if (found == m_calls.end()) {
        return;
    }
    const entry_key key = found->first;
    call_entry& entry = found->second;
    const bool ours =
        reply.state == claim_state::granted || (reply.state == claim_state::held_by_other && reply.holder == m_self);
    const bool other_body = reply.state != claim_state::granted && reply.state != claim_state::unavailable &&
                            reply.body_hash != entry.body_hash;
    if (other_body) {
        end(key, refusal_reply(entry.call, refusal::key_reused, ran_state::no), ctx);
    } else if (ours) {
        run(key, callers, ctx);
    } else if (reply.state == claim_state::unavailable) {
        end(key, refusal_reply(entry.call, refusal::store_unavailable, ran_state::no), ctx);
    } else if (reply.state == claim_state::finished && reply.outcome) {
        end(key, *reply.outcome, ctx);
    } else {
        // Another daemon holds the claim; only that one may run the call.
        const call_entry held = std::move(entry);
        m_calls.erase(found);
        for (const waiter& from : held.waiters) {
            if (const auto* ticket = std::get_if<std::uint64_t>(&from)) {
                forward(reply.holder, held.call, *ticket, ctx);
            } else {
                answer(from, refusal_reply(held.call, refusal::home_lost, ran_state::unknown), ctx);
            }
        }
    }
}

void idempotency::run(const entry_key& key, caller_side& callers, context& ctx) {
    call_entry& entry = m_calls.at(key);
    entry.state = call_state::running;
    entry.call.time_left = entry.deadline - ctx.now;
    // The caller side identifies the call by "account/key", which
    // collect_results() splits again.
    callers.start_keyed_call(claim_row(key.first, key.second), entry.call, ctx);
    collect_ends(callers, ctx);
}

void idempotency::collect_ends(caller_side& callers, context& ctx) {
    for (keyed_end& ended : callers.take_keyed_ends()) {
        const std::size_t slash = ended.key.find('/');
        const entry_key key{account_name(ended.key.substr(0, slash)), ended.key.substr(slash + 1)};
        ended.reply.key = key.second;
        end(key, std::move(ended.reply), ctx);
    }
}

void idempotency::end(const entry_key& key, keyed_reply reply, context& ctx) {
    const auto found = m_calls.find(key);
    if (found == m_calls.end()) {
        return;
    }
    call_entry& entry = found->second;
    reply.account = key.first;
    for (const waiter& to : std::exchange(entry.waiters, {})) {
        answer(to, reply, ctx);
    }
    if (reply.ran == ran_state::no) {
        entry.refused_forwards = entry.newest_forwards;
    } else if (entry.claimed_in_table && entry.state == call_state::running) {
        ctx.out.push_back(record_outcome{claim_row(key.first, key.second), reply});
    }
    entry.state = call_state::ended;
    entry.outcome = std::move(reply);
    entry.call.body.reset();
}

void idempotency::forward(const daemon_id& home, const keyed_call& call, std::uint64_t ticket, context& ctx) {
    const entry_key key{call.account, call.key};
    const auto found = m_forwarded.find(key);
    if (found != m_forwarded.end() && hash_call(found->second.call) == hash_call(call)) {
        found->second.tickets.push_back(ticket);
        found->second.deadline = std::max(found->second.deadline, ctx.now + call.time_left);
        return;
    }
    if (found != m_forwarded.end()) {
        answer(ticket, refusal_reply(call, refusal::key_reused, ran_state::no), ctx);
        return;
    }
    keyed_call numbered = call;
    numbered.forward_number = ++m_last_forward;
    forwarded_call forwarded{home, std::move(numbered), ctx.now + call.time_left, ctx.now, {ticket}};
    forwarded_call& kept = m_forwarded.emplace(key, std::move(forwarded)).first->second;
    send_forwarded(kept, ctx);
}

void idempotency::send_forwarded(forwarded_call& forwarded, context& ctx) {
    forwarded.call.time_left = forwarded.deadline - ctx.now;
    forwarded.resend_at = ctx.now + forward_resend;
    ctx.members.send(forwarded.home, forwarded.call, ctx.out);
    wake_by(forwarded.resend_at);
}

void idempotency::on_keyed_reply(const daemon_id& from, const keyed_reply& reply, context& ctx) {
    const auto found = m_forwarded.find({reply.account, reply.key});
    if (found == m_forwarded.end() || found->second.home != from) {
        return;
    }
    const forwarded_call forwarded = std::move(found->second);
    m_forwarded.erase(found);
    for (const std::uint64_t ticket : forwarded.tickets) {
        answer(ticket, reply, ctx);
    }
}

void idempotency::check_forwarded(context& ctx) {
    for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
        forwarded_call& forwarded = it->second;
        const bool known = ctx.members.find(forwarded.home) != nullptr;
        const bool lost = known ? !ctx.members.is_live(forwarded.home)
                                : ctx.now - (forwarded.resend_at - forward_resend) >= unknown_home_patience;
        if (lost || ctx.now >= forwarded.deadline) {
            const refusal code = lost ? refusal::home_lost : refusal::outcome_unknown;
            for (const std::uint64_t ticket : forwarded.tickets) {
                answer(ticket, refusal_reply(forwarded.call, code, ran_state::unknown), ctx);
            }
            it = m_forwarded.erase(it);
            continue;
        }
        if (known && ctx.now >= forwarded.resend_at) {
            send_forwarded(forwarded, ctx);
        }
        wake_by(ctx.now + forward_resend);
        ++it;
    }
}

void idempotency::forget_old(time_point now) {
    std::erase_if(m_calls, [now](const auto& item) {
        return item.second.state == call_state::ended && now >= item.second.forget_at;
    });
}

void idempotency::on_tick(caller_side& callers, context& ctx) {
    collect_ends(callers, ctx);
    if (!m_next_check || ctx.now < *m_next_check) {
        return;
    }
    m_next_check.reset();
    check_forwarded(ctx);
    forget_old(ctx.now);
    if (!m_calls.empty()) {
        wake_by(ctx.now + collect_period);
    }
}

void idempotency::wake_by(time_point when) {
    m_next_check = m_next_check ? std::min(*m_next_check, when) : when;
}

std::optional<time_point> idempotency::next_wakeup() const {
    return m_next_check;
}

std::size_t idempotency::open() const {
    const auto running = std::count_if(m_calls.begin(), m_calls.end(),
                                       [](const auto& item) { return item.second.state != call_state::ended; });
    return static_cast<std::size_t>(running) + m_forwarded.size();
}

keyed_reply idempotency::refusal_reply(const keyed_call& call, refusal code, ran_state ran) {
    keyed_reply reply;
    reply.key = call.key;
    reply.account = call.account;
    reply.error_code = to_string(code);
    reply.ran = ran;
    return reply;
}

void idempotency::answer(const waiter& to, const keyed_reply& reply, context& ctx) {
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
