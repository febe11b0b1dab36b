// Sends calls to plain services and turns their answers into events for the
// core.
#pragma once

#include <QObject>

#include <functional>

#include "http_client.hpp"
#include "verbenahold/commands.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class service_client : public QObject {
public:
    using event_sink = std::function<void(entry_event&&)>;

    // `client` must outlive this object.
    service_client(http_client& client, event_sink sink, QObject* parent = nullptr);

    // Sends the call: an idempotent one over pooled connections, any other one
    // at most once on a separate connection.
    void run(const call_service& command);

private:
    void handle_answer(const server_name& server, const attempt_id& attempt, const http_answer& answer);

    http_client& m_client;
    event_sink m_sink;
};

}  // namespace verbenahold
