#include "fleet.hpp"

#include "server_connection.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include <unistd.h>

namespace verbenahold::soak {

namespace {

constexpr std::array<std::string_view, 3> zones{"zone-a", "zone-b", "zone-c"};
constexpr double grace_ms = 8'000;
constexpr double config_apply_ms = 2'000;
constexpr double process_check_ms = 100;
constexpr std::size_t megabyte = 1024UL * 1024;

std::string route_text(const request_kind& kind, const std::string& service, double timeout_ms) {
    const std::string form = kind.streams ? "streaming" : kind.may_run_again ? "safe" : "unsafe";
    const double gap = kind.name == "compare" ? 1'000 : kind.name == "review" ? 600 : 250;
    const double target = kind.streams ? gap * 1.2 * (kind.name == "compare" ? 2.5 : 1) : 150;
    std::string text = R"({"name":"r-)" + kind.name + R"(","host":"h.example","prefix":"/)" + kind.name +
                       R"(/","kind":")" + form + R"(","timeout-ms":)" + std::to_string(timeout_ms) +
                       R"(,"target-latency-ms":)" + std::to_string(target) +
                       R"(,"priority":1,"anonymous":false,"service":")" + service + R"(","max-attempts":)" +
                       std::to_string(kind.streams || kind.may_run_again ? 2 : 1);
    if (kind.streams) {
        text += std::string(R"(,"session-affinity":true,"can-resume":)") + (kind.may_run_again ? "true" : "false") +
                R"(,"target-gap-ms":)" + std::to_string(gap);
    }
    return text + "}";
}

std::string engine_text() {
    return R"({"name":"llm","health-check":"/health","max-connections":314,"protocol":"h1","tls":false,"cold-s":3.0,)"
           R"("cold-per-s":26.0,"engine":{"slots":16,"kv-capacity":315000,"kv-token-bytes":163840,)"
           R"("bandwidth-mbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.00425,)"
           R"("context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,)"
           R"("loads-per-s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":11121,"answer":1622},"hop-ms":0.05}})";
}

std::string plain_text(const std::string& name) {
    return R"({"name":")" + name +
           R"(","health-check":"/health","max-connections":110,"protocol":"h1","tls":false,"cold-s":0.0,)"
           R"("cold-per-s":0.0})";
}

// A network whose store address no other run uses.
address_plan free_plan(io_context& loop) {
    constexpr int first_net = 20;
    constexpr int nets = 200;
    for (int tried = 0; tried < nets; ++tried) {
        const address_plan plan{first_net + static_cast<int>((getpid() + tried) % nets)};
        tcp::acceptor probe(loop, tcp::v4());
        error_code error;
        probe.bind(serving::endpoint_of(plan.store()), error);
        if (!error) {
            return plan;
        }
    }
    throw std::runtime_error("no free loopback network");
}

}  // namespace

std::string address_plan::host(int number) const {
    return "127." + std::to_string(net) + ".1." + std::to_string(number + 1);
}

std::string address_plan::server(int number) const {
    return "127." + std::to_string(net) + '.' + std::to_string(100 + number / 250) + '.' +
           std::to_string(number % 250 + 1) + ":8080";
}

std::string address_plan::store() const {
    return "127." + std::to_string(net) + ".2.1:8223";
}

fleet::fleet(io_context& events, const soak_options& chosen)
    : loop(events),
      options(chosen),
      random(chosen.seed),
      addresses(free_plan(events)),
      store(events, random(), addresses.store()) {
    habits.clients = chosen.clients;
    habits.requests_per_second = chosen.requests_per_second;
    for (int number = 0; number < chosen.hosts; ++number) {
        const auto zone = std::string(zones[static_cast<std::size_t>(number) % zones.size()]);
        daemons.push_back(std::make_unique<daemon_process>(
            notes, chosen.daemon, "front-" + zone.substr(5) + '-' + std::to_string(number / 3 + 1), zone,
            addresses.host(number), store.address(), chosen.folder));
    }
}

pass_engine* fleet::engine_at(std::string_view address) {
    for (const auto& server : servers) {
        if (server->is_running() && server->address() == address) {
            return server->engine();
        }
    }
    return nullptr;
}

backend_server& fleet::add_server(const std::string& service, const std::string& zone, const std::string& address) {
    std::array<char, 24> id{};
    std::snprintf(id.data(), id.size(), "i-%08x", static_cast<unsigned>(random()));
    servers.push_back(std::make_unique<backend_server>(
        loop, notes, random(), id.data(), service, address.empty() ? addresses.server(m_server_numbers++) : address,
        [this](std::string_view wanted_address) { return engine_at(wanted_address); }));
    auto& added = *servers.back();
    added.zone = zone;
    if (!added.start()) {
        notes.note("server " + added.id() + " can't listen at " + added.address());
    }
    publish(added);
    return added;
}

void fleet::publish(const backend_server& server) {
    store.put("servers", server.id(), server.row(server.state));
}

std::size_t fleet::random_server() {
    std::vector<std::size_t> running;
    for (std::size_t which = 0; which < servers.size(); ++which) {
        if (servers[which]->is_running() && servers[which]->state == "ready") {
            running.push_back(which);
        }
    }
    return running[std::uniform_int_distribution<std::size_t>(0, running.size() - 1)(random)];
}

// ---- operator ----

