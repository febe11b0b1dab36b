// Incremental parser of one HTTP/1.1 answer.
#pragma once

#include <QByteArray>

#include <cstdint>

namespace verbenahold {

class http_answer_parser {
public:
    enum class state : std::uint8_t { head, body, done, bad };

    // `head_only`: the answer to HEAD, which has no body.
    explicit http_answer_parser(bool head_only = false) : m_head_only(head_only) {}

    // Takes bytes and appends the part of the body in them to `body`.
    state feed(const QByteArray& bytes, QByteArray& body);
    // The connection has ended; some bodies end with it.
    state end_of_input();

    [[nodiscard]] state current() const { return m_state; }
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] const QByteArray& content_type() const { return m_content_type; }
    // Whether the connection can carry another request after this answer.
    [[nodiscard]] bool keeps_connection() const { return m_keep && m_rest.isEmpty(); }
    [[nodiscard]] bool saw_bytes() const { return m_saw_bytes; }

private:
    bool read_head();
    void read_header(const QByteArray& line);
    void read_sized(QByteArray& body);
    void read_chunks(QByteArray& body);

    state m_state = state::head;
    bool m_head_only = false;
    bool m_saw_bytes = false;
    int m_status = 0;
    QByteArray m_content_type;
    bool m_keep = true;
    bool m_chunked = false;
    // Without a length the body ends with the connection.
    qint64 m_left = -1;
    // Bytes of the present chunk with its line end that are still to come.
    qint64 m_chunk_left = 0;
    QByteArray m_rest;
};

}  // namespace verbenahold
