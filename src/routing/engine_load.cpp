#include "engine_load.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

bool is_interactive(duration event_gap_target) {
    return event_gap_target.count() > 0 && event_gap_target <= max_interactive_gap;
}

double prefill_time_ms(const engine_cost_model& engine, std::int64_t tokens) {
    const auto count = static_cast<double>(tokens);
    const double million_pairs = count * count / 2 / 1e6;
    return count / engine.prefill_tokens_per_ms + million_pairs * engine.prefill_ms_per_1m_token_pairs;
}

double decode_share_ms(const engine_cost_model& engine, std::int64_t prompt_tokens, double answer_tokens) {
    // The context grows by one token in each step.
    const double mean_context = static_cast<double>(prompt_tokens) + answer_tokens / 2;
    const double slot_ms = engine.step_ms / std::max(1, engine.batch_slots) + engine.step_ms_per_sequence +
                           engine.step_ms_per_1k_context * mean_context / 1'000;
    return answer_tokens * slot_ms;
}

double decode_iteration_ms(const engine_cost_model& engine, const server_load& load) {
    const double step = engine.step_ms + engine.step_ms_per_sequence * load.used_slots +
                        engine.step_ms_per_1k_context * static_cast<double>(load.context_tokens) / 1'000;
    return step * engine.steps_per_iteration * load.slowdown;
}

namespace {

bool is_stream(const work_item& item) {
    return item.decodes && item.event_gap_target.count() > 0;
}

// How long a server without requests is kept after its last event or report.
constexpr duration idle_server_retention = std::chrono::seconds(30);

}  // namespace

void engine_load::on_stream_event(const server_name& server, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        found->second.last_stream_event = now;
    }
}

time_point engine_load::last_stream_event(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{} : found->second.last_stream_event;
}

time_point engine_load::last_event_or_report(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{}
                                    : std::max(found->second.last_stream_event, found->second.last_report);
}

time_point engine_load::newest_prefilled_sent_at(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{} : found->second.newest_prefilled_sent_at;
}

void engine_load::add(work_id id, const work_item& item, time_point now, time_point expires) {
    auto& request = m_requests[id];
    request.expires = expires;
    request.added = now;
    request.items.push_back(item);
    auto& server = m_servers[item.server];
    if (item.decodes) {
        ++server.load.used_slots;
        server.load.slots_changed = now;
    }
    server.load.context_tokens += item.context_tokens;
    server.max_used_slots = std::max(server.max_used_slots, server.load.used_slots);
    server.max_context_tokens = std::max(server.max_context_tokens, server.load.context_tokens);
    if (is_stream(item)) {
        server.streams[id] = {item.event_gap_target, item.weight};
        server.load.interactive_sequences += is_interactive(item.event_gap_target) ? 1 : 0;
    }
    if (request.in_prefill) {
        server.pending_prefills[id] = {now, item.latency_target, item.weight};
        const auto takes = from_ms(item.prefill_ms * server.slowdown);
        server.prefill_ends = std::max(server.prefill_ends, now) + takes;
    }
}

void engine_load::on_report(const server_report& report, time_point now) {
    auto& server = m_servers[report.server];
    server.untracked_requests = std::max(0, report.requests - server.max_used_slots);
    server.untracked_tokens = std::max<std::int64_t>(0, report.held_tokens - server.max_context_tokens);
    server.slowdown = std::clamp(report.slowdown, 1.0, max_slowdown);
    server.last_report = now;
    server.max_used_slots = server.load.used_slots;
    server.max_context_tokens = server.load.context_tokens;
}

void engine_load::end_prefill(work_id id, tracked_request& request, time_point now) {
    if (!request.in_prefill) {
        return;
    }
    request.in_prefill = false;
    for (const auto& item : request.items) {
        auto& server = m_servers[item.server];
        server.pending_prefills.erase(id);
        if (server.pending_prefills.empty()) {
            server.prefill_ends = now;
        }
    }
}

