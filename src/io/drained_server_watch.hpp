// Polls the order rows of the table service for servers that control processes
// have drained.
#pragma once

#include <QObject>

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform_client.hpp"
#include "verbenahold/events.hpp"

namespace verbenahold {

class drained_server_watch : public QObject {
public:
    // 620 daemons make 310 scans a second at this period, a sixth of the table's
    // reads. A control process waits for two periods before it regards a server
    // as drained.
    static constexpr std::chrono::milliseconds poll_period{2'000};

    using host_sink = std::function<void(std::vector<host_entry>)>;

    // `sink` receives the host list with drained servers marked as leaving, so
    // that they get no new work. It is called for each new list and each change
    // of the set of drained servers. `platform` must outlive this object.
    drained_server_watch(platform_client& platform, host_sink sink, QObject* parent = nullptr);

    // Reads the rows, unless a read is in progress. On failure, the previous set
    // remains in use, so that a drained server gets no work by mistake.
    void poll();
    void set_hosts(std::vector<host_entry> hosts);

private:
    void read_page(const std::string& after);
    void publish() const;

    platform_client& m_platform;
    host_sink m_sink;
    std::optional<std::vector<host_entry>> m_hosts;
    bool m_pending = false;
    std::set<std::string> m_drained_servers;
    std::set<std::string> m_partial_read;
};

}  // namespace verbenahold
