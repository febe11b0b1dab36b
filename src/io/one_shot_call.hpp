// An HTTP call on a connection of its own that is sent at most once.
// QNetworkAccessManager may repeat the headers of a request by itself, which a
// call that must not run twice can't allow.
#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>

#include "http_client.hpp"

namespace verbenahold {

class one_shot_call : public QObject {
public:
    using answer_callback = http_client::answer_callback;

    // Starts the call; the object deletes itself after `done`. `refused` in the
    // answer proves that not a byte was sent.
    static void start(const http_call& call, QObject* parent, answer_callback done);

private:
    one_shot_call(const http_call& call, QObject* parent, answer_callback done);

    void read();
    void read_body();
    bool read_chunks();
    void handle_end(http_failure failure);
    void finish(http_failure failure);

    QByteArray m_request;
    answer_callback m_done;
    QTcpSocket m_socket;
    QTimer m_timer;
    bool m_sent = false;
    bool m_head_read = false;
    bool m_chunked = false;
    // Without a length the body ends with the connection.
    qint64 m_length = -1;
    QByteArray m_received;
    http_answer m_answer;
};

}  // namespace verbenahold
