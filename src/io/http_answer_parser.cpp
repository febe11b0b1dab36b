#include "http_answer_parser.hpp"

#include <QList>

#include <algorithm>
#include <utility>

namespace verbenahold {

namespace {

constexpr qsizetype longest_head = 64LL * 1024;
// A chunk line holds a size in hexadecimal and perhaps an extension.
constexpr qsizetype longest_chunk_line = 1'024;
constexpr qint64 longest_chunk = 64LL * 1024 * 1024;
constexpr qint64 line_end_size = 2;

}  // namespace

http_answer_parser::state http_answer_parser::feed(const QByteArray& bytes, QByteArray& body) {
    m_saw_bytes = m_saw_bytes || !bytes.isEmpty();
    m_rest += bytes;
    while (m_state == state::head && read_head()) {
    }
    if (m_state == state::body) {
        if (m_chunked) {
            read_chunks(body);
        } else {
            read_sized(body);
        }
    }
    return m_state;
}

http_answer_parser::state http_answer_parser::end_of_input() {
    m_keep = false;
    if (m_state == state::body && !m_chunked && m_left < 0) {
        m_state = state::done;
    }
    return m_state;
}

// True if another head may follow, as after "100 Continue".
bool http_answer_parser::read_head() {
    const qsizetype end = m_rest.indexOf("\r\n\r\n");
    if (end < 0) {
        m_state = m_rest.size() > longest_head ? state::bad : state::head;
        return false;
    }
    const QList<QByteArray> lines = m_rest.left(end).split('\n');
    m_rest.remove(0, end + 4);
    m_status = lines.front().mid(9, 3).toInt();
    if (!lines.front().startsWith("HTTP/1.") || m_status < 100) {
        m_state = state::bad;
        return false;
    }
    if (m_status < 200) {
        return true;
    }
    m_keep = lines.front().startsWith("HTTP/1.1");
    for (const QByteArray& line : lines) {
        read_header(line);
    }
    const bool no_body = m_head_only || m_status == 204 || m_status == 304;
    if (m_state != state::bad) {
        m_state = no_body ? state::done : state::body;
    }
    return false;
}

void http_answer_parser::read_header(const QByteArray& line) {
    const qsizetype colon = line.indexOf(':');
    if (colon < 0) {
        return;
    }
    const QByteArray name = line.left(colon).toLower();
    const QByteArray value = line.mid(colon + 1).trimmed();
    if (name == "content-length") {
        bool number = false;
        m_left = value.toLongLong(&number);
        if (!number || m_left < 0) {
            m_state = state::bad;
        }
    } else if (name == "transfer-encoding") {
        m_chunked = value.toLower() == "chunked";
    } else if (name == "connection") {
        m_keep = m_keep && value.toLower() != "close";
    } else if (name == "content-type") {
        m_content_type = value;
    }
}

void http_answer_parser::read_sized(QByteArray& body) {
    if (m_left < 0) {
        body += std::exchange(m_rest, {});
        return;
    }
    const qint64 count = std::min<qint64>(m_left, m_rest.size());
    body += m_rest.left(count);
    m_rest.remove(0, count);
    m_left -= count;
    if (m_left == 0) {
        m_state = state::done;
    }
}

void http_answer_parser::read_chunks(QByteArray& body) {
    qsizetype position = 0;
    while (true) {
        if (m_chunk_left > 0) {
            const qint64 count = std::min<qint64>(m_chunk_left, m_rest.size() - position);
            const qint64 data = std::clamp<qint64>(m_chunk_left - line_end_size, 0, count);
            body.append(m_rest.constData() + position, data);
            position += count;
            m_chunk_left -= count;
            if (m_chunk_left > 0) {
                break;
            }
        }
        const qsizetype line_end = m_rest.indexOf("\r\n", position);
        if (line_end < 0) {
            if (m_rest.size() - position > longest_chunk_line) {
                m_state = state::bad;
            }
            break;
        }
        bool number = false;
        const QByteArray line = m_rest.mid(position, line_end - position);
        const qint64 size = line.split(';').front().trimmed().toLongLong(&number, 16);
        if (!number || size < 0 || size > longest_chunk) {
            m_state = state::bad;
            break;
        }
        if (size == 0) {
            // Trailers are not used; the empty line after them must be here.
            const qsizetype end = m_rest.indexOf("\r\n\r\n", line_end);
            if (end < 0) {
                break;
            }
            position = end + 4;
            m_state = state::done;
            break;
        }
        position = line_end + line_end_size;
        m_chunk_left = size + line_end_size;
    }
    m_rest.remove(0, position);
}

}  // namespace verbenahold
