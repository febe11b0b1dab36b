// owner_side: memory parts. The KV memory of a very long prompt is spread over
// a group of servers; its stream runs on the lead server, and each part is a
// reservation on one of the others.
#include "owner_side_state.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

// Expiry that makes the engine keep a confirmed part until it is released.
// memory_sweep frees the parts of dead caller sides.
constexpr duration no_expiry = duration::zero();
// Caller sides repeat confirmations each second. A part without one for this
// long is no longer needed, or its release was lost.
constexpr duration confirmation_timeout = std::chrono::seconds(10);
// A listing older than this does not prove that a reservation is missing.
constexpr duration max_listing_age = std::chrono::seconds(3);

}  // namespace

void owner_side::on_reserve_part(const daemon_id& from, const reserve_part& message, context& ctx) {
    state& owner = *m_state;
    const auto answer = [&](bool granted) {
        ctx.members.send(from, part_answer{message.attempt, message.server, message.reservation, granted}, ctx.out);
    };
    if (const auto known = owner.parts.find(message.reservation); known != owner.parts.end()) {
        if (known->second.granted)
            answer(true);
        return;
    }
    server_state* server = owner.find_server(message.server);
    const bool usable = server != nullptr && !owner.draining && ctx.config_confirmed && server->is_usable(ctx.now) &&
                        owner.is_zone_usable(*server, ctx);
    if (!usable || server->free_kv() < message.tokens) {
        answer(false);
        return;
    }
    server->hold_part(message.reservation, message.tokens);
    owner.parts[message.reservation] = {message, from, ctx.now + message.expires_in, false, false, std::nullopt};
    ctx.out.push_back(reserve_memory{message.server, server->server().address, message.reservation, message.tokens,
                                     message.expires_in});
}

void owner_side::on_confirm_part(const daemon_id& from, const confirm_part& message, context& ctx) {
    state& owner = *m_state;
    const auto found = owner.parts.find(message.reservation);
    if (found == owner.parts.end()) {
        if (!owner.adopt_part(from, message, ctx))
            ctx.members.send(from, part_answer{message.attempt, message.server, message.reservation, false}, ctx.out);
        return;
    }
    state::held_part& part = found->second;
    part.expires = ctx.now + confirmation_timeout;
    if (part.confirmed)
        return;
    part.confirmed = true;
    const server_state* server = owner.find_server(message.server);
    ctx.out.push_back(
        reserve_memory{message.server, server->server().address, message.reservation, part.request.tokens, no_expiry});
}

void owner_side::on_release_part(const daemon_id& /*from*/, const release_part& message, context& ctx) {
    if (m_state->parts.contains(message.reservation)) {
        m_state->release_held_part(message.reservation, ctx);
        return;
    }
    // Not known here: it was reserved through the server's previous owner.
    const server_state* server = m_state->find_server(message.server);
    if (server != nullptr && server->owned())
        ctx.out.push_back(release_memory{message.server, server->server().address, message.reservation});
}

// Takes over a part that was reserved through the server's previous owner.
// False when the part is lost: a recent listing does not show it, or the server
// is dead or not owned.
bool owner_side::state::adopt_part(const daemon_id& from, const confirm_part& message, context& ctx) {
    server_state* server = find_server(message.server);
    if (server == nullptr || !server->owned() || server->is_dead())
        return false;
    const std::optional<std::int64_t> tokens = server->find_listed_reservation(message.reservation);
    const bool current = ctx.now - server->listed_at() < max_listing_age;
    if (!tokens) {
        if (!current)
            send_listing_request(*server, ctx);
        return !current;
    }
    server->hold_part(message.reservation, *tokens);
    parts[message.reservation] = {{message.attempt, message.server, message.reservation, *tokens, no_expiry},
                                  from,
                                  ctx.now + confirmation_timeout,
                                  true,
                                  true,
                                  std::nullopt};
    return true;
}

