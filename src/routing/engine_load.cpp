#include "engine_load.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

bool is_interactive(const work_item& item) {
    return item.writes && item.pause_target.count() > 0 && item.pause_target <= short_pause;
}

}  // namespace

double reading_ms(const engine_figures& engine, std::int64_t tokens) {
    const auto count = static_cast<double>(tokens);
    const double million_pairs = count * count / 2 / 1e6;
    return count / engine.read_tokens_per_ms + million_pairs * engine.read_ms_per_1m_pairs;
}

double pass_ms(const engine_figures& engine, const server_load& load) {
    const double step = engine.step_ms + engine.step_ms_per_sequence * load.places +
                        engine.step_ms_per_1k_context * static_cast<double>(load.context_tokens) / 1'000;
    return step * engine.steps_per_pass;
}

void engine_load::add(work_id id, const work_item& item, time_point now, time_point expires) {
    auto& request = m_requests[id];
    request.expires = expires;
    request.items.push_back(item);
    auto& server = m_servers[item.server];
    if (item.writes) {
        ++server.load.places;
        server.load.context_tokens += item.context_tokens;
    }
    if (is_interactive(item)) {
        ++server.load.short_sequences;
    }
    if (request.reading) {
        ++server.reading_items;
        const auto takes = std::chrono::microseconds(static_cast<std::int64_t>(item.read_ms * 1'000));
        server.reading_ends = std::max(server.reading_ends, now) + takes;
    }
}

void engine_load::stop_reading(tracked_request& request, time_point now) {
    if (!request.reading) {
        return;
    }
    request.reading = false;
    for (const auto& item : request.items) {
        auto& server = m_servers[item.server];
        if (--server.reading_items <= 0) {
            server.reading_items = 0;
            server.reading_ends = now;
        }
    }
}

void engine_load::detach(const tracked_request& request, time_point now) {
    for (const auto& item : request.items) {
        const auto found = m_servers.find(item.server);
        if (found == m_servers.end()) {
            continue;
        }
        auto& load = found->second.load;
        if (item.writes) {
            --load.places;
            load.context_tokens -= item.context_tokens;
        }
        if (is_interactive(item)) {
            --load.short_sequences;
        }
        if (load.places <= 0 && found->second.reading_items == 0 && found->second.reading_ends <= now) {
            m_servers.erase(found);
        }
    }
}

void engine_load::reading_done(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found != m_requests.end()) {
        stop_reading(found->second, now);
    }
}

void engine_load::remove(work_id id, time_point now) {
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    stop_reading(found->second, now);
    detach(found->second, now);
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
}

server_load engine_load::load_of(const server_name& server, time_point now) const {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return {};
    }
    server_load load = found->second.load;
    const auto left = found->second.reading_ends - now;
    load.backlog_ms = std::max(0.0, std::chrono::duration<double, std::milli>(left).count());
    return load;
}

}  // namespace verbenahold::serving
