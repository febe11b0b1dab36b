#include "memory_reservation.hpp"

#include "log_line.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// Time limit of a call that asks a server for the state of a reservation.
constexpr duration state_call_timeout = std::chrono::milliseconds(600);
// Shortest interval between two renewals, whatever the bound on unused time.
constexpr duration min_renewal_period = std::chrono::milliseconds(100);
// Steps of the bound on unused time in which the lease is looked at, at least.
constexpr int steps_of_unused_time = 9;

}  // namespace

memory_reservation::memory_reservation(gateway_state& state, owner wanted_by, const std::string& name,
                                       std::span<const part> parts)
    : m_state(state),
      m_owner(std::move(wanted_by)),
      m_lease(state.timers.now(), std::min(reservation_lifetime, state.settings.max_reservation_hold),
              state.settings.max_unused_reservation) {
    for (const auto& wanted : parts) {
        m_parts.push_back(std::make_shared<reserved_part>(state, wanted.server, wanted.address, wanted.tokens,
                                                          name + '-' + std::to_string(m_parts.size())));
    }
    m_state.reservations_held += static_cast<int>(m_parts.size());
    m_state.reservations_unused += static_cast<int>(m_parts.size());
}

memory_reservation::~memory_reservation() {
    release(m_failed ? "not all servers had memory" : "the attempt ended");
}

void memory_reservation::release(std::string_view reason) {
    if (std::exchange(m_released, true)) {
        return;
    }
    m_state.timers.unsubscribe(m_renewal);
    m_state.reservations_held -= static_cast<int>(m_parts.size());
    m_state.reservations_unused -= m_lease.was_used() ? 0 : static_cast<int>(m_parts.size());
    const auto now = m_state.timers.now();
    for (const auto& which : m_parts) {
        log_line("memory released")
            .add("reservation", which->name())
            .add("request", m_owner.request)
            .add("server", which->server().value)
            .add("first_server", m_owner.first_server.value)
            .add("reason", reason)
            .add("age_ms", m_lease.age(now))
            .add("unused_ms", m_lease.unused_for(now))
            .add("renewals", m_renewals)
            .info();
        which->release();
    }
}

void memory_reservation::acquire(std::function<void(bool)> done) {
    m_done = std::move(done);
    m_unanswered = m_parts.size();
    const auto now = m_state.timers.now();
    const auto hold = m_lease.hold(now);
    m_lapses_at = now + hold;
    for (const auto& which : m_parts) {
        which->reserve(hold, [weak = weak_from_this(), &which = *which](bool reserved) {
            if (const auto self = weak.lock()) {
                self->on_reserved(which, reserved);
            }
        });
    }
}

void memory_reservation::on_reserved(const reserved_part& which, bool reserved) {
    if (reserved) {
        m_state.counters.add("reservations_made");
        log_line("memory reserved")
            .add("reservation", which.name())
            .add("request", m_owner.request)
            .add("server", which.server().value)
            .add("tokens", which.tokens())
            .add("took_ms", m_lease.age(m_state.timers.now()))
            .info();
    }
    m_failed = m_failed || !reserved;
    if (--m_unanswered > 0) {
        return;
    }
    if (!m_failed) {
        const auto step = m_state.settings.max_unused_reservation / steps_of_unused_time;
        m_renewal = m_state.timers.every(std::clamp(step, min_renewal_period, renewal_period), [this] { advance(); });
    }
    std::exchange(m_done, nullptr)(!m_failed);
}

void memory_reservation::on_used(std::string_view evidence) {
    const auto now = m_state.timers.now();
    if (!m_released && !m_lease.was_used()) {
        m_state.reservations_unused -= static_cast<int>(m_parts.size());
        log_line("memory in use")
            .add("request", m_owner.request)
            .add("first_server", m_owner.first_server.value)
            .add("evidence", evidence)
            .add("unused_ms", m_lease.unused_for(now))
            .info();
    }
    m_lease.on_used(now);
}

bool memory_reservation::is_given_up() const {
    return m_released || m_state.timers.now() >= m_lapses_at;
}

void memory_reservation::advance() {
    if (release_if_due()) {
        return;
    }
    renew();
    const auto now = m_state.timers.now();
    if (m_lease.is_check_due(now)) {
        m_lease.on_asked(now);
        ask_holder();
    }
}

void memory_reservation::renew() {
    const auto now = m_state.timers.now();
    const auto hold = m_lease.hold(now);
    if (hold <= duration::zero()) {
        return;
    }
    m_lapses_at = now + hold;
    ++m_renewals;
    for (const auto& which : m_parts) {
        which->reserve(hold, [](bool /*renewed*/) {});
    }
}

// A request uses all parts or none, so any holder can tell; the next one is asked in
// turn, since one may be out of reach.
void memory_reservation::ask_holder() {
    const auto& which = *m_parts[m_times_asked++ % m_parts.size()];
    m_state.calls.call(which.address(), m_state.wire.ask_load(), {state_call_timeout, max_report_bytes},
                       [weak = weak_from_this(), name = which.name()](const call_result& result) {
                           const auto self = weak.lock();
                           if (!self || self->m_released || !result.answer) {
                               return;
                           }
                           if (const auto state = self->m_state.wire.read_reservation_state(name, *result.answer)) {
                               self->on_report(*state);
                           }
                       });
}

void memory_reservation::on_report(reservation_state state) {
    if (state == reservation_state::used) {
        on_used("report");
        // The last renewal was cut at the end of the time that was left then.
        renew();
        return;
    }
    m_lease.on_found_unused(m_state.timers.now());
    release_if_due();
}

bool memory_reservation::release_if_due() {
    if (!m_lease.is_over(m_state.timers.now())) {
        return false;
    }
    m_state.counters.add("reservations_given_up", static_cast<std::int64_t>(m_parts.size()));
    release("the request did not use it in time");
    return true;
}

std::string memory_reservation::name_at(const std::string& address) const {
    const auto found =
        std::find_if(m_parts.begin(), m_parts.end(), [&](const auto& which) { return which->address() == address; });
    return found == m_parts.end() ? std::string() : (*found)->name();
}

}  // namespace verbenahold::serving
