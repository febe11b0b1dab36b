#include "group_reservation.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace verbenahold {

group_reservation::group_reservation(std::uint64_t seed) : m_random(seed) {}

void group_reservation::start(std::vector<candidate> candidates, std::int64_t total_tokens, const attempt_id& attempt,
                              duration time_left, time_point now, std::vector<outgoing>& out) {
    m_attempt = attempt;
    m_total_tokens = total_tokens;
    m_deadline = now + time_left;
    m_servers.clear();
    m_round = 0;
    refresh(std::move(candidates));
    begin_round(now, out);
}

void group_reservation::refresh(std::vector<candidate> candidates) {
    std::vector<known_server> servers;
    for (candidate& fresh : candidates) {
        const auto known = std::find_if(m_servers.begin(), m_servers.end(),
                                        [&](const known_server& server) { return server.data.server == fresh.server; });
        const int refusals = known == m_servers.end() ? 0 : known->refusals;
        servers.push_back({std::move(fresh), refusals});
    }
    m_servers = std::move(servers);
}

// Plans parts on as few servers as can hold the total, starting with those that
// refused least often. In a smaller group, fewer servers can refuse or die.
bool group_reservation::plan_parts() {
    m_planned.clear();
    std::vector<const known_server*> order;
    for (const known_server& server : m_servers) {
        if (server.data.free_kv_tokens > 0) {
            order.push_back(&server);
        }
    }
    std::sort(order.begin(), order.end(), [](const known_server* left, const known_server* right) {
        return std::tuple(left->refusals, -left->data.free_kv_tokens, left->data.server.value) <
               std::tuple(right->refusals, -right->data.free_kv_tokens, right->data.server.value);
    });
    std::int64_t missing = m_total_tokens;
    for (const known_server* server : order) {
        if (missing <= 0) {
            break;
        }
        const std::int64_t tokens = std::min(missing, server->data.free_kv_tokens);
        missing -= tokens;
        const std::string name = to_string(m_attempt) + '.' + to_string(server->data.owner) + ".part" +
                                 std::to_string(m_round) + '-' + std::to_string(m_planned.size());
        m_planned.push_back({server->data.owner, {server->data.server, name, tokens}});
    }
    std::sort(m_planned.begin(), m_planned.end(), [](const planned_part& left, const planned_part& right) {
        return left.part.server.value < right.part.server.value;
    });
    return missing <= 0;
}

void group_reservation::begin_round(time_point now, std::vector<outgoing>& out) {
    ++m_round;
    if (!plan_parts()) {
        m_planned.clear();
        abort_round(now, out);
        return;
    }
    m_phase = phase::requesting;
    m_current = 0;
    m_round_deadline = std::min(m_deadline, now + group_round_timeout);
    m_answer_deadline = now + part_answer_timeout;
    request_current_part(now, out);
}

void group_reservation::request_current_part(time_point now, std::vector<outgoing>& out) {
    planned_part& planned = m_planned[m_current];
    planned.requested = true;
    m_repeat_at = now + part_request_interval;
    const memory_part& part = planned.part;
    out.push_back({part.server, reserve_part{m_attempt, part.server, part.reservation, part.tokens, part_expiry}});
}

void group_reservation::on_answer(const part_answer& answer, time_point now, std::vector<outgoing>& out) {
    if (answer.attempt != m_attempt) {
        return;
    }
    if (m_phase == phase::complete && !answer.granted) {
        // A part expired or its server died before the stream was started.
        const bool lost = std::any_of(m_planned.begin(), m_planned.end(), [&](const planned_part& planned) {
            return planned.part.reservation == answer.reservation;
        });
        if (lost) {
            count_refusal(answer.server);
            abort_round(now, out);
        }
        return;
    }
    // Ignore repeated answers and answers to parts of earlier rounds.
    if (m_phase != phase::requesting || answer.reservation != m_planned[m_current].part.reservation) {
        return;
    }
    if (!answer.granted) {
        count_refusal(answer.server);
        abort_round(now, out);
        return;
    }
    if (now >= m_round_deadline) {
        abort_round(now, out);
        return;
    }
    ++m_current;
    if (m_current == m_planned.size()) {
        complete(now, out);
        return;
    }
    m_answer_deadline = now + part_answer_timeout;
    request_current_part(now, out);
}

