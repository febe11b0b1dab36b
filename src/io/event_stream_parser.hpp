// Incremental parser of server-sent events.
#pragma once

#include <QByteArray>

#include <functional>

namespace verbenahold {

class event_stream_parser {
public:
    // Size limit in bytes of one event; feed() fails on a longer one.
    static constexpr qsizetype max_event_bytes = 4LL * 1024 * 1024;

    std::function<void(const QByteArray&)> on_event;
    // Called for comment lines, which servers send as keep-alives.
    std::function<void()> on_comment;

    // Parses `bytes` and calls on_event with the data of each completed event.
    // Returns false if an event is too long.
    bool feed(const QByteArray& bytes);

private:
    void take_line(const QByteArray& line);

    QByteArray m_partial_line;
    QByteArray m_data;
    bool m_has_data = false;
};

}  // namespace verbenahold
