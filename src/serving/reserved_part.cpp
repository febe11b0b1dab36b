#include "reserved_part.hpp"

#include "log_line.hpp"

#include <utility>

namespace verbenahold::serving {

reserved_part::reserved_part(gateway_state& state, server_name server, std::string address, std::int64_t tokens,
                             std::string name)
    : m_state(state),
      m_server(std::move(server)),
      m_address(std::move(address)),
      m_tokens(tokens),
      m_name(std::move(name)) {}

void reserved_part::reserve(duration hold, std::function<void(bool)> done) {
    // Requests are sent on the strength of the first answer alone, not of a renewal's.
    const auto choice = std::exchange(m_ordered, true) ? connection_choice::kept : connection_choice::fresh;
    m_state.calls.call(
        m_address, m_state.wire.reserve_memory(m_name, m_tokens, hold), {reservation_call_timeout, max_report_bytes},
        [self = shared_from_this(), done = std::move(done)](const call_result& result) {
            self->on_reserve_answer(result);
            done(result.answer && result.answer->head.status == 200);
        },
        choice);
}

void reserved_part::on_reserve_answer(const call_result& result) {
    if (!result.answer) {
        m_late_until = m_state.timers.now() + late_order_time;
    }
    if (!result.answer || result.answer->head.status != 200) {
        log_line("memory not reserved")
            .add("reservation", m_name)
            .add("server", m_server.value)
            .add("status", result.answer ? result.answer->head.status : 0)
            .add("reason", result.failure)
            .info();
    }
    // The server may have carried out the order after the release.
    if (m_released) {
        release_again_after(duration::zero());
    }
}

void reserved_part::release() {
    if (!std::exchange(m_released, true)) {
        send_release();
    }
}

void reserved_part::send_release() {
    m_state.calls.call(m_address, m_state.wire.release_memory(m_name), {reservation_call_timeout, max_report_bytes},
                       [self = shared_from_this()](const call_result& result) {
                           if (!result.answer) {
                               // The reservation expires without renewal.
                               log_line("memory not released")
                                   .add("reservation", self->m_name)
                                   .add("server", self->m_server.value)
                                   .add("reason", result.failure)
                                   .warn();
                           }
                           if (self->m_state.timers.now() < self->m_late_until) {
                               self->release_again_after(release_repeat_period);
                           }
                       });
}

void reserved_part::release_again_after(duration delay) {
    if (std::exchange(m_release_scheduled, true)) {
        return;
    }
    m_state.timers.after(delay, [self = shared_from_this()] {
        self->m_release_scheduled = false;
        self->send_release();
    });
}

}  // namespace verbenahold::serving
