#include "attempt_policy.hpp"

namespace verbenahold::serving {

namespace {

bool may_retry(const route& matched, const attempt_history& history) {
    if (history.may_have_run >= matched.max_attempts) {
        return false;
    }
    if (history.answer_begun) {
        return may_continue(matched, history);
    }
    return history.may_have_run == 0 || matched.retry == retry_rule::idempotent;
}

class outcome_visitor {
public:
    outcome_visitor(const route& matched, const attempt_history& history) : m_route(matched), m_history(history) {}

    attempt_decision operator()(const attempt_not_sent&) const {
        if (may_retry(m_route, m_history) && m_history.not_sent < max_failed_connections) {
            return try_another_server{m_history.sent > 0};
        }
        return end("no server could be reached");
    }

    attempt_decision operator()(const attempt_not_executed&) const {
        const bool room = m_history.sent < m_route.max_attempts + extra_attempts_for_rejections;
        if (room && may_retry(m_route, m_history)) {
            return try_another_server{true};
        }
        return end("servers rejected the request");
    }

    attempt_decision operator()(const attempt_outcome_unknown&) const {
        if (may_retry(m_route, m_history)) {
            return try_another_server{true};
        }
        return end("the server's answer was lost");
    }

    attempt_decision operator()(const attempt_failed&) const {
        if (may_retry(m_route, m_history)) {
            return try_another_server{true};
        }
        if (m_history.answer_begun) {
            return cut_off{};
        }
        return deliver_failure{};
    }

    attempt_decision operator()(const attempt_refusal_unstated&) const {
        if (may_retry(m_route, m_history)) {
            return try_another_server{true};
        }
        return end("the server refused without stating that the request did not run");
    }

private:
    [[nodiscard]] attempt_decision end(std::string_view reason) const {
        if (m_history.answer_begun) {
            return cut_off{};
        }
        return give_up{m_history.may_have_run == 0, reason};
    }

    const route& m_route;
    const attempt_history& m_history;
};

}  // namespace

bool may_continue(const route& matched, const attempt_history& history) {
    return matched.resumable && history.position_known;
}

attempt_decision decide_next(const route& matched, const attempt_history& history, const attempt_outcome& outcome) {
    return std::visit(outcome_visitor(matched, history), outcome);
}

}  // namespace verbenahold::serving
