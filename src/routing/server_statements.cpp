#include "server_statements.hpp"

#include <algorithm>

namespace verbenahold::serving {

namespace {

// Whether two start times tell apart two runs of a server.
bool are_different_runs(std::int64_t left, std::int64_t right) {
    return left != 0 && right != 0 && left != right;
}

}  // namespace

bool server_statements::on_leaving(const leaving_statement& statement, time_point now) {
    const auto listed = m_listed_runs.find(statement.server);
    // Word of an earlier run may come late.
    if (listed != m_listed_runs.end() && are_different_runs(listed->second, statement.started_at_unix_ms) &&
        statement.started_at_unix_ms < listed->second) {
        return false;
    }
    const auto [found, inserted] = m_leaving.try_emplace(statement.server);
    auto& known = found->second;
    if (!inserted && statement.started_at_unix_ms <= known.started_at_unix_ms) {
        return false;
    }
    known.started_at_unix_ms = statement.started_at_unix_ms;
    known.gone_since = listed == m_listed_runs.end() ? std::optional(now) : std::nullopt;
    return true;
}

bool server_statements::on_pause(const server_name& server, std::int64_t started_at_unix_ms, duration wanted,
                                 time_point now) {
    auto& known = m_pausing[server];
    const bool is_new = known.until <= now;
    known.started_at_unix_ms = started_at_unix_ms;
    known.until = std::max(known.until, now + std::min(wanted, max_pause));
    known.asked_again_at.reset();
    return is_new;
}

void server_statements::on_answer(const server_name& server, time_point now) {
    const auto found = m_pausing.find(server);
    if (found != m_pausing.end() && found->second.until <= now) {
        m_pausing.erase(found);
    }
}

void server_statements::on_sent(const server_name& server, time_point now) {
    m_limits.on_sent(server, now);
    const auto found = m_pausing.find(server);
    if (found != m_pausing.end() && found->second.until <= now) {
        found->second.asked_again_at = now;
    }
}

void server_statements::on_entry(const server_entry& entry, time_point now) {
    auto& listed_run = m_listed_runs[entry.id];
    if (are_different_runs(listed_run, entry.started_at_unix_ms)) {
        m_limits.forget(entry.id);
        m_unreadable.erase(entry.id);
    }
    listed_run = entry.started_at_unix_ms;
    const auto pausing = m_pausing.find(entry.id);
    if (pausing != m_pausing.end() &&
        are_different_runs(pausing->second.started_at_unix_ms, entry.started_at_unix_ms)) {
        m_pausing.erase(pausing);
    }
    const auto found = m_leaving.find(entry.id);
    if (found == m_leaving.end()) {
        return;
    }
    auto& leaving = found->second;
    const bool runs_known = leaving.started_at_unix_ms != 0 && entry.started_at_unix_ms != 0;
    if (entry.phase == server_phase::draining) {
        leaving.gone_since = leaving.gone_since.value_or(now);
    } else if (are_different_runs(leaving.started_at_unix_ms, entry.started_at_unix_ms) ||
               (!runs_known && leaving.gone_since)) {
        m_leaving.erase(found);
    } else {
        leaving.gone_since.reset();
    }
}

void server_statements::on_entry_gone(const server_name& server, time_point now) {
    m_limits.forget(server);
    m_unreadable.erase(server);
    m_listed_runs.erase(server);
    std::erase_if(m_pausing, [&](const auto& entry) { return entry.second.until <= now; });
    const auto found = m_leaving.find(server);
    if (found != m_leaving.end()) {
        found->second.gone_since = found->second.gone_since.value_or(now);
    }
    std::erase_if(m_leaving, [&](const auto& entry) {
        return entry.second.gone_since && now - *entry.second.gone_since > leaving_retention;
    });
}

bool server_statements::is_leaving(const server_entry& server) const {
    const auto found = m_leaving.find(server.id);
    return found != m_leaving.end() && !are_different_runs(found->second.started_at_unix_ms, server.started_at_unix_ms);
}

bool server_statements::is_pausing(const server_name& server, time_point now) const {
    const auto found = m_pausing.find(server);
    return found != m_pausing.end() && now < found->second.until;
}

bool server_statements::may_send(const server_entry& server, time_point now) {
    if (is_leaving(server)) {
        return false;
    }
    const auto found = m_pausing.find(server.id);
    if (found != m_pausing.end()) {
        const auto& pause = found->second;
        const bool awaits_answer = pause.asked_again_at && now - *pause.asked_again_at < answer_wait_after_pause;
        if (now < pause.until || awaits_answer) {
            return false;
        }
    }
    return m_limits.may_send(server.id, now);
}

duration server_statements::time_until_end_of_pause(std::span<const server_entry* const> servers,
                                                    time_point now) const {
    std::optional<duration> shortest;
    for (const auto* server : servers) {
        if (is_leaving(*server)) {
            continue;
        }
        const auto found = m_pausing.find(server->id);
        if (found == m_pausing.end() || found->second.until <= now) {
            return duration::zero();
        }
        shortest = std::min(shortest.value_or(max_pause), found->second.until - now);
    }
    return shortest.value_or(duration::zero());
}

std::vector<leaving_statement> server_statements::list_leaving() const {
    std::vector<leaving_statement> statements;
    for (const auto& [server, leaving] : m_leaving) {
        if (!leaving.gone_since && leaving.started_at_unix_ms != 0) {
            statements.push_back({server, leaving.started_at_unix_ms});
        }
    }
    return statements;
}

std::size_t server_statements::count_pausing(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_pausing.begin(), m_pausing.end(), [&](const auto& entry) { return now < entry.second.until; }));
}

}  // namespace verbenahold::serving
