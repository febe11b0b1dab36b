#include "http_client.hpp"

#include <utility>

namespace verbenahold::serving {

namespace {

// State of one call until its answer or its time limit.
struct open_call {
    explicit open_call(byte_budget& budget) : held(budget, byte_use::calls) {}

    std::shared_ptr<server_connection> connection;
    http_answer answer;
    byte_share held;
    http_client::callback done;
    loop_timers::subscription limit{};

    void end(loop_timers& timers, const call_result& result) {
        if (!done) {
            return;
        }
        timers.unsubscribe(limit);
        timers.guard().run({"call", connection->address()}, [&] { std::exchange(done, nullptr)(result); });
    }
};

}  // namespace

std::string request_head_bytes(const http_request& request, std::string_view host, std::size_t body_bytes) {
    std::string bytes = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!host.empty()) {
        bytes.append("Host: ").append(host).append("\r\n");
    }
    for (const auto& field : request.fields) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (body_bytes > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        bytes.append("Content-Length: ").append(std::to_string(body_bytes)).append("\r\n");
    }
    return bytes.append("\r\n");
}

std::string request_bytes(const http_request& request, std::string_view host) {
    return request_head_bytes(request, host, request.body.size()).append(request.body);
}

void http_client::abandon_all() {
    for (const auto& weak : m_open) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

void http_client::call(const std::string& address, const http_request& request, duration time_limit, callback done,
                       connection_choice choice, std::size_t max_answer_bytes) {
    const auto open = std::make_shared<open_call>(m_bytes);
    open->connection =
        choice == connection_choice::fresh ? m_pool.open(address) : m_pool.take(address, default_max_idle_time);
    std::erase_if(m_open, [](const auto& connection) { return connection.expired(); });
    m_open.push_back(open->connection);
    open->done = std::move(done);
    open->limit = m_timers.after(time_limit, [this, open] {
        open->connection->close();
        open->end(m_timers, {std::nullopt, "no answer within the time limit"});
    });
    answer_callbacks callbacks;
    callbacks.on_head = [open](const http_answer_head& head) {
        open->answer.head = head;
        return true;
    };
    callbacks.on_body = [this, open, max_answer_bytes](const std::string& body) {
        const auto size = open->answer.body.size() + body.size();
        if (size > max_answer_bytes || !open->held.try_hold(size)) {
            open->connection->close();
            open->end(m_timers,
                      {std::nullopt, size > max_answer_bytes ? "the answer is too large" : "no memory for the answer"});
            return;
        }
        open->answer.body += body;
    };
    callbacks.on_complete = [this, open] {
        m_pool.put_back(open->connection);
        open->end(m_timers, {std::move(open->answer), {}});
    };
    callbacks.on_failure = [this, open](const call_failure& failure) {
        open->end(m_timers, {std::nullopt, std::string(failure_reason(failure))});
    };
    open->connection->send(
        {request_bytes(request, address), request.method == "HEAD", std::string(path_of(request.target))},
        std::move(callbacks));
}

}  // namespace verbenahold::serving
