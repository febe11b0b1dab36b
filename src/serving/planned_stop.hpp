// The stages of a planned stop, from the stop signal to the exit of the process.
#pragma once

#include "verbenahold/types.hpp"

#include <algorithm>
#include <optional>

namespace verbenahold::serving {

// Connections are still accepted for this long after the stop signal, since
// callers may still use cached directory answers. Requests sent later than three
// seconds after it may not be cut at the exit; the rest is for late signals and checks.
inline constexpr duration accept_time_while_stopping = std::chrono::milliseconds(2'700);
// Requests that are still open this long before the stop grace ends are answered with
// an error.
inline constexpr duration answer_margin = std::chrono::milliseconds(400);
// The process exits at least this long before its stop grace ends. The time between
// the two margins is for writing the last answers.
inline constexpr duration exit_margin = std::chrono::milliseconds(150);

class planned_stop {
public:
    // `grace` is the time until the process is killed. Later calls have no effect.
    void begin(time_point now, duration grace) {
        if (!m_began) {
            m_began = now;
            m_grace = grace;
        }
    }
    [[nodiscard]] bool has_begun() const { return m_began.has_value(); }
    [[nodiscard]] std::optional<time_point> began() const { return m_began; }

    // New connections and any requests are taken.
    [[nodiscard]] bool accepts_requests(time_point now) const {
        return !m_began || now - *m_began < std::min(accept_time_while_stopping, m_grace / 2);
    }
    // Whether a request may be forwarded that is answered by `deadline` at the latest:
    // later ones only if that is before open requests are given up.
    [[nodiscard]] bool may_forward(time_point now, time_point deadline) const {
        return accepts_requests(now) || deadline <= *m_began + m_grace - answer_margin;
    }
    // Open requests must be answered now.
    [[nodiscard]] bool must_answer(time_point now) const {
        return m_began && now >= *m_began + m_grace - answer_margin;
    }
    [[nodiscard]] bool must_exit(time_point now) const { return m_began && now >= *m_began + m_grace - exit_margin; }

private:
    std::optional<time_point> m_began;
    duration m_grace{};
};

}  // namespace verbenahold::serving
