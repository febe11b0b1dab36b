// An HTTP call on a connection of its own that is carried out at most once.
#pragma once

#include "http_client.hpp"

#include <QObject>

namespace verbenahold {

class one_shot_call : public QObject {
public:
    using answer_callback = http_client::answer_callback;

    // Starts the call; the object deletes itself after `done`. `refused` in the
    // answer proves that no connection was made.
    //
    // QNetworkAccessManager may repeat the headers of a request by itself when
    // the connection closes before the answer, but it cannot repeat a body
    // that does not rewind. A call without a body is therefore sent with a
    // body of one line end: no server takes it for whole without that byte.
    static void start(http_call call, QObject* parent, answer_callback done);

private:
    one_shot_call(const http_call& call, QObject* parent, answer_callback done);

    // A client of its own makes sure of a new connection: an idle one may have
    // been closed by the server or lost on the way.
    http_client m_client;
};

}  // namespace verbenahold
