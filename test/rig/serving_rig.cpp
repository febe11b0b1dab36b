#include "serving_rig.hpp"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include <unistd.h>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto max_wait = 5s;

std::string json_answer(int status, const std::string& body, const std::string& more_fields) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n" + more_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string query_value(const std::string& target, const std::string& name) {
    const auto found = target.find(name + '=');
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

// Write errors are ignored: the test fails on what it waits for.
void write_all(tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
}

}  // namespace

// Ports are below the kernel's ephemeral range: a port of that range could be
// taken by an outgoing connection between this check and the daemon's listen.
std::string free_loopback_address(boost::asio::io_context& loop) {
    constexpr unsigned first_port = 10'000;
    constexpr unsigned ports = 20'000;
    // Concurrent test processes start at different ports.
    static unsigned next = static_cast<unsigned>(::getpid()) * 97;
    for (unsigned tries = 0; tries < ports; ++tries) {
        const auto port = static_cast<unsigned short>(first_port + next++ % ports);
        boost::system::error_code error;
        tcp::acceptor probe(loop);
        probe.open(tcp::v4(), error);
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free loopback port");
}

scripted_server::scripted_server(boost::asio::io_context& loop, handler answer)
    : m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}), m_answer(std::move(answer)) {
    m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    accept();
}

void scripted_server::accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        std::make_shared<session>(*this, std::move(socket))->read();
        accept();
    });
}

scripted_server::session::session(scripted_server& owner, tcp::socket socket)
    : m_owner(owner), m_socket(std::move(socket)), m_reader({65'536, 16'777'216}) {}

void scripted_server::session::read() {
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                                 if (error) {
                                     self->m_owner.m_abandoned +=
                                         self->m_awaiting_answer && error != boost::asio::error::operation_aborted ? 1
                                                                                                                   : 0;
                                     return;
                                 }
                                 self->m_reader.feed({self->m_chunk.data(), count});
                                 while (self->m_reader.state() == request_reader::progress::complete) {
                                     const auto request = self->m_reader.take_request();
                                     self->m_awaiting_answer = true;
                                     self->m_owner.m_requests.push_back(request);
                                     self->m_owner.m_answer(request, self);
                                     self->m_reader.feed({});
                                 }
                                 if (self->m_socket.is_open()) {
                                     self->read();
                                 }
                             });
}

void scripted_server::session::write(const std::string& bytes) {
    write_all(m_socket, bytes);
}

void scripted_server::session::close() {
    m_awaiting_answer = false;
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void scripted_server::session::reset() {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

scripted_store::scripted_store(boost::asio::io_context& loop)
    : m_server(loop, [this](const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
          answer(request, session);
      }) {}

std::string scripted_store::page(const std::string& table, std::uint64_t after, bool changes_only) const {
    std::string rows;
    const auto found = m_state.tables.find(table);
    if (found != m_state.tables.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.version <= after || (row.removed && !changes_only)) {
                continue;
            }
            const auto value = QByteArray::fromStdString(row.value).toBase64().toStdString();
            rows += (rows.empty() ? "" : ",") + std::string(R"({"table":")") + table + R"(","part":"","key":")" + key +
                    R"(","value":")" + value + R"(","ver":)" + std::to_string(row.version) +
                    (row.removed ? R"(,"deleted":true})" : "}");
        }
    }
    return R"({"rows":[)" + rows + R"(],"has-more":false,"ver":)" + std::to_string(m_state.version) +
           R"(,"server-time-ms":1})";
}

std::string scripted_store::reply(int status, const std::string& body) const {
    return json_answer(status, body, m_states_era ? "Store-Era: " + std::to_string(m_era) + "\r\n" : "");
}

void scripted_store::put(const std::string& table, const std::string& key, const std::string& value) {
    m_state.tables[table][key] = {value, ++m_state.version, false};
    answer_waiting(table);
}

void scripted_store::remove(const std::string& table, const std::string& key) {
    m_state.tables[table][key] = {{}, ++m_state.version, true};
    answer_waiting(table);
}

std::string scripted_store::value_of(const std::string& table, const std::string& key) const {
    const auto rows = m_state.tables.find(table);
    if (rows == m_state.tables.end() || !rows->second.contains(key)) {
        return {};
    }
    return rows->second.at(key).value;
}

int scripted_store::transactions(const std::string& table) const {
    const auto& calls = m_server.requests();
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [&](const http_request& request) {
        return request.target.starts_with("/api/rows-tx") && request.body.find('"' + table + '"') != std::string::npos;
    }));
}