void group_reservation::count_refusal(const server_name& server) {
    for (known_server& known : m_servers) {
        if (known.data.server == server) {
            ++known.refusals;
        }
    }
}

// Chooses the lead and confirms the other parts. The lead's part needs no
// confirmation, because the stream takes its memory right away.
void group_reservation::complete(time_point now, std::vector<outgoing>& out) {
    m_phase = phase::complete;
    const auto largest = std::max_element(
        m_planned.begin(), m_planned.end(),
        [](const planned_part& left, const planned_part& right) { return left.part.tokens < right.part.tokens; });
    m_lead = largest->part.server;
    m_parts.clear();
    for (const planned_part& planned : m_planned) {
        if (planned.part.server != m_lead) {
            m_parts.push_back(planned.part);
        }
    }
    confirm_parts(now, out);
}

void group_reservation::confirm_parts(time_point now, std::vector<outgoing>& out) {
    m_confirm_at = now + confirm_interval;
    for (const memory_part& part : m_parts) {
        out.push_back({part.server, confirm_part{m_attempt, part.server, part.reservation}});
    }
}

void group_reservation::hand_over(std::vector<outgoing>& out) {
    if (m_phase != phase::complete) {
        return;
    }
    m_phase = phase::handed_over;
    const auto lead = std::find_if(m_planned.begin(), m_planned.end(),
                                   [&](const planned_part& planned) { return planned.part.server == m_lead; });
    out.push_back({m_lead, release_part{m_attempt, m_lead, lead->part.reservation}});
    m_planned.erase(lead);
}

void group_reservation::on_tick(time_point now, std::vector<outgoing>& out) {
    if (m_phase == phase::backing_off && now >= m_retry_at) {
        begin_round(now, out);
        return;
    }
    const bool held = m_phase == phase::complete || m_phase == phase::handed_over;
    if (held && now >= m_confirm_at) {
        confirm_parts(now, out);
        return;
    }
    if (m_phase != phase::requesting) {
        return;
    }
    if (now >= m_answer_deadline || now >= m_round_deadline) {
        count_refusal(m_planned[m_current].part.server);
        abort_round(now, out);
        return;
    }
    if (now >= m_repeat_at) {
        request_current_part(now, out);
    }
}

void group_reservation::abort_round(time_point now, std::vector<outgoing>& out) {
    release_all(out);
    // Exponential backoff. Half of it is random, so that groups that collided do
    // not collide again.
    const duration backoff = std::min(max_group_backoff, min_group_backoff * (1 << std::min(m_round - 1, 10)));
    const duration half = backoff / 2;
    const duration wait = half + duration(std::uniform_int_distribution<duration::rep>(0, half.count())(m_random));
    if (now + wait >= m_deadline) {
        return;
    }
    m_phase = phase::backing_off;
    m_retry_at = now + wait;
}

void group_reservation::release_all(std::vector<outgoing>& out) {
    m_phase = phase::failed;
    for (const planned_part& planned : m_planned) {
        // Includes parts without an answer, which may have been granted.
        if (planned.requested) {
            out.push_back(
                {planned.part.server, release_part{m_attempt, planned.part.server, planned.part.reservation}});
        }
    }
    m_planned.clear();
    m_parts.clear();
}

group_reservation::state group_reservation::current_state() const {
    switch (m_phase) {
        case phase::requesting:
        case phase::backing_off:
            return state::pending;
        case phase::complete:
        case phase::handed_over:
            return state::complete;
        case phase::failed:
            break;
    }
    return state::failed;
}

std::optional<time_point> group_reservation::next_wakeup() const {
    if (m_phase == phase::requesting) {
        return std::min({m_answer_deadline, m_round_deadline, m_repeat_at});
    }
    if (m_phase == phase::backing_off) {
        return m_retry_at;
    }
    if (m_phase == phase::complete || m_phase == phase::handed_over) {
        return m_confirm_at;
    }
    return std::nullopt;
}

}  // namespace verbenahold
