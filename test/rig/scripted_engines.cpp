#include "scripted_engines.hpp"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace verbenahold::serving {

namespace {

std::string json_text(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string rejection_at(const std::string& server) {
    return "HTTP/1.1 503 Service Unavailable\r\nVerbenahold-Not-Executed: 1\r\nAt-Server: " + server +
           "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

scripted_engines::scripted_engines(serving_rig& rig, int count) : m_rig(rig) {
    for (int index = 0; index < count; ++index) {
        const auto name = "i-" + std::to_string(index);
        const auto& added = rig.add_server(
            name, [this, name](const http_request& request, const auto& session) { answer(name, request, session); });
        m_server_at[added.address()] = name;
        rig.store.put("servers", name,
                      R"({"service":"app","address":")" + added.address() +
                          R"(","zone":"zone-a","slots":4,"state":"ready","born":)" + std::to_string(born) + "}");
    }
    const auto route = [](const std::string& name, const std::string& more) {
        return R"({"name":")" + name + R"(","prefix":"/)" + name +
               R"(/","kind":"streaming","host":"h.example","timeout-ms":30000,"target-latency-ms":3000,)"
               R"("target-gap-ms":1000,"max-attempts":2,"service":"app")" +
               more + "}";
    };
    rig.store.put(
        "op", "config",
        R"({"version":1,"routes":[)" + route("long", R"(,"can-resume":false)") + "," +
            route("resumable", R"(,"can-resume":true)") +
            R"(],"services":[{"name":"app","health-check":"/health","max-connections":10,"engine":{"slots":4,)"
            R"("kv-capacity":)" +
            std::to_string(memory_tokens) +
            R"(,"stride":10,"step_ms":1,"read_per_s":10000,"usual":{"prompt":1000,"answer":100}}}],)"
            R"("tenants":[{"name":"first","api-keys":["key-1"]}]})");
}

std::string scripted_engines::long_request(const std::string& path, const std::string& id) {
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nVerbenahold-Attempt-Id: " + id +
           "\r\nVerbenahold-Deadline-Ms: 25000\r\nAuthorization: Bearer key-1\r\nVerbenahold-Token-Usage: " +
           std::to_string(long_prompt_tokens) + ",100\r\nContent-Length: 0\r\n\r\n";
}

time_point scripted_engines::now() const {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_begin));
}

void scripted_engines::expire() {
    for (auto& [name, ticket] : m_tickets) {
        if (!ticket.ended_at && ticket.expires_at <= now()) {
            ticket.ended_at = ticket.expires_at;
        }
    }
}

void scripted_engines::answer(const std::string& server, const http_request& request, const session_pointer& session) {
    if (request.target == "/api/order") {
        answer_order(server, request, session);
    } else if (request.target == "/api/report") {
        answer_report(server, session);
    } else {
        open_request opened{server, request, session, {}};
        if (starts_at_once) {
            start(std::move(opened));
        } else {
            m_queued.push_back(std::move(opened));
        }
    }
}

void scripted_engines::answer_order(const std::string& server, const http_request& request,
                                    const session_pointer& session) {
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
    const auto operation = body["operation"].toString().toStdString();
    const auto id = body["id"].toString().toStdString();
    const auto tokens = static_cast<std::int64_t>(body["tokens"].toDouble());
    const duration hold = std::chrono::milliseconds(body["hold-ms"].toInt());
    ++orders;
    const auto handling = on_order ? on_order(server, operation) : order_handling::at_once;
    switch (handling) {
        case order_handling::at_once:
            carry_out(server, operation, id, tokens, hold);
            session->write(json_text(200, R"({"free-slots":4})"));
            break;
        case order_handling::answer_lost:
            carry_out(server, operation, id, tokens, hold);
            break;
        case order_handling::late: {
            const auto timer = std::make_shared<boost::asio::steady_timer>(m_rig.loop, late_by);
            timer->async_wait([this, timer, server, operation, id, tokens, hold](const auto& error) {
                if (!error) {
                    carry_out(server, operation, id, tokens, hold);
                }
            });
            break;
        }
        case order_handling::refused:
            session->write(json_text(409, "{}"));
            break;
    }
}

void scripted_engines::carry_out(const std::string& server, const std::string& operation, const std::string& id,
                                 std::int64_t tokens, duration hold) {
    expire();
    const auto found = m_tickets.find({server, id});
    const bool held = found != m_tickets.end() && !found->second.ended_at;
    if (operation == "release") {
        if (held) {
            found->second.ended_at = now();
        }
        return;
    }
    if (held) {
        found->second.expires_at = now() + hold;
        ++found->second.renewals;
        return;
    }
    engine_ticket made;
    made.tokens = tokens;
    made.reserved_at = now();
    made.expires_at = now() + hold;
    if (found != m_tickets.end()) {
        made.use_ended_at = found->second.use_ended_at;
        m_earlier_tickets.push_back(found->second);
    }
    m_tickets[{server, id}] = made;
}