// Drops the parts on a server that changed its owner. The new owner adopts them
// at their next confirmation.
void owner_side::state::forget_parts_of(const server_name& server) {
    server_state* known = find_server(server);
    std::erase_if(parts, [&](const auto& item) {
        // Replacements stay: no caller side confirms them at the new owner.
        if (item.second.request.server != server || item.second.replaces)
            return false;
        if (known != nullptr)
            known->free_part(item.first);
        return true;
    });
}

// Fails a group whose answer has stalled. The cause is the loss of a part on a
// server of another owner.
void owner_side::state::fail_stalled_group(attempt_record& record, context& ctx) {
    cancel_on_server(record, ctx);
    fail(record, attempt_failure::part_lost, ran_state::yes, "the answer of the group has stopped", ctx);
}

void owner_side::on_event(const memory_reserved& event, context& ctx) {
    state& owner = *m_state;
    if (cold_claim::is_marker(event.reservation)) {
        owner.on_claim_answer(event, ctx);
        return;
    }
    const auto found = owner.parts.find(event.reservation);
    if (found == owner.parts.end()) {
        // The part was released or expired meanwhile, so free its memory.
        const server_state* server = owner.find_server(event.server);
        if (event.granted && server != nullptr)
            ctx.out.push_back(release_memory{event.server, server->server().address, event.reservation});
        return;
    }
    state::held_part& part = found->second;
    const reserve_part request = part.request;
    const daemon_id from = part.from;
    const bool first = !part.granted;
    if (part.replaces) {
        owner.on_replacement_answer(event, ctx);
        return;
    }
    part.granted = event.granted;
    if (!event.granted) {
        if (server_state* server = owner.find_server(event.server))
            server->free_part(event.reservation);
        owner.parts.erase(found);
    }
    // The caller side has the answer to the first reservation already; of the
    // confirmation, it only needs a refusal.
    if (first || !event.granted)
        ctx.members.send(from, part_answer{request.attempt, request.server, request.reservation, event.granted},
                         ctx.out);
}

void owner_side::state::release_held_part(const std::string& reservation, context& ctx) {
    const auto found = parts.find(reservation);
    if (found == parts.end())
        return;
    const server_name name = found->second.request.server;
    parts.erase(found);
    server_state* server = find_server(name);
    if (server == nullptr)
        return;
    server->free_part(reservation);
    // Nothing is dispatched here: the memory of a lead's part is meant for the
    // submit that follows its release.
    ctx.out.push_back(release_memory{name, server->server().address, reservation});
}

// Drops the parts on a dead server. For attempts that run here, requests a
// replacement; owners of other lead servers are told through the caller side
// (on_part_lost).
void owner_side::state::handle_part_server_death(const server_name& server, context& ctx) {
    std::vector<std::string> gone;
    for (const auto& [reservation, part] : parts)
        if (part.request.server == server)
            gone.push_back(reservation);
    for (const std::string& reservation : gone) {
        const held_part part = parts.at(reservation);
        parts.erase(reservation);
        if (server_state* dead = find_server(server))
            dead->free_part(reservation);
        if (!part.replaces)
            ctx.members.send(part.from, part_answer{part.request.attempt, server, reservation, false}, ctx.out);
    }
    for (const attempt_id& attempt : attempts.list_live()) {
        attempt_record* record = attempts.find(attempt);
        if (record->phase != attempt_phase::running)
            continue;
        const auto& group = record->request.parts;
        const auto lost = std::ranges::find(group, server, &memory_part::server);
        if (lost != group.end())
            replace_lost_part(*record, *lost, ctx);
    }
}

