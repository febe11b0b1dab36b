// An HTTP call on a separate connection that the server executes at most once.
#pragma once

#include "http_client.hpp"

#include <QObject>

namespace verbenahold {

class one_shot_call : public QObject {
public:
    using answer_callback = http_client::answer_callback;

    // Starts the call; the object deletes itself after `done`. The failure
    // `refused` guarantees that no connection was made.
    //
    // The client may send a call without a body again, but none with one. A call
    // without a body is therefore sent with a newline as its body.
    static void start(http_call call, QObject* parent, answer_callback done);

private:
    one_shot_call(const http_call& call, QObject* parent, answer_callback done);

    // A separate client guarantees a new connection: a pooled idle one may have
    // been closed by the server or broken by the network.
    http_client m_client;
};

}  // namespace verbenahold
