// HTTP client for calls with small bodies to the platform's store, backend
// servers and other daemons. Its connections carry no requests of callers: answers to
// calls bear no id, so that one of a call and one of a request could not be told apart.
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

// Bounds of one call.
struct call_limits {
    duration time{};
    // Bytes of the answer's body; a call with a longer one fails.
    std::size_t answer_bytes = 0;
};

// For calls that are answered with reports or short texts, and for those that are answered
// with rows of tables.
inline constexpr std::size_t max_report_bytes = 256UL * 1024;
inline constexpr std::size_t max_rows_bytes = 16UL * 1024 * 1024;

// Which connection a call uses. On a new one, no late answer to an earlier call can be taken
// for the answer to this one.
enum class connection_choice { kept, fresh };

class http_client {
public:
    using callback = std::function<void(const call_result&)>;

    http_client(boost::asio::io_context& loop, loop_timers& timers) : m_pool(loop, timers), m_timers(timers) {}

    // Calls `done` once, with the answer or a failure, within the time of `limits`.
    void call(const std::string& address, const http_request& request, const call_limits& limits, callback done,
              connection_choice choice = connection_choice::kept);
    // Closes the connections of all open calls without calling `done`.
    void abandon_all();
    // Closes connections that have been idle for too long.
    void expire() { m_pool.expire(); }
    // Number of connections created so far.
    [[nodiscard]] std::uint64_t opened() const { return m_pool.opened(); }

private:
    connection_pool m_pool;
    loop_timers& m_timers;
    std::vector<std::weak_ptr<server_connection>> m_open;
};

}  // namespace verbenahold::serving