std::string fleet::desired_state_text() const {
    std::string routes;
    for (const auto& kind : request_kinds()) {
        const bool moved = wanted.orders_moved && !kind.streams;
        routes += (routes.empty() ? "" : ",") +
                  route_text(kind, moved ? "shop-b" : kind.service, kind.deadline_ms * wanted.longer_time_limits);
    }
    for (int number = 0; number < wanted.added_routes; ++number) {
        request_kind added = request_kinds().back();
        added.name = "added" + std::to_string(number);
        routes += ',' + route_text(added, "shop", added.deadline_ms);
    }
    std::string keys = R"("key-1")";
    for (const auto& key : wanted.more_keys) {
        keys += ",\"" + key + '"';
    }
    return R"({"version":)" + std::to_string(wanted.version) + R"(,"routes":[)" + routes + R"(],"services":[)" +
           engine_text() + ',' + plain_text("shop") + ',' + plain_text("shop-b") +
           R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
           R"("idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":[)" +
           keys + R"(],"priority":1},{"name":"tenant-2","api-keys":["key-2"],"priority":1}]})";
}

void fleet::change_desired_state() {
    wanted.version += 1 + static_cast<int>(random() % 3);
    store.put("op", "config", desired_state_text());
    notes.note("desired state " + std::to_string(wanted.version));
    // The store confirms at once. The first one is there before the load.
    if (load) {
        notes.desired_states.push_back(
            {now_ms(), now_ms() + config_apply_ms + 1'000, "desired state " + std::to_string(wanted.version)});
    }
}

// ---- daemons ----

awaitable<bool> fleet::wait_until_ready(std::size_t which, double limit_ms) {
    const double deadline = now_ms() + limit_ms;
    while (now_ms() < deadline && daemons[which]->is_running()) {
        tcp::socket socket(loop);
        error_code error;
        co_await socket.async_connect(serving::endpoint_of(daemons[which]->ready()),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
        const std::string check = "GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n";
        bool sent = false;
        if (!error) {
            sent = co_await write_all(socket, check);
        }
        if (sent) {
            std::array<char, 256> bytes{};
            const auto count = co_await socket.async_read_some(
                boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (std::string_view(bytes.data(), count).starts_with("HTTP/1.1 200")) {
                co_return true;
            }
        }
        co_await pause_ms(50);
    }
    co_return false;
}

awaitable<std::size_t> fleet::take_daemon() {
    for (;;) {
        const auto which = std::uniform_int_distribution<std::size_t>(0, daemons.size() - 1)(random);
        const bool enough_left = taken_daemons.size() * 2 < daemons.size();
        if (enough_left && daemons[which]->is_running() && taken_daemons.insert(which).second) {
            co_return which;
        }
        co_await pause_ms(50);
    }
}

awaitable<void> fleet::stop_and_start(std::size_t which, double pause) {
    auto& daemon = *daemons[which];
    const auto span = open_span(notes.stops[daemon.name()], "SIGTERM");
    notes.note("SIGTERM " + daemon.name());
    daemon.expect_end();
    daemon.signal(SIGTERM);
    const double killed_at = now_ms() + grace_ms;
    while (daemon.is_running() && now_ms() < killed_at) {
        co_await pause_ms(20);
    }
    if (daemon.is_running()) {
        notes.note("SIGKILL after the grace period " + daemon.name());
        daemon.signal(SIGKILL);
    }
    while (daemon.is_running()) {
        co_await pause_ms(20);
    }
    co_await pause_ms(pause);
    daemon.start();
    notes.note("start " + daemon.name());
    co_await wait_until_ready(which, 10'000);
    close_span(notes.stops[daemon.name()], span);
}

awaitable<void> fleet::check_processes() {
    for (;;) {
        for (const auto& daemon : daemons) {
            daemon->check();
            if (!daemon->is_running()) {
                continue;
            }
            const auto memory = daemon->memory();
            if (memory > peak_memory) {
                peak_memory = memory;
                peak_memory_host = daemon->name();
            }
            if (memory > options.memory_limit_mb * megabyte) {
                notes.note(daemon->name() + " exceeds its memory with " + std::to_string(memory / megabyte) + " MiB");
                daemon->signal(SIGKILL);
            }
        }
        // A daemon that ended by itself is started again, as the platform does.
        for (std::size_t which = 0; which < daemons.size() && !stopping; ++which) {
            if (!daemons[which]->is_running() && !taken_daemons.contains(which)) {
                co_await pause_ms(300);
                daemons[which]->start();
                notes.note("start " + daemons[which]->name());
            }
        }
        co_await pause_ms(process_check_ms);
    }
}

awaitable<void> fleet::start() {
    for (int number = 0; number < options.engines; ++number) {
        add_server("llm", std::string(zones[static_cast<std::size_t>(number) % zones.size()]));
    }
    for (int number = 0; number < options.plain_servers; ++number) {
        const std::string zone(zones[static_cast<std::size_t>(number) % zones.size()]);
        add_server("shop", zone);
        add_server("shop-b", zone);
    }
    change_desired_state();
    for (const auto& daemon : daemons) {
        daemon->start();
    }
    boost::asio::co_spawn(loop, check_processes(), boost::asio::detached);
    for (std::size_t which = 0; which < daemons.size(); ++which) {
        const bool is_ready = co_await wait_until_ready(which, 20'000);
        if (!is_ready) {
            notes.note(daemons[which]->name() + " is not ready");
        }
    }
    std::vector<front_address> fronts;
    for (const auto& daemon : daemons) {
        fronts.push_back({daemon->name(), daemon->zone(), daemon->front(), daemon->directory()});
    }
    load = std::make_unique<client_load>(loop, notes, random(), std::move(fronts), habits);
    load->start();
    notes.note("load");
}

}  // namespace verbenahold::soak
