// The part of class exchange that runs attempts at servers, one after the other.
#include "exchange.hpp"
#include "log_line.hpp"

#include <algorithm>
#include <utility>

namespace verbenahold::serving {

namespace {

// Interval between two attempts to reserve memory for one request: memory becomes free
// when answers end, and each attempt costs orders to servers.
constexpr duration reservation_retry_delay = std::chrono::milliseconds(200);
// A stream with this many events goes on: an engine that crashes as it begins to
// answer may still send the first.
constexpr std::size_t events_of_sound_stream = 2;
// The low bits of a work number count the attempts of one request.
constexpr unsigned attempt_bits = 8;
constexpr std::uint64_t attempt_mask = (1U << attempt_bits) - 1;
// Largest non-streamed answer. It is buffered before it is passed on.
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
// Reading from the server pauses while more bytes of the stream wait for the
// caller.
constexpr std::size_t max_unsent_bytes = 256UL * 1024;
// Priorities that servers know; 0 is the most urgent.
constexpr int lowest_priority = 9;

// Adds what the answer stated and what its connection carried before.
void add_answer_fields(log_line& line, const server_answer& answer, const server_connection& connection) {
    line.add("stated", answer.wrong_server   ? "wrong server"
                       : answer.not_executed ? "not executed"
                                             : "nothing")
        .add("proof", answer.proved ? "yes" : "no")
        .add("answer_id", answer.attempt_id.empty() ? "missing" : answer.attempt_id)
        .add("earlier_requests", connection.earlier_requests())
        .add("previous", connection.previous_request());
}

std::string names_of(std::span<const prefill_helper> helpers) {
    std::vector<std::string> names;
    for (const auto& helper : helpers) {
        names.push_back(helper.server.id.value);
    }
    return joined(names);
}

}  // namespace

void exchange::begin_attempt(const placement& chosen) {
    m_attempt.emplace();
    m_attempt->placed = chosen;
    m_attempt->server = chosen.primary.id;
    m_attempt->sent_at = m_state.timers.now();
    // Other daemons track each attempt under its own work number.
    m_attempt->work = {m_state.boot, (m_number << attempt_bits) | (m_attempts_begun++ & attempt_mask)};
    announce_work(work_event::started);
    const auto reserves = [](const prefill_helper& helper) { return helper.reserved_tokens > 0; };
    if (std::any_of(chosen.helpers.begin(), chosen.helpers.end(), reserves)) {
        reserve_memory();
    } else {
        forward();
    }
}

void exchange::reserve_memory() {
    std::vector<memory_reservation::part> parts;
    for (const auto& helper : m_attempt->placed.helpers) {
        if (helper.reserved_tokens > 0) {
            parts.push_back({helper.server.id, helper.server.address, helper.reserved_tokens});
        }
    }
    log_line("reserving memory")
        .add("request", m_request.attempt_id)
        .add("first_server", m_attempt->server.value)
        .add("servers", parts.size())
        .add("tokens", m_request.prompt_tokens)
        .info();
    const auto name = std::to_string(m_state.boot) + '-' + std::to_string(m_attempt->work.number);
    m_attempt->memory = std::make_shared<memory_reservation>(
        m_state, memory_reservation::owner{m_request.attempt_id, m_attempt->server}, name, parts);
    const auto weak = weak_from_this();
    m_attempt->memory->acquire([weak, number = m_attempt->work.number](bool reserved) {
        const auto self = weak.lock();
        if (!self || !self->m_attempt || self->m_attempt->work.number != number) {
            return;
        }
        self->contained([&] {
            if (reserved && self->may_forward()) {
                self->forward();
                return;
            }
            self->end_attempt();
            if (reserved) {
                self->place();
                return;
            }
            self->wait_for_server(
                {"no server has memory for the prompt", retry_after_out_of_memory, false, reservation_retry_delay});
        });
    });
}

// The first server may have stated since it was chosen that it wants no requests.
bool exchange::may_forward() const {
    const auto now = m_state.timers.now();
    const auto* server = m_state.servers.find(m_attempt->server, now);
    return server == nullptr ||
           (!m_state.statements.is_leaving(*server) && !m_state.statements.is_pausing(server->id, now));
}

forwarding exchange::fields_to_add() const {
    forwarding added;
    added.server = m_attempt->server;
    added.time_left = std::max(time_left(), duration(std::chrono::milliseconds(1)));
    if (m_account != nullptr) {
        added.account = m_account->name;
    }
    if (m_service->engine) {
        const int rank = m_account != nullptr && m_account->priority ? *m_account->priority : m_route->priority;
        added.priority = std::clamp(rank, 0, lowest_priority);
    }
    added.last_event_id = m_last_event;
    for (const auto& helper : m_attempt->placed.helpers) {
        added.helpers.push_back({helper.server.address, {}});
        if (helper.reserved_tokens > 0) {
            added.helpers.back().reservation = m_attempt->memory->name_at(helper.server.address);
        }
    }
    return added;
}

void exchange::forward() {
    m_waiting_since.reset();
    const auto& chosen = m_attempt->placed;
    const auto request = m_state.wire.server_request(m_request, fields_to_add());
    const bool once = m_route->retry == retry_rule::at_most_once;
    m_tried_servers.push_back(m_attempt->server);
    m_attempt->sent_at = m_state.timers.now();
    m_state.pacer.on_sent(m_attempt->server, m_attempt->sent_at);
    m_state.statements.on_sent(m_attempt->server, m_attempt->sent_at);
    m_attempt->connection = take_connection(chosen.primary.address);
    m_attempt->held = hold_answer();
    log_line("forwarded")
        .add("request", m_request.attempt_id)
        .add("server", m_attempt->server.value)
        .add("attempt", m_tried_servers.size())
        .add("helpers", names_of(chosen.helpers))
        .add("tokens", m_request.prompt_tokens)
        .add("part_ms", chosen.part_ms)
        .add("predicted_ms", chosen.predicted)
        .add("left_ms", time_left())
        .info();
    ++m_history.sent;
    ++m_history.may_have_run;
    answer_callbacks callbacks;
    const auto self = shared_from_this();
    callbacks.on_head = [self](const http_answer_head& head) {
        bool is_own = false;
        self->contained([&] { is_own = self->on_head(head); });
        return is_own;
    };
    callbacks.on_body = [self](const std::string& bytes) { self->contained([&] { self->on_body(bytes); }); };
    callbacks.on_complete = [self] { self->contained([&] { self->on_complete(); }); };
    callbacks.on_failure = [self](const call_failure& failure) { self->contained([&] { self->on_failure(failure); }); };
    if (!once) {
        limit_silence_before_answer();
    }
    m_attempt->connection->send({request_bytes(request, {}), request.method == "HEAD", m_request.attempt_id},
                                std::move(callbacks));
}

std::shared_ptr<server_connection> exchange::take_connection(const std::string& address) {
    const bool address_tried =
        std::find(m_tried_addresses.begin(), m_tried_addresses.end(), address) != m_tried_addresses.end();
    m_tried_addresses.push_back(address);
    // Late answers are told apart by the request's id, so a connection that may deliver one with
    // the same id, or none to compare with, is not reused.
    if (m_request.attempt_id.empty() || address_tried) {
        return m_state.pool.open(address);
    }
    const bool once = m_route->retry == retry_rule::at_most_once;
    return m_state.pool.take(address, once ? max_idle_time_for_single_runs : default_max_idle_time);
}

void exchange::end_attempt() {
    m_state.timers.unsubscribe(m_silence_timer);
    if (!m_attempt) {
        return;
    }
    announce_work(work_event::ended);
    if (!m_attempt->connection) {
        m_attempt.reset();
        return;
    }
    if (m_attempt->connection->is_reusable() && !m_attempt->decoded.attempt_id.empty()) {
        m_state.pool.put_back(m_attempt->connection);
    } else {
        m_attempt->connection->close();
    }
    m_attempt.reset();
}

bool exchange::on_head(const http_answer_head& head) {
    const auto decoded = m_state.wire.read_answer(head);
    if (!decoded.attempt_id.empty() && decoded.attempt_id != m_request.attempt_id) {
        m_state.counters.add("answers_skipped");
        log_line line("skipped answer of another request");
        line.add("request", m_request.attempt_id)
            .add("answer_for", decoded.attempt_id)
            .add("server", m_attempt->server.value);
        add_answer_fields(line, decoded, *m_attempt->connection);
        line.add("status", head.status).warn();
        return false;
    }
    m_attempt->answer.head = head;
    m_attempt->decoded = decoded;
    if (decoded.attempt_id.empty()) {
        m_state.counters.add("answers_without_id");
        log_line line("answer without id");
        line.add("request", m_request.attempt_id).add("server", m_attempt->server.value).add("status", head.status);
        add_answer_fields(line, decoded, *m_attempt->connection);
        line.warn();
        if (m_attempt->connection->earlier_requests() > 0) {
            handle_outcome(attempt_outcome_unknown{}, "the answer bears no id and may be that of an earlier request");
            return false;
        }
    }
    if (decoded.reads_as_not_run && !decoded.not_executed) {
        m_state.counters.add("refusals_unstated");
    }
    note_statements();
    const bool success = head.status >= 200 && head.status < 300;
    const bool has_body = m_request.request.method != "HEAD" && head.status != status_no_content;
    // Of an answer that states that the request did not run, the body is not passed on.
    if (has_body && decoded.coded && !decoded.not_executed) {
        handle_outcome(attempt_outcome_unknown{}, "the body is in a content coding");
        return false;
    }
    m_attempt->streams =
        success && has_body && decoded.proved && !decoded.not_executed && m_route->form == answer_form::event_stream;
    if (!m_attempt->streams && has_body && head.announced_length.value_or(0) > max_answer_bytes) {
        handle_outcome(attempt_outcome_unknown{}, "the announced length of the answer is too large");
        return false;
    }
    return true;
}

body_budget::holding exchange::hold_answer() {
    return m_state.answer_bodies.hold([weak = weak_from_this(), number = m_attempt->work.number] {
        const auto self = weak.lock();
        if (self && self->m_attempt && self->m_attempt->work.number == number) {
            self->contained([&] {
                self->handle_outcome(attempt_outcome_unknown{}, "the answers of servers take too much memory");
            });
        }
    });
}

void exchange::on_body(std::string_view bytes) {
    if (m_attempt->streams) {
        on_events(m_attempt->events.feed(bytes));
        return;
    }
    append_arrived(m_attempt->answer.body, bytes, m_attempt->answer.head.announced_length);
    if (m_attempt->answer.body.size() > max_answer_bytes) {
        handle_outcome(attempt_outcome_unknown{}, "the answer is too large");
        return;
    }
    m_attempt->held.resize(m_attempt->answer.body.capacity());
}

void exchange::on_events(std::vector<stream_event> events) {
    if (m_attempt->events.overflowed()) {
        handle_outcome(attempt_outcome_unknown{}, "an event is too large");
        return;
    }
    std::string bytes;
    for (auto& event : events) {
        // A server that continues the stream may send again what the caller has. Ids increase by
        // any amount, so a gap between them says nothing.
        if (event.id && m_last_event && *event.id <= *m_last_event) {
            continue;
        }
        if (event.id) {
            m_last_event = event.id;
        }
        m_history.position_known = event.id || (m_history.position_known && !event.has_data);
        bytes += event.bytes;
    }
    if (events.empty()) {
        return;
    }
    m_attempt->last_event_at = m_state.timers.now();
    note_gap();
    if (m_attempt->memory) {
        m_attempt->memory->on_used("event");
    }
    if (m_attempt->events_received == 0) {
        m_attempt->first_event_at = m_attempt->last_event_at;
    }
    const bool was_sound = m_attempt->events_received >= events_of_sound_stream;
    m_attempt->events_received += events.size();
    if (!was_sound && m_attempt->events_received >= events_of_sound_stream) {
        note_sound(m_attempt->first_event_at);
    }
    m_state.load.on_stream_event(m_attempt->server, m_attempt->last_event_at);
    if (!m_attempt->prefill_done_announced) {
        m_attempt->prefill_done_announced = true;
        announce_work(work_event::read);
        const auto took = m_state.timers.now() - m_attempt->sent_at;
        m_state.counters.observe("first_event_ms", std::chrono::duration<double, std::milli>(took).count());
        log_line("first event")
            .add("request", m_request.attempt_id)
            .add("server", m_attempt->server.value)
            .add("took_ms", took)
            .add("predicted_ms", m_attempt->placed.predicted)
            .info();
    }
    if (m_sink != nullptr && !bytes.empty()) {
        if (!m_history.answer_begun) {
            m_history.answer_begun = true;
            m_sink->begin_stream(m_attempt->answer.head);
        }
        m_sink->stream(std::move(bytes));
        if (m_sink->unsent_bytes() > max_unsent_bytes) {
            m_attempt->connection->pause_reading(true);
        }
    }
    limit_silence_in_stream();
}

void exchange::note_gap() {
    const auto now = m_attempt->last_event_at;
    if (m_newest_event_at == time_point{}) {
        if (now - m_received_at > m_route->latency_target && m_route->latency_target > duration::zero()) {
            m_state.counters.add("streams_begun_late");
        }
    } else {
        const auto gap = now - m_newest_event_at;
        const auto target = m_route->event_gap_target;
        if (target > duration::zero() && gap > target && m_longest_gap <= target) {
            m_state.counters.add("streams_with_late_events");
        }
        m_longest_gap = std::max(m_longest_gap, gap);
    }
    m_newest_event_at = now;
}

void exchange::on_output_written() {
    if (m_attempt && m_attempt->connection) {
        m_attempt->connection->pause_reading(false);
    }
}

void exchange::on_complete() {
    const auto& current = *m_attempt;
    const int status = current.answer.head.status;
    const bool success = status >= 200 && status < 300;
    if (current.streams) {
        // A server that crashes may end the connection in an orderly way.
        const bool ended_with_connection = current.connection->answer_ended_with_connection();
        const bool is_empty = current.events_received == 0 && ended_with_connection;
        if (current.events.pending() > 0 || is_empty) {
            if (ended_with_connection) {
                note_crash();
            }
            handle_outcome(attempt_outcome_unknown{},
                           is_empty ? "the stream ended before its first event" : "the stream ended inside an event");
            return;
        }
        m_state.servers.report_success(current.server);
        note_sound(current.events_received > 0 ? current.first_event_at : m_state.timers.now());
        if (!m_history.answer_begun) {
            m_history.answer_begun = true;
            m_sink->begin_stream(current.answer.head);
        }
        end_attempt();
        auto* sink = m_sink;
        finish("answered", status, "stream complete");
        sink->end_stream();
        return;
    }
    if (current.decoded.not_executed && success) {
        handle_outcome(attempt_outcome_unknown{}, "the answer contradicts itself");
        return;
    }
    if (current.decoded.not_executed) {
        handle_outcome(attempt_not_executed{}, current.decoded.wrong_server ? "another server has the address"
                                                                            : "the server rejected the request");
        return;
    }
    if (current.decoded.reads_as_not_run) {
        handle_outcome(attempt_refusal_unstated{}, "the server refused without stating that the request did not run");
        return;
    }
    // An answer that has begun goes on only with events.
    if (status >= 500 || (m_history.answer_begun && !success)) {
        handle_outcome(attempt_failed{}, "the server failed");
        return;
    }
    if (success && !current.decoded.proved) {
        handle_outcome(attempt_outcome_unknown{}, "the answer bears no proof");
        return;
    }
    if (m_history.answer_begun) {
        handle_outcome(attempt_outcome_unknown{}, "the answer that should continue a stream is none");
        return;
    }
    m_state.servers.report_success(current.server);
    note_sound(m_state.timers.now());
    m_attempt->succeeded = success;
    const auto answer = std::move(m_attempt->answer);
    end_attempt();
    send_answer(answer);
}

void exchange::on_failure(const call_failure& failure) {
    if (std::holds_alternative<not_connected>(failure)) {
        --m_history.sent;
        --m_history.may_have_run;
        ++m_history.not_sent;
        handle_outcome(attempt_not_sent{}, failure_reason(failure));
        return;
    }
    const auto* missing = std::get_if<answer_missing>(&failure);
    if (missing != nullptr && missing->ended_by_server) {
        note_crash();
    }
    handle_outcome(attempt_outcome_unknown{}, failure_reason(failure));
}

void exchange::note_sound(time_point began) {
    const auto news = m_state.crashes.on_sound_request(m_traits, began, m_state.timers.now());
    if (!news.empty() && m_state.notices.on_sound_request) {
        // Others may suspect further traits of a crash.
        m_state.notices.on_sound_request(m_traits.size() <= max_traits_per_message ? m_traits : news, began);
    }
}

void exchange::note_crash() {
    if (m_attempt->events_received >= events_of_sound_stream) {
        return;
    }
    const auto& server = m_attempt->placed.primary;
    const auto now = m_state.timers.now();
    crash_observation crash{make_server_run(server.id.value, server.started_at_unix_ms), now, m_traits};
    crash.traits = m_state.crashes.on_crash(crash, now);
    if (!crash.traits.empty() && m_state.notices.on_crash) {
        m_state.notices.on_crash(crash);
    }
}

server_name exchange::server_at_fault() const {
    const auto& named = m_attempt->decoded.server_at_fault;
    const auto* found = named.empty() ? nullptr : find_server(m_attempt->placed, named);
    return found != nullptr ? found->id : m_attempt->server;
}

void exchange::note_failed_attempt(const attempt_outcome& outcome, std::string_view reason) {
    const auto now = m_state.timers.now();
    const auto server = m_attempt->server;
    // A server that sends a complete answer is working, even if the answer is
    // an error.
    const bool speaks_against_server = std::holds_alternative<attempt_outcome_unknown>(outcome) ||
                                       std::holds_alternative<attempt_not_sent>(outcome) ||
                                       m_attempt->decoded.wrong_server;
    // The answer may name one of the helping servers as the faulty one.
    // A helper that lacks memory which this daemon gave up is not faulty.
    const bool memory_given_up = m_attempt->memory && m_attempt->memory->is_given_up();
    const auto at_fault = memory_given_up ? server : server_at_fault();
    const bool other_at_fault = at_fault != server;
    if (speaks_against_server || other_at_fault) {
        m_state.servers.report_failure(at_fault, now);
    }
    // Tells other daemons, so that they don't try the server too.
    const bool is_gone = std::holds_alternative<attempt_not_sent>(outcome) || m_attempt->decoded.wrong_server;
    if ((is_gone || other_at_fault) && m_state.notices.on_server_failure) {
        m_state.notices.on_server_failure(at_fault);
    }
    m_state.counters.add("attempts_failed");
    log_line line("attempt failed");
    line.add("request", m_request.attempt_id)
        .add("server", server.value)
        .add("at_fault", at_fault.value)
        .add("reason", reason)
        .add("status", m_attempt->answer.head.status);
    add_answer_fields(line, m_attempt->decoded, *m_attempt->connection);
    line.add("after_ms", now - m_attempt->sent_at)
        .add("events", m_attempt->events_received)
        .add("parts", joined(m_request.shared_parts))
        .add("may_have_run", m_history.may_have_run)
        .add("left_ms", time_left())
        .warn();
}

void exchange::handle_outcome(const attempt_outcome& outcome, std::string_view reason) {
    const auto failure = std::move(m_attempt->answer);
    if (std::holds_alternative<attempt_not_executed>(outcome)) {
        --m_history.may_have_run;
    }
    note_failed_attempt(outcome, reason);
    const auto decision = decide_next(*m_route, m_history, outcome);
    end_attempt();
    if (const auto* elsewhere = std::get_if<try_another_server>(&decision)) {
        const int daemons = m_state.sharing_daemons();
        if (!elsewhere->is_retry || m_state.repeats.take(m_service->name, daemons, m_state.timers.now())) {
            place();
            return;
        }
        if (m_history.answer_begun) {
            cut_off(early_end::no_retry_budget, "the budget for repeats is used up");
        } else if (std::holds_alternative<attempt_failed>(outcome)) {
            send_answer(failure);
        } else {
            refuse("the budget for repeats is used up", retry_after_rejection);
        }
        return;
    }
    if (std::holds_alternative<deliver_failure>(decision)) {
        send_answer(failure);
    } else if (const auto* gone = std::get_if<give_up>(&decision)) {
        if (gone->not_run) {
            fail(503, gone->reason, retry_after_rejection);
        } else {
            fail(502, gone->reason);
        }
    } else {
        cut_off(early_end::server_failed, reason);
    }
}

}  // namespace verbenahold::serving
