// The part of class exchange that takes in what an answer states of its server.
#include "exchange.hpp"
#include "log_line.hpp"

#include <algorithm>

namespace verbenahold::serving {

void exchange::note_statements() {
    const auto& decoded = m_attempt->decoded;
    if (decoded.wrong_server) {
        return;
    }
    note_stated_limit();
    note_pause();
    note_leaving();
    if (decoded.has_unreadable_statement && m_state.statements.on_unreadable(m_attempt->server)) {
        log_line("server statement unreadable")
            .add("request", m_request.attempt_id)
            .add("server", m_attempt->server.value)
            .warn();
    }
}

// A pause is short, so it is taken from any answer that states that it turned the request
// away.
void exchange::note_pause() {
    const auto& decoded = m_attempt->decoded;
    const auto now = m_state.timers.now();
    if (!decoded.pause || !(decoded.not_executed || is_servers_own_answer())) {
        m_state.statements.on_answer(m_attempt->server, now);
        return;
    }
    const auto run = m_attempt->placed.primary.started_at_unix_ms;
    if (m_state.statements.on_pause(m_attempt->server, run, *decoded.pause, now)) {
        log_line("server pauses")
            .add("request", m_request.attempt_id)
            .add("server", m_attempt->server.value)
            .add("wanted_ms", *decoded.pause)
            .add("kept_ms", std::min(*decoded.pause, max_pause))
            .info();
    }
}

void exchange::note_leaving() {
    if (!m_attempt->decoded.leaving || !is_servers_own_answer()) {
        return;
    }
    const leaving_statement statement{m_attempt->server, m_attempt->placed.primary.started_at_unix_ms};
    if (!m_state.statements.on_leaving(statement, m_state.timers.now())) {
        return;
    }
    if (m_state.notices.on_leaving && statement.started_at_unix_ms != 0) {
        m_state.notices.on_leaving(statement);
    }
    log_line("server leaves").add("request", m_request.attempt_id).add("server", m_attempt->server.value).info();
}

// The request named the server, which another one at the address rejects with a status of
// its own, and the answer names the request or bears the server's proof.
bool exchange::is_servers_own_answer() const {
    const auto& decoded = m_attempt->decoded;
    return !decoded.wrong_server && (decoded.proved || !decoded.attempt_id.empty());
}

void exchange::note_stated_limit() {
    const auto& decoded = m_attempt->decoded;
    // Without a limit, only an answer that is the server's own says that there is none.
    if (!decoded.requests_per_second && !decoded.proved) {
        return;
    }
    const auto now = m_state.timers.now();
    const limit_statement statement{m_attempt->server, decoded.requests_per_second, now};
    if (!m_state.statements.limits().on_statement(statement, now)) {
        return;
    }
    if (m_state.notices.on_limit_changed) {
        m_state.notices.on_limit_changed(statement);
    }
    log_line("server limit changed")
        .add("request", m_request.attempt_id)
        .add("server", m_attempt->server.value)
        .add("per_second", decoded.requests_per_second ? std::to_string(*decoded.requests_per_second) : "none")
        .info();
}

}  // namespace verbenahold::serving