void scripted_store::restore_copy() {
    m_state = m_copy;
    ++m_era;
    for (const auto& call : std::exchange(m_waiting, {})) {
        call.session->write(reply(410, "{}"));
    }
}

void scripted_store::answer_waiting(const std::string& table) {
    for (const auto& call : std::exchange(m_waiting, {})) {
        if (call.table == table) {
            call.session->write(reply(200, page(table, call.after, true)));
        } else {
            m_waiting.push_back(call);
        }
    }
}

void scripted_store::apply(const std::string& transaction) {
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(transaction)).object();
    for (const auto& entry : body["put"].toArray()) {
        const auto row = entry.toObject();
        put(row["table"].toString().toStdString(), row["key"].toString().toStdString(),
            QByteArray::fromBase64(row["value"].toString().toLatin1()).toStdString());
    }
    for (const auto& entry : body["remove"].toArray()) {
        const auto row = entry.toObject();
        remove(row["table"].toString().toStdString(), row["key"].toString().toStdString());
    }
}

void scripted_store::answer(const http_request& request, const std::shared_ptr<scripted_server::session>& session) {
    if (!m_serving) {
        session->write(reply(503, "{}"));
        return;
    }
    const auto table = query_value(request.target, "table");
    if (!m_silent_table.empty() && table == m_silent_table) {
        return;
    }
    if (request.target.starts_with("/api/rows-get")) {
        session->write(reply(200, page(table, 0, false)));
    } else if (request.target.starts_with("/api/rows-feed")) {
        const auto after = std::stoull(query_value(request.target, "after"));
        const auto changes = page(table, after, true);
        if (after > m_state.version) {
            session->write(reply(410, "{}"));
        } else if (changes.find("\"key\"") != std::string::npos || query_value(request.target, "wait-ms") == "0") {
            session->write(reply(200, changes));
        } else {
            m_waiting.push_back({table, after, session});
        }
    } else {
        apply(request.body);
        session->write(reply(200, R"({"ver":)" + std::to_string(m_state.version) + R"(,"server-time-ms":1})"));
    }
}

scripted_caller::scripted_caller(boost::asio::io_context& loop, const std::string& address) : m_socket(loop) {
    m_socket.connect(endpoint_of(address));
    read();
}

void scripted_caller::send(const std::string& bytes) {
    write_all(m_socket, bytes);
}

void scripted_caller::leave() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void scripted_caller::read() {
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [this](const boost::system::error_code& error, std::size_t count) {
                                 if (error) {
                                     m_ended = true;
                                     m_reset = error != boost::asio::error::eof;
                                     return;
                                 }
                                 m_received.append(m_chunk.data(), count);
                                 read();
                             });
}

// All daemons of a rig get the same start time, as hosts may that are powered on
// together.
constexpr std::uint64_t rig_start_us = 1'700'000'000'000'000;

serving_rig::serving_rig() : store(loop) {}

serving_rig::~serving_rig() {
    // Daemons are destroyed first, while callers and servers still exist.
    m_daemons.clear();
    for (const auto& caller : m_callers) {
        caller->leave();
    }
}

void serving_rig::start_daemon(const std::string& name, const std::string& store_address) {
    auto& started_daemon = m_daemons[name];
    started_daemon.running.reset();
    auto& settings = started_daemon.settings;
    settings.host = host_name(name);
    settings.zone = zone_name("zone-a");
    settings.zones = zones;
    settings.ip = "127.0.0.1";
    settings.front_address = free_loopback_address(loop);
    settings.ready_address = free_loopback_address(loop);
    settings.directory_address = free_loopback_address(loop);
    settings.peer_address = free_loopback_address(loop);
    settings.metrics_address = free_loopback_address(loop);
    settings.store_address = store_address.empty() ? store.address() : store_address;
    settings.repeats = repeats;
    settings.stop_grace = stop_grace;
    settings.memory_bytes = memory_bytes;
    settings.cold = {1.5, 5};
    settings.max_unused_reservation = max_unused_reservation;
    // Daemons find each other through the store.
    store.put("daemons", name, encode_daemon_record({name, settings.peer_address, settings.zone, settings.cores}));
    started_daemon.running =
        std::make_unique<gateway>(*started_daemon.loop, settings, *protocol, rig_start_us + m_starts++, read_again);
    std::string fault;
    if (!started_daemon.running->start(fault)) {
        throw std::runtime_error(fault);
    }
}

