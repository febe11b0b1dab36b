#include "peer_link.hpp"

#include "log_line.hpp"
#include "serving.pb.h"

namespace verbenahold::serving {

namespace {

using boost::asio::ip::udp;

udp::endpoint udp_endpoint_of(const std::string& address) {
    const auto endpoint = endpoint_of(address);
    return {endpoint.address(), endpoint.port()};
}

std::uint32_t milliseconds_of(duration value) {
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

work_item item_of(const wire::WorkItem& message) {
    work_item item;
    item.server = server_name(message.server());
    item.prefill_ms = message.read_ms();
    item.context_tokens = static_cast<std::int64_t>(message.context_tokens());
    item.decodes = message.writes();
    item.event_gap_target = std::chrono::milliseconds(message.pause_ms());
    item.latency_target = std::chrono::milliseconds(message.target_ms());
    item.weight = message.weight();
    return item;
}

}  // namespace

peer_link::peer_link(gateway_state& state, std::function<daemon_status()> own_status)
    : m_state(state),
      m_own_status(std::move(own_status)),
      m_socket(state.loop),
      m_batch(std::make_unique<wire::Datagram>()) {}

peer_link::~peer_link() = default;

bool peer_link::open(const std::string& address, std::string& fault) {
    m_own_address = address;
    const auto endpoint = udp_endpoint_of(address);
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        fault = "can't bind UDP " + address + ": " + error.message();
        return false;
    }
    receive();
    return true;
}

void peer_link::close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void peer_link::add_address(const std::string& address) {
    if (address == m_own_address || m_peers.contains(address)) {
        return;
    }
    const auto endpoint = udp_endpoint_of(address);
    if (endpoint.port() == 0) {
        log_line("ignored daemon address").add("address", address).warn();
        return;
    }
    m_peers.emplace(address, endpoint);
}

void peer_link::receive() {
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code& error, std::size_t size) {
                                    if (error == boost::asio::error::operation_aborted) {
                                        return;
                                    }
                                    // Other errors report that a sent datagram reached a closed
                                    // port.
                                    if (!error) {
                                        handle_datagram(size);
                                    }
                                    receive();
                                });
}

void peer_link::handle_datagram(std::size_t size) {
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(m_buffer.data(), static_cast<int>(size)) || datagram.boot() == m_state.boot) {
        m_state.counters.add("datagrams_ignored");
        return;
    }
    const auto now = m_state.timers.now();
    if (datagram.has_status()) {
        const auto& status = datagram.status();
        daemon_status heard;
        heard.boot = datagram.boot();
        heard.name = status.name();
        heard.zone = zone_name(status.zone());
        heard.front_address = status.front_address();
        heard.peer_address = status.peer_address();
        heard.accepting = status.accepting();
        heard.operator_rows_version = status.operator_rows_version();
        heard.server_rows_version = status.server_rows_version();
        heard.store_in_reach = status.store_in_reach();
        add_address(heard.peer_address);
        if (m_state.daemons.on_status(heard, now)) {
            log_line("daemon joined").add("daemon", heard.name).add("boot", heard.boot).info();
        }
        if (m_state.notices.on_daemon_status) {
            m_state.notices.on_daemon_status(heard);
        }
    }
    for (const auto& update : datagram.work()) {
        apply_work_update(datagram.boot(), update);
    }
    for (const auto& server : datagram.troubled_servers()) {
        m_state.servers.report_failure(server_name(server), now);
    }
    for (const auto& report : datagram.reports()) {
        m_state.load.on_report({server_name(report.server()), static_cast<int>(report.requests()),
                                static_cast<std::int64_t>(report.held_tokens()), report.pace()},
                               now);
    }
    for (const auto& death : datagram.deaths()) {
        m_state.guard.on_reported_deaths(death.fingerprint(), static_cast<int>(death.deaths()), now);
    }
}

void peer_link::apply_work_update(std::uint64_t boot, const wire::WorkUpdate& update) {
    const auto now = m_state.timers.now();
    const work_id id{boot, update.number()};
    switch (static_cast<work_event>(update.event())) {
        case work_event::started:
            for (const auto& item : update.items()) {
                m_state.load.add(id, item_of(item), now, now + std::chrono::milliseconds(update.lifetime_ms()));
            }
            break;
        case work_event::read:
            m_state.load.on_prefill_done(id, now);
            break;
        case work_event::ended:
            m_state.load.remove(id, now);
            break;
    }
}

void peer_link::send_status() {
    const auto own = m_own_status();
    wire::Datagram datagram;
    auto& status = *datagram.mutable_status();
    status.set_name(own.name);
    status.set_zone(own.zone.value);
    status.set_front_address(own.front_address);
    status.set_peer_address(own.peer_address);
    status.set_accepting(own.accepting);
    status.set_operator_rows_version(own.operator_rows_version);
    status.set_server_rows_version(own.server_rows_version);
    status.set_store_in_reach(own.store_in_reach);
    send_to_all(datagram);
}

void peer_link::send_work(const work_update& update) {
    auto& message = *m_batch->add_work();
    message.set_number(update.id.number);
    message.set_event(static_cast<std::uint32_t>(update.event));
    message.set_lifetime_ms(milliseconds_of(update.lifetime));
    for (const auto& item : update.items) {
        auto& part = *message.add_items();
        part.set_server(item.server.value);
        part.set_read_ms(static_cast<float>(item.prefill_ms));
        part.set_context_tokens(static_cast<std::uint64_t>(item.context_tokens));
        part.set_writes(item.decodes);
        part.set_pause_ms(milliseconds_of(item.event_gap_target));
        part.set_target_ms(milliseconds_of(item.latency_target));
        part.set_weight(static_cast<float>(item.weight));
    }
    schedule_flush();
}

void peer_link::send_trouble(const server_name& server) {
    m_batch->add_troubled_servers(server.value);
    schedule_flush();
}

void peer_link::send_report(const server_report& report) {
    auto& message = *m_batch->add_reports();
    message.set_server(report.server.value);
    message.set_requests(static_cast<std::uint32_t>(report.requests));
    message.set_held_tokens(static_cast<std::uint64_t>(report.held_tokens));
    message.set_pace(static_cast<float>(report.slowdown));
    schedule_flush();
}

void peer_link::send_death(std::uint64_t fingerprint, int deaths) {
    auto& death = *m_batch->add_deaths();
    death.set_fingerprint(fingerprint);
    death.set_deaths(static_cast<std::uint32_t>(deaths));
    schedule_flush();
}

void peer_link::schedule_flush() {
    if (m_batch->ByteSizeLong() > max_datagram_bytes / 2) {
        flush();
    } else if (!m_flush_scheduled) {
        m_flush_scheduled = true;
        m_state.timers.after(batching_delay, [this] {
            m_flush_scheduled = false;
            flush();
        });
    }
}

void peer_link::flush() {
    if (m_batch->ByteSizeLong() == 0) {
        return;
    }
    send_to_all(*m_batch);
    m_batch->Clear();
}

void peer_link::send_to_all(const wire::Datagram& datagram) {
    wire::Datagram stamped_datagram = datagram;
    stamped_datagram.set_boot(m_state.boot);
    const std::string bytes = stamped_datagram.SerializeAsString();
    for (const auto& [address, endpoint] : m_peers) {
        boost::system::error_code error;
        m_socket.send_to(boost::asio::buffer(bytes), endpoint, 0, error);
        if (error) {
            m_state.counters.add("datagrams_unsent");
        }
    }
}

}  // namespace verbenahold::serving
