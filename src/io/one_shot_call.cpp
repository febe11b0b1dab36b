#include "one_shot_call.hpp"

#include <utility>

#include "http_request_bytes.hpp"

namespace verbenahold {

void one_shot_call::start(const http_call& call, QObject* parent, answer_callback done) {
    // Owned by its parent until it deletes itself.
    new one_shot_call(call, parent, std::move(done));  // NOLINT(cppcoreguidelines-owning-memory)
}

one_shot_call::one_shot_call(const http_call& call, QObject* parent, answer_callback done)
    : QObject(parent), m_request(request_bytes(call, connection_use::once)), m_done(std::move(done)) {
    connect(&m_socket, &QTcpSocket::connected, this, [this] {
        m_sent = true;
        m_socket.write(m_request);
    });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] { handle_end(); });
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { finish(http_failure::timed_out); });
    m_timer.start(call.timeout);
    m_socket.connectToHost(call.url.host(), static_cast<quint16>(call.url.port(80)));
}

void one_shot_call::read() {
    const auto state = m_parser.feed(m_socket.readAll(), m_answer.body);
    if (state == http_answer_parser::state::bad || m_answer.body.size() > http_client::answer_limit) {
        finish(http_failure::bad_answer);
    } else if (state == http_answer_parser::state::done) {
        finish(http_failure::none);
    }
}

void one_shot_call::handle_end() {
    if (!m_sent) {
        finish(http_failure::refused);
        return;
    }
    if (m_socket.bytesAvailable() > 0) {
        read();
    }
    const bool whole = m_parser.end_of_input() == http_answer_parser::state::done;
    finish(whole ? http_failure::none : http_failure::reset);
}

void one_shot_call::finish(http_failure failure) {
    if (!m_done) {
        return;
    }
    m_timer.stop();
    m_socket.disconnect(this);
    m_socket.abort();
    m_answer.failure = failure == http_failure::timed_out && !m_sent ? http_failure::refused : failure;
    if (failure == http_failure::none) {
        m_answer.status = m_parser.status();
        m_answer.content_type = m_parser.content_type();
    }
    deleteLater();
    const answer_callback done = std::exchange(m_done, nullptr);
    done(m_answer);
}

}  // namespace verbenahold
