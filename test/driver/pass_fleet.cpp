#include "pass_fleet.hpp"

#include "duration_units.hpp"
#include "waiting.hpp"

#include <algorithm>
#include <cmath>

namespace verbenahold::serving {

pass_fleet::pass_fleet(int servers, const engine_figures& engine, placement_policy policy, std::uint64_t seed)
    : m_engine(engine), m_placer(policy, seed), m_random(seed) {
    m_service.name = service_name("llm");
    m_service.engine = engine;
    for (int index = 0; index < servers; ++index) {
        engine_server made;
        made.entry.id = server_name("server-" + std::to_string(index));
        made.entry.service = m_service.name;
        made.entry.address = "10.0.0." + std::to_string(index) + ":80";
        m_registry.update(made.entry, {});
        m_servers.push_back(std::move(made));
    }
}

std::size_t pass_fleet::index_of(const server_name& id) const {
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                    [&](const engine_server& server) { return server.entry.id == id; });
    return static_cast<std::size_t>(found - m_servers.begin());
}

std::vector<played_answer> pass_fleet::play(const std::vector<played_kind>& kinds, duration length) {
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        std::exponential_distribution<double> gap(kinds[kind].per_second / 1'000);
        for (double at_ms = gap(m_random); from_ms(at_ms) < length; at_ms += gap(m_random)) {
            const time_point at(from_ms(at_ms));
            m_events.push({at, m_arrivals.size(), true});
            m_arrivals.push_back({kind, 0, at});
        }
    }
    while (!m_events.empty()) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        if (next.arrives) {
            arrive(kinds, next.index);
        } else {
            end_pass(next.index);
        }
    }
    std::vector<played_answer> answers;
    for (const auto& each : m_requests) {
        answers.push_back(each.answer);
    }
    return answers;
}

// Waits as a daemon does. A caller that is refused does not retry.
void pass_fleet::wait_or_refuse(const played_kind& played, std::size_t index, const no_placement& reason) {
    const auto& caller = m_arrivals[index];
    const auto waited = m_now - caller.first_asked;
    const waiting_request waiting{&played.matched, waited, played.matched.timeout - waited, false, true};
    const auto decision = decide_waiting(waiting, reason);
    if (const auto* again = std::get_if<ask_again>(&decision)) {
        m_events.push({m_now + again->after, index, true});
        return;
    }
    request refused;
    refused.answer.kind = caller.kind;
    refused.answer.refused = true;
    m_requests.push_back(refused);
}

void pass_fleet::arrive(const std::vector<played_kind>& kinds, std::size_t index) {
    auto& caller = m_arrivals[index];
    const auto& played = kinds[caller.kind];
    if (caller.prompt == 0) {
        const double mu = std::log(played.mean_prompt) - played.spread * played.spread / 2;
        caller.prompt = std::min(std::lognormal_distribution<double>(mu, played.spread)(m_random), played.most_prompt);
    }
    const double prompt = caller.prompt;
    request made;
    made.answer.kind = caller.kind;
    made.sent = caller.first_asked;
    made.events_left = played.events;
    placement_request wanted;
    wanted.wanted = &m_service;
    wanted.matched = &played.matched;
    wanted.prompt_tokens = static_cast<std::int64_t>(prompt);
    wanted.max_output_tokens = played.events * m_engine.steps_per_pass;
    wanted.time_left = played.matched.timeout;
    const auto result = m_placer.place(
        wanted, m_registry, m_load, [](const server_entry&) { return true; }, m_now);
    if (const auto* none = std::get_if<no_placement>(&result)) {
        wait_or_refuse(played, index, *none);
        return;
    }
    made.placed = std::get<placement>(result);
    made.work = {1, m_requests.size()};
    made.first_server = index_of(made.placed.first.id);
    made.parts_left = 1 + made.placed.helpers.size();
    const auto number = m_requests.size();
    const auto parts = static_cast<double>(made.parts_left);
    const double alone_ms = reading_ms(m_engine, wanted.prompt_tokens);
    const auto context = wanted.prompt_tokens + wanted.max_output_tokens;
    const double weight = std::max(1.0, prompt / m_engine.usual_prompt_tokens);
    const auto& matched = played.matched;
    m_load.add(made.work,
               {made.placed.first.id, made.placed.part_ms, context, true, matched.pause_target, matched.latency_target,
                weight},
               m_now, m_now + matched.timeout);
    std::vector<std::size_t> targets{made.first_server};
    for (const auto& helper : made.placed.helpers) {
        targets.push_back(index_of(helper.server.id));
        m_load.add(made.work, {helper.server.id, made.placed.part_ms, 0, false, {}, matched.latency_target, weight},
                   m_now, m_now + matched.timeout);
    }
    m_requests.push_back(made);
    for (const auto target : targets) {
        const bool helps = target != targets.front();
        m_servers[target].waiting.push_back({number, prompt / parts, alone_ms / prompt, helps});
        if (!m_servers[target].busy) {
            begin_pass(target);
        }
    }
}

