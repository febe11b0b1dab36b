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
    m_state.calls.call(m_address, m_state.wire.reserve_memory(m_name, m_tokens, hold), reservation_call_timeout,
                       [self = shared_from_this(), done = std::move(done)](const call_result& result) {
                           const bool reserved = result.answer && result.answer->head.status == 200;
                           if (!reserved) {
                               log_line("memory not reserved")
                                   .add("reservation", self->m_name)
                                   .add("server", self->m_server.value)
                                   .add("status", result.answer ? result.answer->head.status : 0)
                                   .add("reason", result.failure)
                                   .info();
                           }
                           done(reserved);
                       });
}

void reserved_part::release() {
    m_state.calls.call(m_address, m_state.wire.release_memory(m_name), reservation_call_timeout,
                       [self = shared_from_this()](const call_result& result) {
                           if (!result.answer) {
                               // The reservation expires without renewal.
                               log_line("memory not released")
                                   .add("reservation", self->m_name)
                                   .add("server", self->m_server.value)
                                   .add("reason", result.failure)
                                   .warn();
                           }
                       });
}

}  // namespace verbenahold::serving
