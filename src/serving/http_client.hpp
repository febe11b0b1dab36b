// HTTP client for calls with small bodies to the platform's store, backend
// servers and other daemons, over pooled connections.
#pragma once

#include "connection_pool.hpp"

#include <functional>
#include <optional>

namespace verbenahold::serving {

struct call_result {
    // Set if a complete answer arrived.
    std::optional<http_answer> answer;
    // The reason if none arrived.
    std::string failure;
};

// Serializes a request as HTTP/1.1. Adds Host unless `host` is empty, and
// Content-Length for methods or requests with a body.
std::string request_bytes(const http_request& request, std::string_view host);

class http_client {
public:
    using callback = std::function<void(const call_result&)>;

    http_client(connection_pool& pool, loop_timers& timers) : m_pool(pool), m_timers(timers) {}

    // Calls `done` once, with the answer or a failure, within `time_limit`.
    void call(const std::string& address, const http_request& request, duration time_limit, callback done);
    // Closes the connections of all open calls without calling `done`.
    void abandon_all();

private:
    connection_pool& m_pool;
    loop_timers& m_timers;
    std::vector<std::weak_ptr<server_connection>> m_open;
};

}  // namespace verbenahold::serving
