#include "engine_load.hpp"

#include "duration_units.hpp"

#include <algorithm>

namespace verbenahold::serving {

bool is_interactive(duration pause_target) {
    return pause_target.count() > 0 && pause_target <= short_pause;
}

double reading_ms(const engine_figures& engine, std::int64_t tokens) {
    const auto count = static_cast<double>(tokens);
    const double million_pairs = count * count / 2 / 1e6;
    return count / engine.read_tokens_per_ms + million_pairs * engine.read_ms_per_1m_pairs;
}

double pass_ms(const engine_figures& engine, const server_load& load) {
    const double step = engine.step_ms + engine.step_ms_per_sequence * load.places +
                        engine.step_ms_per_1k_context * static_cast<double>(load.context_tokens) / 1'000;
    return step * engine.steps_per_pass * load.pace;
}

namespace {

bool is_stream(const work_item& item) {
    return item.writes && item.pause_target.count() > 0;
}

// How long a server without requests is kept after its last event or report.
constexpr duration activity_memory = std::chrono::seconds(30);

}  // namespace

void engine_load::note_activity(const server_name& server, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        found->second.last_activity = now;
    }
}

time_point engine_load::last_activity(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{} : found->second.last_activity;
}

time_point engine_load::last_sign_of_life(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{} : std::max(found->second.last_activity, found->second.reported);
}

time_point engine_load::newest_read(const server_name& server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? time_point{} : found->second.newest_read;
}

void engine_load::add(work_id id, const work_item& item, time_point now, time_point expires) {
    auto& request = m_requests[id];
    request.expires = expires;
    request.added = now;
    request.items.push_back(item);
    auto& server = m_servers[item.server];
    server.load.places += item.writes ? 1 : 0;
    server.load.context_tokens += item.context_tokens;
    server.most_places = std::max(server.most_places, server.load.places);
    server.most_tokens = std::max(server.most_tokens, server.load.context_tokens);
    if (is_stream(item)) {
        server.streams[id] = {item.pause_target, item.weight};
        server.load.short_sequences += is_interactive(item.pause_target) ? 1 : 0;
    }
    if (request.reading) {
        server.readers[id] = {now, item.latency_target, item.weight};
        const auto takes = from_ms(item.read_ms * server.pace);
        server.reading_ends = std::max(server.reading_ends, now) + takes;
    }
}

void engine_load::on_report(const server_report& report, time_point now) {
    auto& server = m_servers[report.server];
    server.foreign_requests = std::max(0, report.requests - server.most_places);
    server.foreign_tokens = std::max<std::int64_t>(0, report.held_tokens - server.most_tokens);
    server.pace = std::clamp(report.pace, 1.0, largest_pace);
    server.reported = now;
    server.most_places = server.load.places;
    server.most_tokens = server.load.context_tokens;
}

void engine_load::stop_reading(work_id id, tracked_request& request, time_point now) {
    if (!request.reading) {
        return;
    }
    request.reading = false;
    for (const auto& item : request.items) {
        auto& server = m_servers[item.server];
        server.readers.erase(id);
        if (server.readers.empty()) {
            server.reading_ends = now;
        }
    }
}

void engine_load::detach(work_id id, const tracked_request& request) {
    for (const auto& item : request.items) {
        const auto found = m_servers.find(item.server);
        if (found == m_servers.end()) {
            continue;
        }
        auto& load = found->second.load;
        load.places -= item.writes ? 1 : 0;
        load.context_tokens -= item.context_tokens;
        if (is_stream(item) && found->second.streams.erase(id) > 0) {
            load.short_sequences -= is_interactive(item.pause_target) ? 1 : 0;
        }
    }
}

void engine_load::reading_done(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    stop_reading(id, found->second, now);
    const auto& items = found->second.items;
    // The first event of a spread prompt waits for the slowest part, so it gives
    // no evidence about the progress of each server.
    if (items.size() == 1) {
        auto& server = m_servers[items.front().server];
        server.newest_read = std::max(server.newest_read, found->second.added);
        server.last_activity = now;
    }
}

void engine_load::remove(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    stop_reading(id, found->second, now);
    detach(id, found->second);
    m_requests.erase(found);
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
        return server.load.places <= 0 && server.readers.empty() && now - server.last_activity > activity_memory &&
               now - server.reported > activity_memory;
    });
}

server_load engine_load::load_of(const server_name& server, time_point now) const {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return {};
    }
    server_load load = found->second.load;
    const auto left = found->second.reading_ends - now;
    load.backlog_ms = std::max(0.0, to_ms(left));
    if (now - found->second.reported < report_lifetime) {
        load.places += found->second.foreign_requests;
        load.context_tokens += found->second.foreign_tokens;
        load.pace = found->second.pace;
    }
    for (const auto& [id, reader] : found->second.readers) {
        load.readers.push_back(reader);
    }
    for (const auto& [id, stream] : found->second.streams) {
        load.streams.push_back(stream);
    }
    return load;
}

}  // namespace verbenahold::serving
