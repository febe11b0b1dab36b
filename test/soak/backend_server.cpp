#include "backend_server.hpp"

#include "answer_text.hpp"

#include "json_field_reader.hpp"
#include "server_connection.hpp"

#include <algorithm>
#include <chrono>

namespace verbenahold::soak {

namespace {

using serving::field_value;
using serving::header_fields;
using serving::http_request;
using std::chrono::milliseconds;

constexpr serving::request_bounds request_limits{65'536, 16'777'216};
constexpr int plain_slots = 6;
constexpr int plain_queue = 24;
constexpr double mean_work_ms = 30;
constexpr double max_work_ms = 220;
constexpr double slow_factor = 5;
constexpr double far_future_ms = 1e9;
// How long a server that has just started is slow.
constexpr double warm_up_ms = 3'000;
constexpr double warm_up_factor = 2;
constexpr double endless_ms = 6'000;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

backend_server::backend_server(io_context& loop, journal& notes, std::mt19937_64::result_type seed, std::string id,
                               std::string service, std::string address, pass_engine::finder find_engine)
    : m_loop(loop),
      m_journal(notes),
      m_random(seed),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_address(std::move(address)),
      m_acceptor(loop),
      m_born_unix_ms(unix_ms()) {
    if (m_service == "llm") {
        m_engine = std::make_unique<pass_engine>(loop, notes, m_id, m_address, std::move(find_engine));
    }
}

bool backend_server::start() {
    const auto endpoint = serving::endpoint_of(m_address);
    error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return false;
    }
    m_running = true;
    m_started = now_ms();
    if (m_engine) {
        m_engine->set_alive(true);
        if (!m_loops_started) {
            boost::asio::co_spawn(m_loop, m_engine->run(), boost::asio::detached);
            boost::asio::co_spawn(m_loop, m_engine->update_reports(), boost::asio::detached);
        }
    }
    m_loops_started = true;
    boost::asio::co_spawn(m_loop, accept(), boost::asio::detached);
    return true;
}

void backend_server::reset(session& open) {
    error_code ignored;
    open.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    open.socket.close(ignored);
    open.peer_left = true;
    open.wake.notify();
}

void backend_server::crash() {
    m_running = false;
    error_code ignored;
    m_acceptor.close(ignored);
    if (m_engine) {
        m_engine->set_alive(false);
        m_engine->clear("the server crashed");
    }
    for (const auto& open : std::exchange(m_sessions, {})) {
        reset(*open);
    }
}

void backend_server::restart() {
    ++m_boot;
    m_born_unix_ms = unix_ms();
    start();
}

std::string backend_server::row(std::string_view reported) const {
    return R"({"service":")" + m_service + R"(","address":")" + m_address + R"(","zone":")" + zone +
           R"(","version":"v1","slots":)" + std::to_string(m_engine ? engine_speed{}.slots : plain_slots) +
           R"(,"state":")" + std::string(reported) +
           R"(","cold-ms":0,"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"sequence":4,"born":)" +
           std::to_string(m_born_unix_ms) + "}";
}

void backend_server::set_fault(misbehaviour which, double share) {
    if (share > 0) {
        m_faults[which] = share;
    } else {
        m_faults.erase(which);
    }
    if (m_engine) {
        m_engine->slowdown = has(misbehaviour::slow) ? slow_factor : 1;
        m_engine->set_alive(m_running && !has(misbehaviour::dark));
    }
}

bool backend_server::has(misbehaviour which) const {
    return m_faults.contains(which);
}

bool backend_server::roll(misbehaviour which) {
    const auto found = m_faults.find(which);
    return found != m_faults.end() && std::uniform_real_distribution<double>(0, 1)(m_random) < found->second;
}

// ---- channels ----

awaitable<void> backend_server::accept() {
    for (;;) {
        error_code error;
        tcp::socket socket(m_loop);
        co_await m_acceptor.async_accept(socket, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            co_return;
        }
        if (error) {
            co_await pause_ms(20);
            continue;
        }
        if (roll(misbehaviour::few_channels)) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        auto open = std::make_shared<session>(m_loop, std::move(socket), request_limits);
        m_sessions.insert(open);
        boost::asio::co_spawn(m_loop, read(open), boost::asio::detached);
        boost::asio::co_spawn(m_loop, serve(open), boost::asio::detached);
    }
}

