// owner_side: handlers of backend server events.
#include "owner_side_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace verbenahold {

namespace {

// Consecutive lost connections of a stream after which its server is treated as
// dead.
constexpr int max_silences = 2;
// A listing may overtake an open_stream that was sent up to this long before
// it, so it need not show that stream.
constexpr duration max_listing_overtake = std::chrono::milliseconds(100);
// A plain call that lost its connection is attributed to a server crash that
// is detected within this time.
constexpr duration lost_call_retention = std::chrono::seconds(3);
// Completed answers of a service needed before its predicted token gap is used.
constexpr int min_gap_samples = 8;

}  // namespace

attempt_record* owner_side::state::find_running(const server_name& server, std::string_view stream) {
    attempt_record* record = attempts.find_stream(stream);
    // Ignore late events of a server that refused the stream: it may now run on
    // another one.
    return record != nullptr && record->server == server ? record : nullptr;
}

attempt_record* owner_side::state::find_call(const server_name& server, const attempt_id& attempt) {
    attempt_record* record = attempts.find(attempt);
    const bool running = record != nullptr && record->phase == attempt_phase::running && record->server == server;
    return running ? record : nullptr;
}

void owner_side::state::on_stream_activity(attempt_record& record, context& ctx) {
    record.last_heard = ctx.now;
    record.consecutive_silences = 0;
    server_state* server = record.known_to_server ? nullptr : find_server(record.server);
    record.known_to_server = true;
    if (server != nullptr)
        end_claim(*server, ctx);
}

void owner_side::state::send_listing_request(server_state& server, context& ctx) {
    server.request_listing(ctx.now);
    if (server.take_due_listing(ctx.now))
        ctx.out.push_back(list_streams{server.server().name, server.server().address});
}

void owner_side::state::reopen(attempt_record& record, context& ctx) {
    const server_state* server = find_server(record.server);
    if (server == nullptr)
        return;
    record.last_heard = ctx.now;
    ctx.out.push_back(count{"owner_streams_reopened", 1});
    ctx.out.push_back(reopen_stream{record.server, server->server().address, record.stream, record.next_index()});
}

// The connection of a stream ended or went silent. Reopens the stream the first
// time; treats the server as dead the second time in a row.
void owner_side::state::on_connection_lost(attempt_record& record, context& ctx) {
    ++record.consecutive_silences;
    if (record.consecutive_silences < max_silences) {
        reopen(record, ctx);
        return;
    }
    const service_name service = record.request.service;
    if (server_state* server = find_server(record.server))
        handle_server_death(*server, ctx);
    dispatch_queued(find_or_add_service_work(service, ctx), ctx);
}

// ---- streams

void owner_side::on_event(const stream_opened& event, context& ctx) {
    if (attempt_record* record = m_state->find_running(event.server, event.stream))
        m_state->on_stream_activity(*record, ctx);
}

void owner_side::on_event(const stream_heartbeat& event, context& ctx) {
    if (attempt_record* record = m_state->find_running(event.server, event.stream))
        m_state->on_stream_activity(*record, ctx);
}

void owner_side::on_event(const stream_tokens& event, context& ctx) {
    attempt_record* record = m_state->find_running(event.server, event.stream);
    if (record == nullptr)
        return;
    m_state->on_stream_activity(*record, ctx);
    m_state->add_tokens(*record, event, ctx);
}

void owner_side::state::add_tokens(attempt_record& record, const stream_tokens& event, context& ctx) {
    const std::uint64_t next = record.next_index();
    if (event.first_index > next) {
        // Tokens in between are missing; the engine sends them again.
        reopen(record, ctx);
        return;
    }
    const std::uint64_t known = next - event.first_index;
    if (known >= event.tokens.size())
        return;
    std::vector<std::string> fresh(event.tokens.begin() + static_cast<std::ptrdiff_t>(known), event.tokens.end());
    record_token_timing(record, fresh.size(), ctx);
    for (const std::string& token : fresh) {
        record.checksum.add(token);
        record.tokens.push_back(token);
    }
    ctx.members.send(record.caller, attempt_tokens{record.request.attempt, next, std::move(fresh)}, ctx.out);
}