const serving_settings& serving_rig::settings(const std::string& name) const {
    return m_daemons.at(name).settings;
}

scripted_server& serving_rig::add_server(const std::string& id, scripted_server::handler answer,
                                         const std::string& state) {
    m_servers.push_back(std::make_unique<scripted_server>(loop, std::move(answer)));
    store.put("servers", id,
              R"({"service":"app","address":")" + m_servers.back()->address() +
                  R"(","zone":"zone-a","slots":4,"state":")" + state + R"("})");
    return *m_servers.back();
}

void serving_rig::put_desired_state(int version) {
    const std::string common = R"("host":"h.example","timeout-ms":2000,"target-latency-ms":300,"service":"app")";
    const auto route = [&](const std::string& name, const std::string& kind, const std::string& more) {
        return R"({"name":")" + name + R"(","prefix":"/)" + name + R"(/","kind":")" + kind + "\"," + common + more +
               "}";
    };
    store.put("op", "config",
              R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
                  route("unsafe", "unsafe", R"(,"max-attempts":1)") + "," +
                  route("safe", "safe", R"(,"max-attempts":2)") + "," +
                  route("resumable", "streaming", R"(,"max-attempts":2,"can-resume":true,"target-gap-ms":250)") + "," +
                  route("stream", "streaming", R"(,"max-attempts":2,"can-resume":false,"target-gap-ms":250)") +
                  R"(],"services":[{"name":"app","health-check":"/health","max-connections":10}],)" +
                  R"("tenants":[{"name":"first","api-keys":["key-1"]}]})");
}

scripted_caller& serving_rig::call(const std::string& daemon, const std::string& bytes) {
    return call_address(settings(daemon).front_address, bytes);
}

scripted_caller& serving_rig::call_address(const std::string& address, const std::string& bytes) {
    m_callers.push_back(std::make_unique<scripted_caller>(loop, address));
    m_callers.back()->send(bytes);
    return *m_callers.back();
}

void serving_rig::stop_daemons() {
    std::raise(SIGTERM);
}

void serving_rig::run_step() {
    std::size_t handled = loop.poll();
    for (auto& [name, daemon] : m_daemons) {
        handled += daemon.is_silent ? 0 : daemon.loop->poll();
        if (daemon.loop->stopped()) {
            daemon.running.reset();
        }
    }
    if (handled == 0) {
        loop.run_one_for(1ms);
    }
}

std::string serving_rig::ask_directory(const std::string& daemon) {
    scripted_caller caller(loop, settings(daemon).directory_address);
    caller.send("GET /api/resolve?name=h.example&region=r&zone=zone-a HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    const std::string answer = caller.received();
    caller.leave();
    run_until([&] { return caller.ended(); });
    return answer;
}

bool serving_rig::run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        run_step();
    }
    return true;
}

void serving_rig::run_for(duration time) {
    for (const auto end = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < end;) {
        run_step();
    }
}

bool serving_rig::run_until_ready(const std::string& daemon) {
    const std::string check = "GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (std::chrono::steady_clock::now() < deadline) {
        scripted_caller probe(loop, settings(daemon).ready_address);
        probe.send(check);
        run_until([&] { return probe.received().find("\r\n\r\n") != std::string::npos; });
        const bool ready = probe.received().starts_with("HTTP/1.1 200");
        probe.leave();
        run_until([&] { return probe.ended(); });
        if (ready) {
            return true;
        }
    }
    return false;
}

std::string request_text(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& body, const std::string& more_fields) {
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nVerbenahold-Attempt-Id: " + id +
                       "\r\nVerbenahold-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n" + more_fields;
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string proved_answer(const http_request& request, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
           std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
           "\r\nVerbenahold-Origin-Signature: proof\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string rejection() {
    return "HTTP/1.1 503 Service Unavailable\r\nVerbenahold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string stream_head(const http_request& request) {
    return "HTTP/1.1 200 OK\r\nVerbenahold-Attempt-Id: " +
           std::string(field_value(request.fields, "Verbenahold-Attempt-Id")) +
           "\r\nVerbenahold-Origin-Signature: proof\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string stream_chunk(int id) {
    const std::string event = "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    return (event.size() < 16 ? "" : std::to_string(event.size() / 16)) +
           std::string(1, "0123456789abcdef"[event.size() % 16]) + "\r\n" + event + "\r\n";
}

}  // namespace verbenahold::serving
