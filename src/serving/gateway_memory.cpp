// The part of class gateway that watches the memory of the process.
#include "gateway.hpp"
#include "log_line.hpp"
#include "process_memory.hpp"

namespace verbenahold::serving {

// Requests that wait are resumed from the loop, since bytes are given back anywhere.
void gateway::grant_waiting_soon() {
    if (m_granting) {
        return;
    }
    m_granting = true;
    m_state.timers.after(duration::zero(), [this] {
        m_granting = false;
        m_state.bytes.grant_waiting();
    });
}

void gateway::watch_memory() {
    const auto& bytes = m_state.bytes;
    const bool was_short = m_memory_short;
    m_memory_short = bytes.held() > bytes.total() / (was_short ? 4 : 2) || bytes.waiting() > 0;
    if (m_memory_short == was_short) {
        return;
    }
    if (!m_memory_short) {
        release_free_memory();
    }
    const auto memory = read_process_memory();
    log_line line(m_memory_short ? "memory short" : "memory regained");
    for (const auto use : all_byte_uses) {
        line.add(byte_use_label(use), bytes.held(use));
    }
    line.add("waiting", bytes.waiting())
        .add("budget", bytes.total())
        .add("peak", bytes.peak())
        .add("resident", memory.resident_bytes)
        .add("resident_peak", memory.peak_bytes)
        .add("open_requests", m_state.open_requests)
        .add("connections", m_sessions.size());
    if (m_memory_short) {
        line.warn();
    } else {
        line.info();
    }
}

void gateway::set_memory_gauges() {
    for (const auto use : all_byte_uses) {
        m_state.counters.set_gauge("bytes_of_" + std::string(byte_use_label(use)),
                                   static_cast<double>(m_state.bytes.held(use)));
    }
    m_state.counters.set_gauge("bytes_peak", static_cast<double>(m_state.bytes.peak()));
    m_state.counters.set_gauge("bytes_budget", static_cast<double>(m_state.bytes.total()));
    const auto memory = read_process_memory();
    m_state.counters.set_gauge("resident_bytes", static_cast<double>(memory.resident_bytes));
    m_state.counters.set_gauge("resident_peak_bytes", static_cast<double>(memory.peak_bytes));
}

}  // namespace verbenahold::serving
