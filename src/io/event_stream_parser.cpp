#include "event_stream_parser.hpp"

#include <utility>

namespace verbenahold {

bool event_stream_parser::feed(const QByteArray& bytes) {
    qsizetype start = 0;
    while (true) {
        const qsizetype end = bytes.indexOf('\n', start);
        if (end < 0) {
            break;
        }
        QByteArray line = m_partial_line + bytes.mid(start, end - start);
        m_partial_line.clear();
        if (line.endsWith('\r')) {
            line.chop(1);
        }
        take_line(line);
        start = end + 1;
    }
    m_partial_line += bytes.mid(start);
    return m_partial_line.size() + m_data.size() <= max_event_bytes;
}

void event_stream_parser::take_line(const QByteArray& line) {
    if (line.isEmpty()) {
        if (std::exchange(m_has_data, false)) {
            const QByteArray data = std::exchange(m_data, {});
            on_event(data);
        }
        return;
    }
    if (line.startsWith(':')) {
        if (on_comment) {
            on_comment();
        }
        return;
    }
    if (!line.startsWith("data:")) {
        return;
    }
    if (m_has_data) {
        m_data += '\n';
    }
    m_data += line.mid(line.startsWith("data: ") ? 6 : 5);
    m_has_data = true;
}

}  // namespace verbenahold
