#include "front_session.hpp"

#include "log_line.hpp"
#include "service_listener.hpp"

#include <boost/asio/write.hpp>

#include <charconv>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;

// Bytes of pipelined requests that are buffered during the current one. Reading
// stops above this limit.
constexpr std::size_t max_pipelined_bytes = 64UL * 1024;
// After a graceful close, how long to wait for the caller to close its side.
constexpr duration linger = std::chrono::milliseconds(500);
// How long a caller may read nothing of an answer that has ended.
constexpr duration max_write_stall = std::chrono::seconds(10);

// Hop-by-hop fields, and fields that this daemon writes itself.
bool is_connection_field(std::string_view name) {
    for (const std::string_view known : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
                                         "Proxy-Connection", "Upgrade", "Trailer"}) {
        if (same_field_name(name, known)) {
            return true;
        }
    }
    return false;
}

header_fields end_to_end_fields(const header_fields& fields) {
    header_fields kept;
    for (const auto& field : fields) {
        if (!is_connection_field(field.name)) {
            kept.push_back(field);
        }
    }
    return kept;
}

std::string chunk_of(std::string_view bytes) {
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

}  // namespace

front_session::front_session(gateway_state& state, tcp::socket socket)
    : m_state(state), m_socket(std::move(socket)), m_reader(bounds()), m_held(state.answer_bodies.hold()) {}

front_session::~front_session() {
    m_state.timers.unsubscribe(m_timeout);
}

request_bounds front_session::bounds() const {
    if (!m_state.routes) {
        return {};
    }
    const auto& limits = m_state.routes->state().limits;
    return {limits.max_header_bytes, limits.max_body_bytes};
}

caller_limits front_session::limits() const {
    return m_state.routes ? m_state.routes->state().limits : caller_limits{};
}

void front_session::start() {
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_arriving = m_state.request_bodies.hold([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->contained([&] { self->give_way(); });
        }
    });
    start_timeout(limits().idle_timeout);
    read();
}

template <class Work>
void front_session::contained(Work&& work) {
    const auto self = shared_from_this();
    m_state.guard.run({"caller connection", m_request_id}, work, [this] { on_internal_fault(); });
}

void front_session::on_internal_fault() {
    m_state.guard.run(
        {"caller connection", m_request_id},
        [this] {
            if (m_exchange || m_closing || m_socket_closed) {
                abandon(early_end::internal_fault);
                return;
            }
            m_keep = false;
            write(answer_bytes({{500, {}, {}}, {}}, true, false));
            close_gracefully();
        },
        [this] { close_socket(early_end::internal_fault); });
}

void front_session::start_timeout(duration limit) {
    m_state.timers.unsubscribe(m_timeout);
    m_timeout = m_state.timers.after(limit, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->contained([&] { self->on_timeout(); });
        }
    });
}

void front_session::on_timeout() {
    if (m_exchange) {
        return;
    }
    if (m_reader.has_begun()) {
        m_keep = false;
        write(answer_bytes({{408, {}, {}}, {}}, true, false));
        close_gracefully();
    } else if (m_writing) {
        limit_write_stall();
    } else {
        close_socket(early_end::caller_stalled);
    }
}

void front_session::limit_write_stall() {
    m_state.timers.unsubscribe(m_timeout);
    m_timeout = m_state.timers.after(max_write_stall, [weak = weak_from_this(), before = m_unsent] {
        const auto self = weak.lock();
        if (!self || self->m_exchange) {
            return;
        }
        if (self->m_unsent == before) {
            self->close_socket(early_end::caller_stalled);
        } else if (self->m_writing) {
            self->limit_write_stall();
        } else {
            self->start_timeout(self->limits().idle_timeout);
        }
    });
}

void front_session::read() {
    if (m_reading || m_socket_closed || m_input_ended || m_reader.waiting_bytes() > max_pipelined_bytes) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                                 self->m_reading = false;
                                 if (!self->m_socket_closed) {
                                     self->contained([&] { self->on_read(error, count); });
                                 }
                             });
}

void front_session::on_read(const boost::system::error_code& error, std::size_t count) {
    if (error) {
        m_input_ended = true;
        // A caller may close its side before it has read the whole answer.
        if (error == boost::asio::error::eof && !m_exchange && m_writing) {
            if (!m_closing) {
                close_gracefully();
            }
            return;
        }
        abandon(early_end::caller_left);
        return;
    }
    if (m_closing) {
        read();
        return;
    }
    if (!m_timing_request) {
        m_timing_request = true;
        m_request_began = m_state.timers.now();
        if (!m_exchange) {
            start_timeout(limits().header_timeout);
        }
    }
    parse({m_chunk.data(), count});
    if (!m_exchange) {
        handle_reader_state();
    }
    read();
}

