#include "drained_server_watch.hpp"

#include <utility>

#include "record_rows.hpp"

namespace verbenahold {

namespace {

constexpr int rows_per_page = 500;

}  // namespace

drained_server_watch::drained_server_watch(platform_client& platform, host_sink sink, QObject* parent)
    : QObject(parent), m_platform(platform), m_sink(std::move(sink)) {}

void drained_server_watch::poll() {
    if (!std::exchange(m_pending, true)) {
        m_partial_read.clear();
        read_page("");
    }
}

void drained_server_watch::read_page(const std::string& after) {
    m_platform.scan(std::string(order_row_prefix), after, rows_per_page,
                    [this](const platform_result<platform_client::rows>& rows) {
                        if (!rows) {
                            m_pending = false;
                            return;
                        }
                        for (const table_row& row : rows.value()) {
                            m_partial_read.insert(row.key.substr(order_row_prefix.size()));
                        }
                        if (rows.value().size() == static_cast<std::size_t>(rows_per_page)) {
                            read_page(rows.value().back().key);
                            return;
                        }
                        m_pending = false;
                        if (m_drained_servers != m_partial_read) {
                            m_drained_servers.swap(m_partial_read);
                            publish();
                        }
                    });
}

void drained_server_watch::set_hosts(std::vector<host_entry> hosts) {
    m_hosts = std::move(hosts);
    publish();
}

void drained_server_watch::publish() const {
    if (!m_hosts) {
        return;
    }
    std::vector<host_entry> hosts = *m_hosts;
    for (host_entry& host : hosts) {
        if (host.role == host_role::backend && m_drained_servers.contains(host.host.value)) {
            host.state = host_state::leaving;
        }
    }
    m_sink(std::move(hosts));
}

}  // namespace verbenahold