void engine_load::remove_from_servers(work_id id, const tracked_request& request, time_point now) {
    for (const auto& item : request.items) {
        const auto found = m_servers.find(item.server);
        if (found == m_servers.end()) {
            continue;
        }
        auto& load = found->second.load;
        if (item.decodes) {
            --load.used_slots;
            load.slots_changed = now;
        }
        load.context_tokens -= item.context_tokens;
        if (is_stream(item) && found->second.streams.erase(id) > 0) {
            load.interactive_sequences -= is_interactive(item.event_gap_target) ? 1 : 0;
        }
    }
}

void engine_load::on_prefill_done(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    end_prefill(id, found->second, now);
    const auto& items = found->second.items;
    // The first event of a spread prompt waits for the slowest part, so it gives
    // no evidence about the progress of each server.
    if (items.size() == 1) {
        auto& server = m_servers[items.front().server];
        server.newest_prefilled_sent_at = std::max(server.newest_prefilled_sent_at, found->second.added);
        server.last_stream_event = now;
    }
}

void engine_load::remove(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    end_prefill(id, found->second, now);
    remove_from_servers(id, found->second, now);
    m_requests.erase(found);
}

std::vector<open_work> engine_load::list_open_work(std::uint64_t daemon, time_point now) const {
    // Servers prefill side by side what was placed on them, so each prompt has the same
    // fraction of its prefill left.
    std::map<server_name, double> placed_ms;
    for (const auto& [id, request] : m_requests) {
        for (const auto& item : request.items) {
            placed_ms[item.server] += request.in_prefill ? item.prefill_ms : 0;
        }
    }
    std::vector<open_work> found;
    for (auto next = m_requests.lower_bound({daemon, 0}); next != m_requests.end() && next->first.daemon == daemon;
         ++next) {
        const auto& request = next->second;
        found.push_back({next->first, request.items, request.in_prefill, request.expires - now});
        for (auto& item : found.back().items) {
            const auto server = m_servers.find(item.server);
            const bool is_reading = request.in_prefill && server != m_servers.end() && placed_ms[item.server] > 0;
            const double backlog_ms = is_reading ? std::max(0.0, to_ms(server->second.prefill_ends - now)) : 0;
            const double left = is_reading ? backlog_ms / placed_ms[item.server] : 0;
            item.prefill_ms *= std::min(1.0, left);
        }
    }
    return found;
}

void engine_load::remove_daemon(std::uint64_t daemon, time_point now) {
    std::vector<work_id> gone;
    for (auto next = m_requests.lower_bound({daemon, 0}); next != m_requests.end() && next->first.daemon == daemon;
         ++next) {
        gone.push_back(next->first);
    }
    for (const auto& id : gone) {
        remove(id, now);
    }
}

void engine_load::drop_expired(time_point now) {
    std::vector<work_id> expired;
    for (const auto& [id, request] : m_requests) {
        if (request.expires <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        remove(id, now);
    }
    std::erase_if(m_servers, [&](const auto& entry) {
        const auto& server = entry.second;
        return server.load.used_slots <= 0 && server.pending_prefills.empty() &&
               now - server.last_stream_event > idle_server_retention &&
               now - server.last_report > idle_server_retention;
    });
}

server_load engine_load::load_of(const server_name& server, time_point now) const {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return {};
    }
    server_load load = found->second.load;
    const auto left = found->second.prefill_ends - now;
    load.backlog_ms = std::max(0.0, to_ms(left));
    if (now - found->second.last_report < report_lifetime) {
        load.used_slots += found->second.untracked_requests;
        load.context_tokens += found->second.untracked_tokens;
        load.slowdown = found->second.slowdown;
    }
    for (const auto& [id, prefill] : found->second.pending_prefills) {
        load.pending_prefills.push_back(prefill);
    }
    for (const auto& [id, stream] : found->second.streams) {
        load.streams.push_back(stream);
        load.streams.back().in_prefill = found->second.pending_prefills.contains(id);
    }
    return load;
}

}  // namespace verbenahold::serving