void owner_side::state::record_token_timing(attempt_record& record, std::size_t new_tokens, context& ctx) {
    server_state* server = find_server(record.server);
    if (server == nullptr)
        return;
    const service_name& service = record.request.service;
    if (!record.has_tokens) {
        costs.on_prefill(service, record.prefill_tokens, ctx.now - record.started);
        server->end_prefill(record);
        record.has_tokens = true;
        evidence.on_prompt_answered(record.request.prefix_hashes, ctx.now);
        record.first_token = ctx.now;
        record.last_token = ctx.now;
        // The prefill budget that the prompt used is free again.
        dispatch_queued(find_or_add_service_work(service, ctx), ctx);
        return;
    }
    const duration gap = (ctx.now - record.last_token) / static_cast<std::int64_t>(new_tokens);
    record.last_token = ctx.now;
    if (find_or_add_service_work(service, ctx).gap_samples < min_gap_samples)
        return;
    if (server->on_token_gap(gap, costs.predict_token_gap(service), ctx.now))
        ctx.out.push_back(log_change{"slow server treated as cold: " + record.server.value});
}

void owner_side::on_event(const stream_finished& event, context& ctx) {
    state& owner = *m_state;
    attempt_record* record = owner.find_running(event.server, event.stream);
    if (record == nullptr)
        return;
    m_state->on_stream_activity(*record, ctx);
    if (record->next_index() < event.token_count) {
        owner.reopen(*record, ctx);
        return;
    }
    const submit& request = record->request;
    state::service_work& work = owner.find_or_add_service_work(request.service, ctx);
    if (server_state* server = owner.find_server(event.server))
        server->count_completion(*record);
    owner.evidence.on_completed(request.fingerprint);
    owner.costs.on_output(request.service, request.account, static_cast<std::int64_t>(record->next_index()));
    if (record->tokens.size() > 1) {
        const auto gaps = static_cast<std::int64_t>(record->tokens.size() - 1);
        owner.costs.on_token_gap(request.service, (record->last_token - record->first_token) / gaps);
        ++work.gap_samples;
    }
    attempt_finished message{request.attempt,     record->next_index(), record->checksum.value(), event.finish_reason,
                             event.cached_tokens, event.server,         owner.summarize(ctx)};
    owner.finish(*record, std::move(message), ctx);
    owner.dispatch_queued(work, ctx);
}

// The server refused the attempt and did not run it: queues it again.
void owner_side::state::requeue_refused(attempt_record& record, backend_failure failure, context& ctx) {
    server_state* server = find_server(record.server);
    const service_name service = record.request.service;
    ctx.out.push_back(count{"owner_dispatches_refused", 1});
    if (server != nullptr && failure == backend_failure::overloaded)
        server->on_refused_work(ctx.now);
    if (server != nullptr && failure == backend_failure::out_of_memory)
        server->on_out_of_memory(ctx.now);
    // The engine reserves memory for the maximum output, not the predicted one.
    if (failure == backend_failure::out_of_memory)
        record.request.predicted_output_tokens =
            std::max(record.request.predicted_output_tokens, record.request.max_tokens);
    return_to_queue(record, ctx);
    if (server != nullptr && failure == backend_failure::refused)
        handle_server_death(*server, ctx);
    dispatch_queued(find_or_add_service_work(service, ctx), ctx);
}