void owner_side::on_part_lost(const part_answer& message, context& ctx) {
    attempt_record* record = m_state->attempts.find(message.attempt);
    if (record == nullptr || record->phase != attempt_phase::running)
        return;
    const auto& group = record->request.parts;
    const auto lost = std::ranges::find(group, message.reservation, &memory_part::reservation);
    const bool replacing = std::ranges::any_of(m_state->parts, [&](const auto& item) {
        return item.second.replaces == message.server && item.second.request.attempt == message.attempt;
    });
    if (lost == group.end() || replacing)
        return;
    m_state->replace_lost_part(*record, *lost, ctx);
}

void owner_side::state::replace_lost_part(attempt_record& record, const memory_part& lost, context& ctx) {
    server_state* best = nullptr;
    for (server_state* server : find_or_add_service_work(record.request.service, ctx).servers) {
        const server_name& name = server->server().name;
        const auto& group = record.request.parts;
        const bool member =
            name == record.server || std::ranges::find(group, name, &memory_part::server) != group.end();
        if (member || !server->is_usable(ctx.now) || !is_zone_usable(*server, ctx) || server->free_kv() < lost.tokens)
            continue;
        if (best == nullptr || server->free_kv() > best->free_kv())
            best = server;
    }
    if (best == nullptr) {
        cancel_on_server(record, ctx);
        fail(record, attempt_failure::part_lost, record.has_tokens ? ran_state::yes : ran_state::unknown,
             "a part of the group died and no other server has room", ctx);
        return;
    }
    // The name starts with the origin, which memory_sweep parses.
    const std::string reservation = lost.reservation + ".r" + std::to_string(++replacement_count);
    const server_name& name = best->server().name;
    best->hold_part(reservation, lost.tokens);
    parts[reservation] = {{record.request.attempt, name, reservation, lost.tokens, no_expiry},
                          self,
                          record.deadline,
                          false,
                          true,
                          lost.server};
    ctx.out.push_back(reserve_memory{name, best->server().address, reservation, lost.tokens, no_expiry});
}

void owner_side::state::on_replacement_answer(const memory_reserved& event, context& ctx) {
    held_part& part = parts.at(event.reservation);
    attempt_record* record = attempts.find(part.request.attempt);
    const server_name lost_server = *part.replaces;
    if (!event.granted) {
        const std::string reservation = event.reservation;
        if (server_state* server = find_server(event.server)) {
            server->free_part(reservation);
            server->on_out_of_memory(ctx.now);
        }
        parts.erase(reservation);
    }
    if (record == nullptr || record->phase != attempt_phase::running)
        return;
    const auto lost = std::ranges::find(record->request.parts, lost_server, &memory_part::server);
    if (lost == record->request.parts.end())
        return;
    if (!event.granted) {
        replace_lost_part(*record, *lost, ctx);
        return;
    }
    part.granted = true;
    *lost = memory_part{event.server, event.reservation, part.request.tokens};
    const server_state* lead = find_server(record->server);
    const server_state* server = find_server(event.server);
    ctx.out.push_back(count{"owner_parts_replaced", 1});
    ctx.out.push_back(replace_part{record->server, lead->server().address, record->stream, lost_server, *lost,
                                   server->server().address});
}

void owner_side::state::release_replacements(const attempt_record& record, context& ctx) {
    std::vector<std::string> ended;
    for (const auto& [reservation, part] : parts)
        if (part.replaces && part.request.attempt == record.request.attempt)
            ended.push_back(reservation);
    for (const std::string& reservation : ended)
        release_held_part(reservation, ctx);
}

// Frees parts that were not confirmed in time or whose caller side is dead.
void owner_side::state::expire_parts(context& ctx) {
    std::vector<std::string> ended;
    for (const auto& [reservation, part] : parts) {
        const daemon_id& origin = part.request.attempt.request.origin;
        const bool dead = origin != self && ctx.members.is_dead_for(origin, duration::zero(), ctx.now);
        if (dead || (!part.replaces && ctx.now >= part.expires))
            ended.push_back(reservation);
    }
    for (const std::string& reservation : ended)
        release_held_part(reservation, ctx);
}

}  // namespace verbenahold