void front_session::parse(std::string_view bytes) {
    m_reader.set_bounds(bounds());
    m_reader.feed(bytes);
    m_arriving.resize(m_reader.held_bytes());
}

void front_session::handle_reader_state() {
    if (m_reader.take_expects_continue()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    switch (m_reader.state()) {
        case request_reader::progress::complete:
            begin_exchange();
            break;
        case request_reader::progress::broken:
            reject_malformed();
            break;
        case request_reader::progress::incomplete:
            if (m_reader.header_done()) {
                // The idle timeout also limits the time to receive a body.
                start_timeout(limits().idle_timeout);
            }
            break;
    }
}

void front_session::reject_malformed() {
    log_line("refused malformed request").add("status", m_reader.fault_status()).add("reason", m_reader.fault()).warn();
    m_keep = false;
    write(answer_bytes({{m_reader.fault_status(), {}, {}}, {}}, true, false));
    close_gracefully();
}

void front_session::refuse_partial_request() {
    m_keep = false;
    m_reader = request_reader(bounds());
    m_arriving.resize(0);
    write(answer_bytes({{503, {}, m_state.wire.own_answer_fields({}, retry_after_rejection)}, {}}, true, false));
    close_gracefully();
}

void front_session::give_way() {
    if (!m_reader.has_begun() || m_exchange || m_closing || m_socket_closed) {
        return;
    }
    log_line("refused request without room for its body").add("arrived_bytes", m_reader.held_bytes()).warn();
    m_state.counters.add("requests_without_room");
    refuse_partial_request();
}

void front_session::begin_exchange() {
    m_state.timers.unsubscribe(m_timeout);
    m_timing_request = false;
    m_keep = m_reader.keep_alive();
    m_unchunked_stream = m_reader.is_http_1_0();
    auto request = m_state.wire.read_request(m_reader.take_request());
    m_arriving.resize(m_reader.held_bytes());
    m_head_request = request.request.method == "HEAD";
    m_request_id = request.attempt_id;
    m_answer_bytes = 0;
    m_answer_complete = false;
    m_exchange = std::make_shared<exchange>(m_state, *this, std::move(request), m_request_began);
    m_self = shared_from_this();
    const auto running = m_exchange;
    running->start();
}

// From the beginning of a planned stop on, only requests that have arrived whole are
// taken after the current one.
bool front_session::closes_after_answer() {
    if (!m_keep || !m_state.stop.has_begun()) {
        return !m_keep;
    }
    parse({});
    return m_reader.state() != request_reader::progress::complete;
}

void front_session::answer(const http_answer& answer) {
    contained([&] {
        const bool close = closes_after_answer();
        write(
            answer_bytes({{answer.head.status, answer.head.reason, end_to_end_fields(answer.head.fields)}, answer.body},
                         close, m_head_request));
        m_answer_complete = true;
        request_ended(!close);
    });
}

void front_session::begin_stream(const http_answer_head& head) {
    contained([&] { write_stream_head(head); });
}

void front_session::write_stream_head(const http_answer_head& head) {
    m_keep = !m_unchunked_stream && !closes_after_answer();
    std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
    for (const auto& field : end_to_end_fields(head.fields)) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!m_unchunked_stream) {
        bytes.append("Transfer-Encoding: chunked\r\n");
    }
    if (!m_keep) {
        bytes.append("Connection: close\r\n");
    }
    write(bytes.append("\r\n"));
}

void front_session::stream(std::string bytes) {
    contained([&] { write(m_unchunked_stream ? std::move(bytes) : chunk_of(bytes)); });
}

void front_session::end_stream() {
    contained([&] {
        if (!m_unchunked_stream) {
            write("0\r\n\r\n");
        }
        m_answer_complete = true;
        // Its head may have told the caller that the connection stays open.
        const bool may_go_on = m_keep && m_state.stop.accepts_requests(m_state.timers.now());
        request_ended(may_go_on || !closes_after_answer());
    });
}

void front_session::cut_off(early_end cause) {
    m_exchange.reset();
    const auto self = std::move(m_self);
    // With a reset the caller knows that the answer is incomplete, also if the
    // end of the connection would mark the end of the body.
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close_socket(cause);
}