void owner_side::on_event(const stream_failed& event, context& ctx) {
    state& owner = *m_state;
    attempt_record* record = owner.find_running(event.server, event.stream);
    if (record == nullptr)
        return;
    const bool opening = !record->known_to_server && record->consecutive_silences == 0;
    const service_name service = record->request.service;
    switch (event.failure) {
        case backend_failure::refused:
        case backend_failure::overloaded:
        case backend_failure::out_of_memory:
            if (opening) {
                owner.requeue_refused(*record, event.failure, ctx);
                return;
            }
            if (event.failure == backend_failure::refused) {
                owner.handle_server_death(*owner.find_server(event.server), ctx);
                break;
            }
            owner.on_connection_lost(*record, ctx);
            return;
        case backend_failure::rejected:
            if (opening && event.message.find("stream_exists") == std::string::npos) {
                owner.fail(*record, attempt_failure::bad_request, ran_state::no, event.message, ctx);
                break;
            }
            owner.on_connection_lost(*record, ctx);
            return;
        case backend_failure::unknown_stream:
            // Either the server restarted or it lost only this stream; a
            // listing shows which.
            record->stream_lost_at = ctx.now;
            owner.send_listing_request(*owner.find_server(event.server), ctx);
            return;
        case backend_failure::reset:
        case backend_failure::timed_out:
        case backend_failure::bad_answer:
            owner.on_connection_lost(*record, ctx);
            return;
    }
    owner.dispatch_queued(owner.find_or_add_service_work(service, ctx), ctx);
}

// ---- plain calls

void owner_side::on_event(const service_replied& event, context& ctx) {
    state& owner = *m_state;
    attempt_record* record = owner.find_call(event.server, event.attempt);
    if (record == nullptr)
        return;
    const service_name service = record->request.service;
    if (server_state* server = owner.find_server(event.server))
        server->count_completion(*record);
    owner.evidence.on_completed(record->request.fingerprint);
    owner.finish(*record, attempt_replied{event.attempt, event.status, event.content_type, event.body}, ctx);
    owner.dispatch_queued(owner.find_or_add_service_work(service, ctx), ctx);
}

void owner_side::on_event(const service_failed& event, context& ctx) {
    state& owner = *m_state;
    attempt_record* record = owner.find_call(event.server, event.attempt);
    if (record == nullptr)
        return;
    const service_name service = record->request.service;
    switch (event.failure) {
        case backend_failure::refused:
        case backend_failure::overloaded:
        case backend_failure::out_of_memory:
            owner.requeue_refused(*record, event.failure, ctx);
            return;
        case backend_failure::rejected:
            owner.fail(*record, attempt_failure::bad_request, ran_state::unknown, "the service rejected the call", ctx);
            break;
        case backend_failure::reset:
        case backend_failure::timed_out:
        case backend_failure::bad_answer:
        case backend_failure::unknown_stream:
            // The call may have run. The caller side decides whether to retry
            // it.
            owner.lost_plain_calls[event.server].emplace_back(ctx.now, record->request.fingerprint);
            if (server_state* server = owner.find_server(event.server))
                server->request_poll(ctx.now);
            owner.fail(*record, attempt_failure::server_died, ran_state::unknown, "connection lost after sending", ctx);
            break;
    }
    owner.dispatch_queued(owner.find_or_add_service_work(service, ctx), ctx);
    owner.poll_servers(ctx);
}

// ---- load and listings

void owner_side::on_event(const load_report& event, context& ctx) {
    state& owner = *m_state;
    server_state* server = owner.find_server(event.server);
    if (server == nullptr)
        return;
    const bool restarted = server->on_report(event, ctx.now);
    const service_name& service = server->server().service;
    if (server->check_stalls(owner.costs.predict_token_gap(service), ctx.now))
        ctx.out.push_back(log_change{"server with stalled answers treated as cold: " + event.server.value});
    auto& lost_calls = owner.lost_plain_calls[event.server];
    std::erase_if(lost_calls, [&](const auto& item) { return ctx.now - item.first > lost_call_retention; });
    if (restarted) {
        ctx.out.push_back(log_change{"restarted server treated as cold: " + event.server.value});
        std::vector<std::uint64_t> fingerprints;
        for (const auto& [when, fingerprint] : lost_calls)
            fingerprints.push_back(fingerprint);
        owner.evidence.on_server_death(fingerprints, false, ctx.now);
        lost_calls.clear();
    }
    if (lost_calls.empty())
        owner.lost_plain_calls.erase(event.server);
    owner.poll_servers(ctx);
    owner.dispatch_queued(owner.find_or_add_service_work(service, ctx), ctx);
}

