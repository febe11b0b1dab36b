#include "http_client.hpp"

#include <utility>

namespace verbenahold::serving {

namespace {

// State of one call until its answer or its time limit.
struct open_call {
    std::shared_ptr<server_connection> connection;
    http_answer answer;
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

std::string request_bytes(const http_request& request, std::string_view host) {
    std::string bytes = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!host.empty()) {
        bytes.append("Host: ").append(host).append("\r\n");
    }
    for (const auto& field : request.fields) {
        bytes.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    bytes.append("\r\n").append(request.body);
    return bytes;
}

void http_client::abandon_all() {
    for (const auto& weak : m_open) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

void http_client::call(const std::string& address, const http_request& request, const call_limits& limits,
                       callback done, connection_choice choice) {
    const auto open = std::make_shared<open_call>();
    open->connection =
        choice == connection_choice::fresh ? m_pool.open(address) : m_pool.take(address, default_max_idle_time);
    std::erase_if(m_open, [](const auto& connection) { return connection.expired(); });
    m_open.push_back(open->connection);
    open->done = std::move(done);
    open->limit = m_timers.after(limits.time, [this, open] {
        open->connection->close();
        open->end(m_timers, {std::nullopt, "no answer within the time limit"});
    });
    answer_callbacks callbacks;
    const auto give_up_if_longer = [this, open, most = limits.answer_bytes](std::uint64_t bytes) {
        if (bytes > most) {
            open->connection->close();
            open->end(m_timers, {std::nullopt, "the answer is too large"});
        }
        return bytes > most;
    };
    callbacks.on_head = [open, give_up_if_longer](const http_answer_head& head) {
        open->answer.head = head;
        return !give_up_if_longer(head.announced_length.value_or(0));
    };
    callbacks.on_body = [open, give_up_if_longer](const std::string& body) {
        if (!give_up_if_longer(open->answer.body.size() + body.size())) {
            open->answer.body += body;
        }
    };
    callbacks.on_complete = [this, open] {
        m_pool.put_back(open->connection);
        open->end(m_timers, {open->answer, {}});
    };
    callbacks.on_failure = [this, open](const call_failure& failure) {
        open->end(m_timers, {std::nullopt, std::string(failure_reason(failure))});
    };
    open->connection->send(
        {request_bytes(request, address), request.method == "HEAD", std::string(path_of(request.target))},
        std::move(callbacks));
}

}  // namespace verbenahold::serving
