// Calls with small bodies to the platform's store, to backend servers and to
// other daemons, over kept connections.
#pragma once

#include "connection_pool.hpp"

#include <functional>
#include <optional>

namespace verbenahold::serving {

struct call_result {
    // Set when a whole answer came.
    std::optional<http_answer> answer;
    // Why none came.
    std::string failure;
};

// Requests in HTTP/1.1 as they go out: fields that name the host and the length
// are added.
std::string request_bytes(const http_request& request, std::string_view host);

class http_caller {
public:
    using callback = std::function<void(const call_result&)>;

    http_caller(connection_pool& pool, loop_timers& timers) : m_pool(pool), m_timers(timers) {}

    // Calls `done` once, with the answer or after `time_limit` at the latest.
    void call(const std::string& address, const http_request& request, duration time_limit, callback done);
    // Ends all calls without calling back.
    void abandon_all();

private:
    connection_pool& m_pool;
    loop_timers& m_timers;
    std::vector<std::weak_ptr<server_connection>> m_open;
};

}  // namespace verbenahold::serving