void front_session::request_ended(bool keep) {
    m_exchange.reset();
    const auto self = std::move(m_self);
    if (!keep) {
        close_gracefully();
        return;
    }
    start_timeout(limits().idle_timeout);
    // The next request may already be buffered. It is started by a timer, since
    // the ending exchange is still on the call stack here.
    // Nothing else keeps this object while the reading of pipelined requests is paused.
    m_state.timers.after(duration::zero(), [session = shared_from_this()] {
        session->contained([&] { session->start_next_request(); });
    });
}

void front_session::start_next_request() {
    if (m_exchange || m_closing || m_socket_closed) {
        return;
    }
    parse({});
    if (has_unanswered_input()) {
        if (!m_timing_request) {
            m_request_began = m_state.timers.now();
            m_timing_request = true;
        }
        start_timeout(limits().header_timeout);
        handle_reader_state();
    }
    read();
}

void front_session::write(std::string bytes) {
    if (m_socket_closed) {
        return;
    }
    m_unsent += bytes.size();
    m_answer_bytes += bytes.size();
    m_output.push_back(std::move(bytes));
    m_held.resize(m_unsent + m_written_of_front);
    if (!m_writing) {
        write_next();
    }
}

void front_session::write_next() {
    m_writing = true;
    const auto rest = boost::asio::buffer(m_output.front()) + m_written_of_front;
    m_socket.async_write_some(rest,
                              [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                                  self->m_writing = false;
                                  if (!self->m_socket_closed) {
                                      self->contained([&] { self->on_written(error, count); });
                                  }
                              });
}

void front_session::on_written(const boost::system::error_code& error, std::size_t count) {
    if (error) {
        abandon(early_end::write_failed);
        return;
    }
    m_unsent -= count;
    m_written_of_front += count;
    if (m_written_of_front == m_output.front().size()) {
        m_output.pop_front();
        m_written_of_front = 0;
    }
    m_held.resize(m_unsent + m_written_of_front);
    if (!m_output.empty()) {
        write_next();
    } else if (m_closing) {
        end_writing();
    } else if (m_exchange) {
        m_exchange->on_output_written();
    }
}

void front_session::close_gracefully() {
    m_closing = true;
    if (m_writing) {
        limit_write_stall();
    } else {
        end_writing();
    }
    read();
}

void front_session::end_writing() {
    if (m_input_ended) {
        close_socket(early_end::caller_left);
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    // Closing a socket with unread input sends a reset, which could discard the
    // answer. So input is read until the caller closes or the time is over.
    m_state.timers.unsubscribe(m_timeout);
    m_timeout =
        m_state.timers.after(linger, [self = shared_from_this()] { self->close_socket(early_end::caller_stalled); });
}

void front_session::close_if_idle() {
    if (is_idle() && !m_writing && !m_closing) {
        close_socket(early_end::stopping);
    }
}

void front_session::answer_for_stop() {
    if (m_exchange) {
        m_exchange->on_stop();
    } else if (m_reader.has_begun() && !m_closing) {
        // The rest of the request would come too late.
        refuse_partial_request();
    }
    close_if_idle();
}

void front_session::abandon(early_end cause) {
    if (m_exchange) {
        m_exchange->on_connection_ended(cause);
        m_exchange.reset();
    }
    const auto self = std::move(m_self);
    close_socket(cause);
}

void front_session::close_socket(early_end cause) {
    if (m_socket_closed) {
        return;
    }
    m_socket_closed = true;
    if (!m_answer_complete || m_unsent > 0) {
        log_early_end(cause);
        m_state.counters.add(early_end_counter(cause));
    }
    m_state.timers.unsubscribe(m_timeout);
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void front_session::log_early_end(early_end cause) const {
    const auto now = m_state.timers.now();
    log_line line("connection ended early");
    line.add("request", m_request_id)
        .add("host", m_state.settings.host.value)
        .add("cause", early_end_name(cause))
        .add("answer_bytes", m_answer_bytes)
        .add("unwritten_bytes", m_unsent)
        .add("answer_complete", m_answer_complete ? "yes" : "no");
    const auto add_time_since = [&](std::string_view name, const std::optional<time_point>& at) {
        if (at) {
            line.add(name, now - *at);
        }
    };
    add_time_since("since_stop_ms", m_state.stop.began());
    add_time_since("since_reload_ms", m_state.changes.settings_reloaded);
    add_time_since("since_state_ms", m_state.changes.desired_state);
    if (cause == early_end::caller_left) {
        line.info();
    } else {
        line.warn();
    }
}

}  // namespace verbenahold::serving
