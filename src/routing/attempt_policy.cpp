#include "attempt_policy.hpp"

namespace verbenahold::serving {

namespace {

bool may_repeat(const route& matched, const attempt_history& history) {
    if (history.may_have_run >= matched.max_attempts) {
        return false;
    }
    if (history.answer_begun) {
        return matched.resumable;
    }
    return history.may_have_run == 0 || matched.repeat == repeat_rule::idempotent;
}

class decider {
public:
    decider(const route& matched, const attempt_history& history) : m_route(matched), m_history(history) {}

    attempt_decision operator()(const attempt_not_sent&) const {
        if (may_repeat(m_route, m_history) && m_history.not_sent < most_failed_connections) {
            return send_elsewhere{m_history.sent > 0};
        }
        return end("no server could be reached");
    }

    attempt_decision operator()(const attempt_not_executed&) const {
        const bool room = m_history.sent < m_route.max_attempts + rejections_beyond_bound;
        if (room && may_repeat(m_route, m_history)) {
            return send_elsewhere{true};
        }
        return end("servers rejected the request");
    }

    attempt_decision operator()(const attempt_lost&) const {
        if (may_repeat(m_route, m_history)) {
            return send_elsewhere{true};
        }
        return end("the server's answer was lost");
    }

    attempt_decision operator()(const attempt_failed&) const {
        if (may_repeat(m_route, m_history)) {
            return send_elsewhere{true};
        }
        if (m_history.answer_begun) {
            return cut_off{};
        }
        return deliver_failure{};
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

attempt_decision decide_next(const route& matched, const attempt_history& history, const attempt_outcome& outcome) {
    return std::visit(decider(matched, history), outcome);
}

}  // namespace verbenahold::serving
