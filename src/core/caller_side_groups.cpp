// caller_side: reserving KV memory on several servers for prompts that do not
// fit the KV memory of one engine.
#include "caller_side.hpp"

#include <utility>

namespace verbenahold {

std::vector<group_reservation::candidate> caller_side::list_group_candidates(const open_request& request,
                                                                             const context& ctx) {
    const service_spec* service = ctx.config.find_service(request.submission.service);
    std::vector<group_reservation::candidate> candidates;
    for (const backend_server& server : ctx.owners.servers()) {
        const auto owner = ctx.owners.owner_of(server.name);
        const bool usable = server.service == request.submission.service && !server.leaving && owner &&
                            !ctx.config.is_zone_out(server.zone);
        if (usable && service != nullptr) {
            // Only the owner knows how much is free; it refuses a part that
            // does not fit.
            candidates.push_back({server.name, *owner, service->kv_capacity_tokens});
        }
    }
    return candidates;
}

void caller_side::start_group(open_request& request, context& ctx) {
    release_group(request.id, ctx);
    request.submission.attempt.number += 1;
    request.submission.parts.clear();
    request.phase = request_phase::reserving;
    group_reservation& group = m_groups.emplace(request.id, group_reservation(m_random())).first->second;
    group_messages messages;
    const std::int64_t tokens = request.submission.prompt_tokens + request.submission.max_tokens;
    group.start(list_group_candidates(request, ctx), tokens, request.submission.attempt, request.deadline - ctx.now,
                ctx.now, messages);
    send_group_messages(messages, ctx);
    if (group.current_state() != group_reservation::state::pending) {
        check_group(request, ctx);
    }
}

void caller_side::on_part_answer(const part_answer& message, context& ctx) {
    const auto found = m_groups.find(message.attempt.request);
    if (found == m_groups.end()) {
        return;
    }
    open_request& request = m_requests.at(message.attempt.request);
    const bool running = request.phase == request_phase::submitted || request.phase == request_phase::accepted;
    if (running && !message.granted && request.owner != m_self) {
        // Only the owner of the lead server can replace a lost part.
        ctx.members.send(request.owner, message, ctx.out);
    }
    group_messages messages;
    found->second.on_answer(message, ctx.now, messages);
    send_group_messages(messages, ctx);
    check_group(request, ctx);
}

void caller_side::check_group(open_request& request, context& ctx) {
    group_reservation& group = m_groups.at(request.id);
    group_messages messages;
    group.refresh(list_group_candidates(request, ctx));
    group.on_tick(ctx.now, messages);
    send_group_messages(messages, ctx);
    if (request.phase != request_phase::reserving) {
        check_attempt(request, ctx);
        return;
    }
    switch (group.current_state()) {
        case group_reservation::state::pending:
            return;
        case group_reservation::state::complete:
            submit_group(request, group, ctx);
            return;
        case group_reservation::state::failed:
            break;
    }
    refuse(request, refusal::overloaded, ran_so_far(request), "no group of servers has the memory for this prompt",
           ctx);
}

void caller_side::submit_group(open_request& request, group_reservation& group, context& ctx) {
    const server_name lead = group.lead();
    const auto owner = ctx.owners.owner_of(lead);
    if (!owner) {
        release_group(request.id, ctx);
        delay_placement(request, ctx);
        return;
    }
    request.submission.parts = group.parts();
    request.submission.preferred_server = lead;
    group_messages messages;
    group.hand_over(messages);
    send_group_messages(messages, ctx);
    submit_to(request, *owner, ctx);
}

void caller_side::release_group(const request_id& id, context& ctx) {
    const auto found = m_groups.find(id);
    if (found == m_groups.end()) {
        return;
    }
    group_messages messages;
    found->second.release_all(messages);
    m_groups.erase(found);
    send_group_messages(messages, ctx);
}

void caller_side::send_group_messages(group_messages& messages, context& ctx) {
    for (group_reservation::outgoing& one : messages) {
        if (const auto owner = ctx.owners.owner_of(one.server)) {
            ctx.members.send(*owner, std::move(one.message), ctx.out);
        }
    }
}

}  // namespace verbenahold
