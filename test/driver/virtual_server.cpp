#include "virtual_server.hpp"

#include "token_text.hpp"

#include <utility>
#include <vector>

namespace verbenahold::testing {

namespace {

constexpr std::chrono::milliseconds heartbeat{500};

}  // namespace

virtual_engine::virtual_engine(server_name name, const standins::engine_settings& settings, sink send)
    : m_name(std::move(name)), m_settings(settings), m_send(std::move(send)), m_model(settings, crash_marker) {}

void virtual_engine::on(const daemon_id& from, const open_stream& command, time_point now) {
    advance(now);
    const auto result = m_model.start(
        {command.stream, *command.prompt, command.generated, command.max_tokens, command.priority, {}}, now);
    if (result != standins::start_result::started) {
        const bool is_full = result == standins::start_result::out_of_memory;
        const bool exists = result == standins::start_result::stream_exists;
        m_send(from, stream_failed{m_name, command.stream,
                                   exists    ? backend_failure::rejected
                                   : is_full ? backend_failure::out_of_memory
                                             : backend_failure::overloaded,
                                   ""});
        return;
    }
    m_prompts_run.insert(standins::hash_prompt(*command.prompt));
    m_readers[command.stream] = {from, command.generated.size(), now, false};
    m_send(from, stream_opened{m_name, command.stream});
}

void virtual_engine::on(const daemon_id& from, const reopen_stream& command) {
    if (m_model.find(command.stream) == nullptr) {
        m_send(from, stream_failed{m_name, command.stream, backend_failure::unknown_stream, ""});
        return;
    }
    m_readers[command.stream] = {from, command.from_index, {}, false};
}

void virtual_engine::on(const cancel_stream& command) {
    m_model.cancel(command.stream);
    m_readers.erase(command.stream);
}

load_report virtual_engine::report() const {
    const standins::engine_load load = m_model.load();
    return {m_name,       m_incarnation,        load.running,         load.queued,
            load.kv_used, m_settings.kv_tokens, load.prefill_backlog, load.model_version};
}

void virtual_engine::on(const daemon_id& from, const poll_load& /*command*/, time_point now) {
    if (now - m_report_time >= load_lag) {
        m_shown_report = report();
        m_report_time = now;
    }
    m_send(from, m_shown_report);
}

void virtual_engine::on(const daemon_id& from, const list_streams& /*command*/, time_point now) {
    stream_listing listing{m_name, m_incarnation, {}, {}};
    for (const auto& [id, stream] : m_model.streams()) {
        if (stream.is_active()) {
            const duration age = now - stream.created;
            listing.streams.push_back({id, stream.kv_tokens, m_readers.contains(id), age});
        }
    }
    for (const auto& [id, reservation] : m_model.reservations()) {
        listing.reservations.push_back({id, reservation.tokens, now - reservation.created});
    }
    m_send(from, listing);
}

void virtual_engine::on(const daemon_id& from, const reserve_memory& command, time_point now) {
    const bool granted = m_model.reserve(command.reservation, command.tokens, command.expires_in, now);
    m_send(from, memory_reserved{m_name, command.reservation, granted});
}

void virtual_engine::on(const release_memory& command) {
    m_model.release(command.reservation);
}

void virtual_engine::reset_connections(time_point /*now*/) {
    for (const auto& [stream, to] : std::exchange(m_readers, {})) {
        if (!to.silent) {
            m_send(to.daemon, stream_failed{m_name, stream, backend_failure::reset, "connection reset"});
        }
    }
}

void virtual_engine::crash(time_point now) {
    m_overloads_before_crashes += m_model.counters().cold_overloads;
    m_model = standins::engine_model(m_settings, crash_marker);
    m_model.advance(now);
    ++m_incarnation;
    reset_connections(now);
}

void virtual_engine::silence_connections() {
    for (auto& [stream, to] : m_readers) {
        to.silent = true;
    }
}

std::uint64_t virtual_engine::cold_overloads() const {
    return m_overloads_before_crashes + m_model.counters().cold_overloads;
}

void virtual_engine::send_new_tokens(const std::string& stream, reader& to, time_point now) {
    const standins::model_stream* running = m_model.find(stream);
    if (running == nullptr || to.silent) {
        return;
    }
    const auto produced = static_cast<std::uint64_t>(running->produced);
    if (produced > to.sent) {
        stream_tokens tokens{m_name, stream, to.sent, {}};
        for (; to.sent < produced; ++to.sent) {
            tokens.tokens.push_back(standins::token_text(running->prompt_hash, to.sent));
        }
        to.last_sent = now;
        m_send(to.daemon, std::move(tokens));
    } else if (now - to.last_sent >= heartbeat) {
        to.last_sent = now;
        m_send(to.daemon, stream_heartbeat{m_name, stream});
    }
}

void virtual_engine::advance(time_point now) {
    if (m_model.advance(now)) {
        crash(now);
        return;
    }
    std::vector<std::string> finished;
    for (auto& [stream, to] : m_readers) {
        send_new_tokens(stream, to, now);
        const standins::model_stream* running = m_model.find(stream);
        if (running != nullptr && !running->is_active() && !to.silent) {
            finished.push_back(stream);
        }
    }
    for (const std::string& stream : finished) {
        const daemon_id to = m_readers.at(stream).daemon;
        const standins::model_stream* ended = m_model.find(stream);
        m_send(to, stream_finished{m_name, stream, static_cast<std::uint64_t>(ended->produced), ended->cached_tokens,
                                   "stop"});
        m_model.mark_read(stream);
        m_readers.erase(stream);
    }
}

}  // namespace verbenahold::testing