void scripted_engines::answer_report(const std::string& server, const session_pointer& session) {
    expire();
    std::string tickets;
    std::int64_t held = 0;
    for (const auto& [name, ticket] : m_tickets) {
        if (name.first == server && !ticket.ended_at) {
            const bool used = ticket.used_at && !ticket.use_ended_at;
            tickets += (tickets.empty() ? "" : ",") + std::string(R"({"id":")") + name.second + R"(","tokens":)" +
                       std::to_string(ticket.tokens) + R"(,"state":")" + (used ? "used" : "held") + R"(","age-ms":1})";
            held += ticket.tokens;
        }
    }
    if (reports) {
        auto answer = json_text(200, R"({"stage":"unified","queued":0,"running":0,"kv-total":10000,"born":)" +
                                         std::to_string(reported_born) + R"(,"kv-used":)" + std::to_string(held) +
                                         R"(,"tickets":[)" + tickets + "]}");
        session->write(answer.insert(answer.find("\r\n") + 2, report_fields));
    }
}

engine_ticket& scripted_engines::ticket_named(const std::string& server_and_id) {
    const auto slash = server_and_id.find('/');
    return m_tickets.at({server_and_id.substr(0, slash), server_and_id.substr(slash + 1)});
}

void scripted_engines::start(open_request request) {
    expire();
    auto memory = memory_tokens;
    std::string helpers(field_value(request.request.fields, "Verbenahold-Helpers"));
    for (std::size_t begin = 0; begin < helpers.size();) {
        const auto end = std::min(helpers.find(',', begin), helpers.size());
        const auto entry = helpers.substr(begin, end - begin);
        begin = end + 1;
        const auto slash = entry.find('/');
        if (slash == std::string::npos) {
            continue;
        }
        const auto& holder = m_server_at.at(entry.substr(0, slash));
        const auto found = m_tickets.find({holder, entry.substr(slash + 1)});
        if (found == m_tickets.end() || found->second.ended_at) {
            request.session->write(rejection_at(holder));
            return;
        }
        memory += found->second.tokens;
        request.tickets.push_back(holder + '/' + entry.substr(slash + 1));
    }
    if (memory < long_prompt_tokens) {
        request.session->write(rejection());
        return;
    }
    for (const auto& name : request.tickets) {
        auto& ticket = ticket_named(name);
        ticket.used_at = now();
        ticket.use_ended_at.reset();
    }
    runs.emplace_back(field_value(request.request.fields, "Verbenahold-Attempt-Id"));
    m_running.push_back(std::move(request));
}

void scripted_engines::start_all() {
    for (auto& request : std::exchange(m_queued, {})) {
        start(std::move(request));
    }
}

void scripted_engines::reject_queued() {
    for (const auto& request : std::exchange(m_queued, {})) {
        request.session->write(rejection());
    }
}

void scripted_engines::reset_queued() {
    for (const auto& request : std::exchange(m_queued, {})) {
        request.session->reset();
    }
}

void scripted_engines::send_first_events() {
    for (const auto& running : m_running) {
        running.session->write(stream_head(running.request) + stream_chunk(1));
    }
}

void scripted_engines::finish_all() {
    expire();
    for (const auto& running : std::exchange(m_running, {})) {
        running.session->write(stream_chunk(2) + stream_end);
        for (const auto& name : running.tickets) {
            ticket_named(name).use_ended_at = now();
        }
    }
}

duration scripted_engines::longest_unused() {
    expire();
    duration longest{};
    const auto add = [&](const engine_ticket& ticket) {
        if (!ticket.use_ended_at || ticket.used_at) {
            const auto end = ticket.used_at.value_or(ticket.ended_at.value_or(now()));
            longest = std::max(longest, end - ticket.reserved_at);
        }
    };
    for (const auto& [name, ticket] : m_tickets) {
        add(ticket);
    }
    std::for_each(m_earlier_tickets.begin(), m_earlier_tickets.end(), add);
    return longest;
}

duration scripted_engines::longest_after_use() {
    expire();
    duration longest{};
    for (const auto& [name, ticket] : m_tickets) {
        if (ticket.use_ended_at) {
            longest = std::max(longest, ticket.ended_at.value_or(now()) - *ticket.use_ended_at);
        }
    }
    return longest;
}

int scripted_engines::count_held() {
    expire();
    return static_cast<int>(
        std::count_if(m_tickets.begin(), m_tickets.end(), [](const auto& entry) { return !entry.second.ended_at; }));
}

}  // namespace verbenahold::serving