std::vector<pass_fleet::part>::iterator pass_fleet::next_part(engine_server& server) const {
    const auto reading =
        std::count_if(server.in_pass.begin(), server.in_pass.end(), [](const part& each) { return !each.helps; });
    const bool place_left = static_cast<std::ptrdiff_t>(server.writers.size()) + reading <
                            static_cast<std::ptrdiff_t>(m_engine.batch_slots);
    return std::find_if(server.waiting.begin(), server.waiting.end(),
                        [&](const part& each) { return each.helps || place_left; });
}

// An iteration with decoding sequences has a fixed number of steps, each of which
// prefills up to a maximum number of tokens. An iteration without them prefills
// everything that waits.
void pass_fleet::begin_pass(std::size_t index) {
    auto& server = m_servers[index];
    server.pass_writes = !server.writers.empty();
    const double bound =
        server.pass_writes ? static_cast<double>(m_engine.read_tokens_per_step) * m_engine.steps_per_pass : 1e12;
    double read = 0;
    double takes_ms = 0;
    for (auto found = next_part(server); found != server.waiting.end() && read < bound; found = next_part(server)) {
        auto& next = *found;
        const double now_read = std::min(next.tokens, bound - read);
        read += now_read;
        takes_ms += now_read * next.ms_per_token;
        next.tokens -= now_read;
        if (next.tokens > 0.5) {
            break;
        }
        server.in_pass.push_back(next);
        server.waiting.erase(found);
    }
    if (server.pass_writes) {
        server_load load;
        load.places = static_cast<int>(server.writers.size());
        takes_ms += pass_ms(m_engine, load);
    }
    server.busy = true;
    m_events.push({m_now + from_ms(takes_ms), index, false});
}

void pass_fleet::emit(request& which) {
    const auto since_sent = m_now - which.sent;
    if (which.last_event == time_point{}) {
        which.answer.first_event = since_sent;
        m_load.reading_done(which.work, m_now);
    } else {
        which.answer.longest_pause = std::max(which.answer.longest_pause, m_now - which.last_event);
    }
    which.last_event = m_now;
    if (--which.events_left == 0) {
        which.answer.finished = true;
        m_load.remove(which.work, m_now);
    }
}

void pass_fleet::end_pass(std::size_t index) {
    auto& server = m_servers[index];
    server.busy = false;
    if (!server.pass_writes && server.writers.empty() && !server.waiting.empty()) {
        begin_pass(index);
        return;
    }
    if (server.pass_writes) {
        for (const auto number : server.writers) {
            emit(m_requests[number]);
        }
        std::erase_if(server.writers, [&](std::size_t number) { return m_requests[number].events_left == 0; });
    }
    const auto done = std::exchange(server.in_pass, {});
    for (const auto& finished : done) {
        auto& which = m_requests[finished.request];
        if (--which.parts_left > 0) {
            continue;
        }
        emit(which);
        if (which.events_left > 0) {
            m_servers[which.first_server].writers.push_back(finished.request);
            if (!m_servers[which.first_server].busy) {
                begin_pass(which.first_server);
            }
        }
    }
    if (!server.busy && (!server.waiting.empty() || !server.writers.empty())) {
        begin_pass(index);
    }
}

}  // namespace verbenahold::serving
