// An HTTP call on a connection of its own that is sent at most once.
// QNetworkAccessManager may repeat the headers of a request by itself, which a
// call that must not run twice can't allow.
#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <functional>

#include "http_answer_parser.hpp"
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
    void handle_end();
    void finish(http_failure failure);

    QByteArray m_request;
    answer_callback m_done;
    QTcpSocket m_socket;
    QTimer m_timer;
    bool m_sent = false;
    http_answer_parser m_parser;
    http_answer m_answer;
};

}  // namespace verbenahold
