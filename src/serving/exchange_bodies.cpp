// The part of class exchange that receives the bodies of answers and passes them on.
#include "exchange.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// An answer up to this size is buffered before it is passed on, so that another server
// can answer if it breaks off. A longer one is passed on as it arrives.
constexpr std::size_t max_buffered_answer_bytes = 256UL * 1024;
// Largest answer that reports a failure. It is always buffered, since another server
// may be asked instead.
constexpr std::size_t max_failure_bytes = 1024UL * 1024;
// An answer without proof is never passed on. Its bytes are dropped, and this many are
// read for the sake of its connection.
constexpr std::size_t max_unproved_bytes = 64UL * 1024;
// Reading from the server pauses while more bytes of the stream wait for the
// caller.
constexpr std::size_t max_unsent_bytes = 256UL * 1024;

}  // namespace

void exchange::on_body(std::string bytes) {
    auto& current = *m_attempt;
    if (current.streams) {
        on_events(current.events.feed(bytes));
        return;
    }
    if (current.passes_through) {
        pass_on(std::move(bytes));
        return;
    }
    const bool success = current.answer.head.status >= 200 && current.answer.head.status < 300;
    current.bytes_received += bytes.size();
    if (success && (!current.decoded.proved || current.decoded.not_executed)) {
        if (current.bytes_received > max_unproved_bytes) {
            handle_outcome(attempt_outcome_unknown{}, "the answer bears no proof and goes on");
        }
        return;
    }
    auto& body = current.answer.body;
    body += bytes;
    const auto limit = success ? max_buffered_answer_bytes : max_failure_bytes;
    if (body.size() <= limit && current.held.try_hold_beyond(max_small_answer_bytes, body.capacity())) {
        return;
    }
    if (success) {
        pass_through();
        return;
    }
    m_state.counters.add("answers_without_room");
    handle_outcome(attempt_outcome_unknown{},
                   body.size() > limit ? "the answer is too large" : "no room for the answer");
}

void exchange::pass_through() {
    m_attempt->passes_through = true;
    m_attempt->held.release();
    m_history.answer_begun = true;
    m_sink->begin_stream(m_attempt->answer.head);
    pass_on(std::exchange(m_attempt->answer.body, {}));
}

void exchange::pass_on(std::string bytes) {
    m_sink->stream(std::move(bytes));
    if (m_sink->unsent_bytes() > std::min(max_unsent_bytes, m_state.bytes.fair_share(byte_use::answers))) {
        m_attempt->connection->pause_reading(true);
    }
}

void exchange::on_output_written() {
    if (m_attempt && m_attempt->connection) {
        m_attempt->connection->pause_reading(false);
    }
}

}  // namespace verbenahold::serving