awaitable<void> backend_server::read(session_ptr open) {
    std::array<char, 16'384> bytes{};
    while (!open->peer_left) {
        error_code error;
        const auto count = co_await open->socket.async_read_some(
            boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error) {
            break;
        }
        open->reader.feed({bytes.data(), count});
        while (open->reader.state() == serving::request_reader::progress::complete) {
            open->requests.push_back(open->reader.take_request());
            open->reader.feed({});
        }
        open->wake.notify();
    }
    open->peer_left = true;
    open->wake.notify();
}

awaitable<void> backend_server::serve(session_ptr open) {
    while (!open->peer_left) {
        const double idle_since = now_ms();
        const double drop_after = std::uniform_real_distribution<double>(100, 800)(m_random);
        while (open->requests.empty() && !open->peer_left) {
            const bool drops = has(misbehaviour::idle_drop);
            if (drops && now_ms() - idle_since > drop_after) {
                open->peer_left = true;
                break;
            }
            co_await open->wake.wait_until(drops ? now_ms() + 50 : now_ms() + 1'000);
        }
        if (open->requests.empty()) {
            break;
        }
        const auto request = std::move(open->requests.front());
        open->requests.pop_front();
        const bool keeps = co_await handle(*open, request);
        if (!keeps) {
            break;
        }
    }
    error_code ignored;
    open->socket.close(ignored);
    m_sessions.erase(open);
}

awaitable<bool> backend_server::handle(session& open, const http_request& request) {
    const bool is_call = request.target.starts_with("/api/") || request.target == "/health";
    const auto seen = is_call ? nullptr : record(request);
    if (has(misbehaviour::dark)) {
        co_return co_await stay_silent(open, seen.get(), "dark");
    }
    if (!open.late_copy.empty()) {
        const auto copy = std::exchange(open.late_copy, {});
        co_await write_all(open.socket, copy);
    }
    if (request.target.starts_with("/api/report")) {
        const int status = m_engine ? 200 : 404;
        const auto body = m_engine ? m_engine->report() : std::string("{}");
        co_return co_await send_own(open, status, body);
    }
    if (request.target.starts_with("/api/order")) {
        co_return co_await answer_order(open, request);
    }
    if (is_call) {
        const int status = state == "ready" ? 200 : 503;
        co_return co_await send_own(open, status, "");
    }
    if (field_value(request.fields, "Verbenahold-Expect-Instance") != m_id) {
        co_return co_await reject(open, *seen, 421, m_id);
    }
    if (roll(misbehaviour::reset_before)) {
        seen->disruption = "reset before the run";
        seen->ended = now_ms();
        reset(open);
        co_return false;
    }
    if (roll(misbehaviour::full)) {
        co_return co_await reject(open, *seen, 503, "");
    }
    if (roll(misbehaviour::silent)) {
        if (m_random() % 2 == 0) {
            seen->began = now_ms();
        }
        co_return co_await stay_silent(open, seen.get(), "silent");
    }
    if (m_engine) {
        co_return co_await run_engine(open, request, *seen);
    }
    co_return co_await run_plain(open, request, *seen);
}

std::shared_ptr<arrival> backend_server::record(const http_request& request) {
    auto seen = std::make_shared<arrival>();
    seen->server = m_id;
    seen->at = now_ms();
    const std::string id(field_value(request.fields, "Verbenahold-Attempt-Id"));
    seen->attempt = id;
    const auto found = m_journal.requests.find(id);
    if (found == m_journal.requests.end()) {
        m_journal.unknown_arrivals.push_back(m_id + " got " + request.method + ' ' + request.target + " id " + id);
        return seen;
    }
    if (found->second->body != request.body || found->second->target != request.target ||
        field_value(request.fields, "Verbenahold-Tenant") != found->second->account) {
        m_journal.unknown_arrivals.push_back(m_id + " got a changed request " + id);
    }
    found->second->arrivals.push_back(seen);
    return seen;
}

bool backend_server::on_caller_left(arrival& seen) {
    seen.caller_left = true;
    seen.ended = now_ms();
    return false;
}

void backend_server::sign(arrival& seen) {
    seen.signature = m_id + '.' + std::to_string(m_boot) + '.' + std::to_string(++m_runs);
}

// ---- work ----

awaitable<bool> backend_server::answer_order(session& open, const http_request& request) {
    const auto object = platform::parse_object(request.body);
    if (!m_engine || !object) {
        co_return co_await send_own(open, 400, "{}");
    }
    platform::json_field_reader fields(*object);
    const auto operation = fields.text("operation");
    const auto name = fields.text("id");
    const bool is_late = roll(misbehaviour::order_late);
    if (is_late) {
        co_await pause_ms(std::uniform_real_distribution<double>(1'000, 4'000)(m_random));
    }
    int status = 400;
    if (operation == "reserve" && m_running) {
        status = m_engine->reserve(name, fields.integer("tokens"), fields.number("hold-ms"),
                                   fields.boolean_or("wait", false));
    } else if (operation == "release") {
        m_engine->release(name);
        status = 200;
    }
    if (is_late) {
        co_return false;
    }
    const auto body = R"({"free-slots":)" + std::to_string(m_engine->free_slots()) + "}";
    co_return co_await send_own(open, status, body);
}

awaitable<bool> backend_server::run_plain(session& open, const http_request& request, arrival& seen) {
    const std::string limit(field_value(request.fields, "Verbenahold-Deadline-Ms"));
    const double deadline = now_ms() + (limit.empty() ? 1'000 : std::stod(limit));
    if (m_waiting >= plain_queue) {
        co_return co_await reject(open, seen, 503, "");
    }
    ++m_waiting;
    while (m_busy_slots >= plain_slots && now_ms() < deadline && !open.peer_left) {
        co_await open.wake.wait_until(now_ms() + 5);
    }
    --m_waiting;
    if (open.peer_left) {
        co_return on_caller_left(seen);
    }
    if (now_ms() >= deadline) {
        co_return co_await reject(open, seen, 503, "");
    }
    ++m_busy_slots;
    seen.began = now_ms();
    const double factor = (has(misbehaviour::slow) ? slow_factor : 1) *
                          (m_boot > 0 && now_ms() - m_started < warm_up_ms ? warm_up_factor : 1);
    const double usual = std::exponential_distribution<double>(1 / mean_work_ms)(m_random);
    const double done_at = now_ms() + factor * std::min(max_work_ms, usual);
    while (now_ms() < std::min(deadline, done_at) && !open.peer_left) {
        co_await open.wake.wait_until(std::min(deadline, done_at));
    }
    --m_busy_slots;
    if (open.peer_left) {
        co_return on_caller_left(seen);
    }
    if (roll(misbehaviour::answer_lost)) {
        co_return co_await lose_answer(open, seen);
    }
    if (done_at >= deadline) {
        co_return co_await send_answer(open, seen, 504, "out of time", "");
    }
    if (roll(misbehaviour::own_failures)) {
        co_return co_await fail_after_run(open, seen);
    }
    sign(seen);
    std::string body = seen.attempt + " run " + seen.signature + ' ';
    body.resize(std::max<std::size_t>(body.size(), 800), '.');
    co_return co_await send_answer(open, seen, 200, body, "");
}

namespace {

std::shared_ptr<engine_job> job_of(const http_request& request, const std::string& attempt) {
    auto job = std::make_shared<engine_job>();
    job->id = attempt;
    const std::string usage(field_value(request.fields, "Verbenahold-Token-Usage"));
    const auto comma = usage.find(',');
    job->prompt_tokens = usage.empty() ? 100 : std::stoll(usage);
    constexpr int event_id_step = 51;
    job->events_total =
        comma == std::string::npos ? 1 : std::max(1, std::stoi(usage.substr(comma + 1)) / event_id_step);
    const std::string priority(field_value(request.fields, "Verbenahold-Request-Priority"));
    job->priority = priority.empty() ? 5 : std::stoi(priority);
    const std::string limit(field_value(request.fields, "Verbenahold-Deadline-Ms"));
    job->deadline_ms = now_ms() + (limit.empty() ? 10'000 : std::stod(limit));
    std::string helpers(field_value(request.fields, "Verbenahold-Helpers"));
    while (!helpers.empty()) {
        const auto end = std::min(helpers.find(','), helpers.size());
        const auto entry = helpers.substr(0, end);
        helpers.erase(0, end + 1);
        const auto slash = std::min(entry.find('/'), entry.size());
        job->helpers.push_back({entry.substr(0, slash), entry.substr(std::min(slash + 1, entry.size()))});
    }
    return job;
}

}  // namespace

awaitable<bool> backend_server::run_engine(session& open, const http_request& request, arrival& seen) {
    const auto job = job_of(request, seen.attempt);
    job->on_change = [weak = open.weak_from_this()] {
        if (const auto waiting = weak.lock()) {
            waiting->wake.notify();
        }
    };
    const std::string last_event(field_value(request.fields, "Last-Event-Id"));
    const int first_event = last_event.empty() ? 0 : std::stoi(last_event) / event_id_step + 1;
    job->events_total = std::max(1, job->events_total - first_event);
    const auto refusal = m_engine->submit(job);
    if (!refusal.empty()) {
        co_return co_await reject(open, seen, 503, job->at_server);
    }
    while (job->state != engine_job::phase::ended && job->events_ready == 0 && !open.peer_left) {
        co_await open.wake.wait_until(far_future_ms);
    }
    if (!open.peer_left && job->events_ready == 0) {
        co_return co_await reject(open, seen, 503, job->at_server);
    }
    if (job->events_ready > 0) {
        seen.began = now_ms();
    }
    bool keeps = false;
    if (open.peer_left) {
        keeps = on_caller_left(seen);
    } else if (roll(misbehaviour::own_failures)) {
        keeps = co_await fail_after_run(open, seen);
    } else if (roll(misbehaviour::answer_lost)) {
        keeps = co_await lose_answer(open, seen);
    } else {
        sign(seen);
        keeps = co_await stream_events(open, seen, *job, first_event);
    }
    m_engine->drop(job);
    co_return keeps;
}

awaitable<bool> backend_server::stream_events(session& open, arrival& seen, engine_job& job, int first_event) {
    const bool breaks = roll(misbehaviour::reset_mid) || roll(misbehaviour::broken_off) || roll(misbehaviour::hang);
    const int break_after = breaks ? std::uniform_int_distribution<int>(0, job.events_total)(m_random) : -1;
    seen.status = 200;
    if (roll(misbehaviour::endless)) {
        const auto endless_head = head_of(seen, 200) + "Content-Type: text/event-stream\r\n";
        co_return co_await send_endless(open, seen, endless_head);
    }
    open.ends_with_channel = roll(misbehaviour::no_length);
    const auto head = open.ends_with_channel
                          ? head_of(seen, 200) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                          : stream_head(seen);
    co_await write_all(open.socket, head);
    for (;;) {
        while (job.events_ready <= seen.events && job.state != engine_job::phase::ended && !open.peer_left) {
            co_await open.wake.wait_until(far_future_ms);
        }
        if (open.peer_left) {
            co_return on_caller_left(seen);
        }
        if (seen.events >= job.events_ready) {
            break;
        }
        if (breaks && seen.events >= break_after) {
            const std::string part = "19\r\nid: 99";
            co_return co_await break_off(open, seen, part);
        }
        const auto event = event_text(seen.attempt, first_event + seen.events);
        const auto bytes = open.ends_with_channel ? event : chunk_text(event);
        ++seen.events;
        seen.next_event = first_event + seen.events;
        co_await write_all(open.socket, bytes);
    }
    seen.ended = now_ms();
    if (!job.ended_by.empty()) {
        seen.disruption = job.ended_by;
        // An orderly end would complete a stream without length and chunks.
        reset(open);
        co_return false;
    }
    co_return co_await end_stream(open, seen, first_event);
}

awaitable<bool> backend_server::end_stream(session& open, arrival& seen, int first_event) {
    seen.answered = true;
    if (open.ends_with_channel) {
        error_code ignored;
        open.socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_return false;
    }
    if (roll(misbehaviour::late_copy) || roll(misbehaviour::late_copy_unnamed)) {
        open.late_copy = stream_head(seen) + chunk_text(event_text(seen.attempt, first_event)) + "0\r\n\r\n";
    }
    std::string end = "0\r\n\r\n";
    if (roll(misbehaviour::surplus)) {
        end += "surplus bytes";
    }
    co_return co_await write_all(open.socket, end);
}

}  // namespace verbenahold::soak