void owner_side::on_event(const load_failed& event, context& ctx) {
    state& owner = *m_state;
    server_state* server = owner.find_server(event.server);
    if (server == nullptr)
        return;
    server->on_poll_failed(ctx.now);
    state::service_work& work = owner.find_or_add_service_work(server->server().service, ctx);
    if (event.failure == backend_failure::refused && !server->is_dead())
        owner.handle_server_death(*server, ctx);
    else
        owner.bounce_if_unreachable(work, ctx);
    owner.dispatch_queued(work, ctx);
}

void owner_side::on_event(const stream_listing& event, context& ctx) {
    state& owner = *m_state;
    server_state* server = owner.find_server(event.server);
    if (server == nullptr)
        return;
    const bool restarted = server->on_listing(event, owner.own_stream_suffix, ctx.now);
    owner.reconcile_streams(*server, event, restarted, ctx);
    owner.sweep(*server, event, ctx);
    if (!server->claim().on_listing(event, owner.self, ctx.now, owner.random))
        owner.remove_marker(*server, ctx);
    owner.dispatch_queued(owner.find_or_add_service_work(server->server().service, ctx), ctx);
    // End a claim that dispatched nothing: the listing is soon outdated.
    if (server->claim().is_confirmed())
        owner.end_claim(*server, ctx);
}

void owner_side::state::on_claim_answer(const memory_reserved& event, context& ctx) {
    server_state* server = find_server(event.server);
    if (server == nullptr)
        return;
    server->claim().on_answer(event.granted, ctx.now, random);
    if (server->claim().awaits_listing())
        send_listing_request(*server, ctx);
    else if (event.granted)
        remove_marker(*server, ctx);
}

// Compares the own running streams with those that the server lists. A missing
// stream died with a server that restarted. Without a restart, it is lost if
// the server reported it unknown before the listing.
void owner_side::state::reconcile_streams(server_state& server, const stream_listing& event, bool restarted,
                                          context& ctx) {
    std::vector<attempt_record*> died;
    std::vector<attempt_record*> lost;
    std::vector<attempt_record*> found;
    for (attempt_record* record : server.running()) {
        if (record->request.kind == call_kind::plain)
            continue;
        const bool listed =
            std::ranges::find(event.streams, record->stream, &listed_stream::stream) != event.streams.end();
        const bool old = record->started + max_listing_overtake < server.listing_sent_at();
        if (listed && record->stream_lost_at)
            found.push_back(record);
        else if (!listed && restarted && (old || record->stream_lost_at))
            died.push_back(record);
        else if (!listed && record->stream_lost_at && *record->stream_lost_at <= server.listing_sent_at())
            lost.push_back(record);
    }
    if (!died.empty())
        fail_crashed_attempts(died, ctx);
    for (attempt_record* record : lost)
        fail_as_server_died(*record, evidence.strikes(record->request.fingerprint, ctx.now), ctx);
    for (attempt_record* record : found) {
        record->stream_lost_at.reset();
        on_connection_lost(*record, ctx);
    }
}

void owner_side::state::sweep(const server_state& server, const stream_listing& event, context& ctx) {
    if (!server.owned())
        return;
    const server_name& name = server.server().name;
    const auto is_known = [&](std::string_view id) {
        return find_running(name, id) != nullptr || parts.contains(std::string(id));
    };
    const memory_sweep::result swept = sweeps[name].on_listing(event, ctx.members, is_known, ctx.now);
    for (const std::string& stream : swept.streams)
        ctx.out.push_back(cancel_stream{name, server.server().address, stream});
    for (const std::string& reservation : swept.reservations)
        ctx.out.push_back(release_memory{name, server.server().address, reservation});
    const std::size_t freed = swept.streams.size() + swept.reservations.size();
    if (freed > 0)
        ctx.out.push_back(count{"owner_swept", static_cast<std::int64_t>(freed)});
}

void owner_side::on_event(const cache_event& /*event*/, context& /*ctx*/) {
    // Cached prefixes are tracked by prefix_index at the caller side.
}

}  // namespace verbenahold
