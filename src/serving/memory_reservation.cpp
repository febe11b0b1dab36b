#include "memory_reservation.hpp"

#include "log_line.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

memory_reservation::memory_reservation(gateway_state& state, owner wanted_by, const std::string& name,
                                       std::vector<part> parts)
    : m_state(state), m_owner(std::move(wanted_by)), m_parts(std::move(parts)) {
    for (std::size_t index = 0; index < m_parts.size(); ++index) {
        m_parts[index].name = name + '-' + std::to_string(index);
    }
    m_state.reservations_held += static_cast<int>(m_parts.size());
    m_state.reservations_unused += static_cast<int>(m_parts.size());
    m_reserved_at = m_state.timers.now();
    m_last_used = m_reserved_at;
}

memory_reservation::~memory_reservation() {
    m_state.timers.unsubscribe(m_renewal);
    for (const auto& which : m_parts) {
        release(which);
    }
    m_state.reservations_held -= static_cast<int>(m_parts.size());
    m_state.reservations_unused -= m_used ? 0 : static_cast<int>(m_parts.size());
}

void memory_reservation::release(const part& which) {
    const auto now = m_state.timers.now();
    log_line line("memory released");
    line.add("reservation", which.name)
        .add("request", m_owner.request)
        .add("server", which.server.value)
        .add("first_server", m_owner.first_server.value)
        .add("reason", m_failed ? "not all servers had memory" : "the attempt ended")
        .add("age_ms", now - m_reserved_at)
        .add("unused_ms", now - m_last_used)
        .add("renewals", m_renewals)
        .info();
    m_state.calls.call(
        which.address, m_state.wire.release_memory(which.name), reservation_call_timeout,
        [name = which.name](const call_result& result) {
            if (!result.answer) {
                // The reservation expires without renewal.
                log_line("memory not released").add("reservation", name).add("reason", result.failure).warn();
            }
        });
}

void memory_reservation::request_reservation(const part& which, std::function<void(bool)> done) {
    m_state.calls.call(which.address, m_state.wire.reserve_memory(which.name, which.tokens, reservation_lifetime),
                       reservation_call_timeout,
                       [name = which.name, done = std::move(done)](const call_result& result) {
                           const bool reserved = result.answer && result.answer->head.status == 200;
                           if (!reserved) {
                               log_line("memory not reserved")
                                   .add("reservation", name)
                                   .add("status", result.answer ? result.answer->head.status : 0)
                                   .add("reason", result.failure)
                                   .info();
                           }
                           done(reserved);
                       });
}

void memory_reservation::acquire(std::function<void(bool)> done) {
    m_done = std::move(done);
    m_unanswered = m_parts.size();
    for (const auto& which : m_parts) {
        request_reservation(which, [weak = weak_from_this(), which](bool reserved) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            if (reserved) {
                self->m_state.counters.add("reservations_made");
                log_line("memory reserved")
                    .add("reservation", which.name)
                    .add("request", self->m_owner.request)
                    .add("server", which.server.value)
                    .add("tokens", which.tokens)
                    .add("took_ms", self->m_state.timers.now() - self->m_reserved_at)
                    .info();
            }
            self->m_failed = self->m_failed || !reserved;
            if (--self->m_unanswered > 0) {
                return;
            }
            if (!self->m_failed) {
                self->m_renewal = self->m_state.timers.every(renewal_period, [raw = self.get()] { raw->renew(); });
            }
            std::exchange(self->m_done, nullptr)(!self->m_failed);
        });
    }
}

void memory_reservation::on_used(std::string_view evidence) {
    const auto now = m_state.timers.now();
    if (!m_used) {
        m_used = true;
        m_state.reservations_unused -= static_cast<int>(m_parts.size());
        log_line("memory in use")
            .add("request", m_owner.request)
            .add("first_server", m_owner.first_server.value)
            .add("evidence", evidence)
            .add("unused_ms", now - m_last_used)
            .info();
    }
    m_last_used = now;
}

void memory_reservation::renew() {
    ++m_renewals;
    for (const auto& which : m_parts) {
        request_reservation(which, [](bool /*renewed*/) {});
    }
}

std::string memory_reservation::name_at(const std::string& address) const {
    const auto found =
        std::find_if(m_parts.begin(), m_parts.end(), [&](const part& p) { return p.address == address; });
    return found == m_parts.end() ? std::string() : found->name;
}

}  // namespace verbenahold::serving
