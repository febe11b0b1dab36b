// The servers that control processes have drained for an order, read from the
// order rows of the table service.
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

class order_watch : public QObject {
public:
    // With 620 daemons, 310 scans a second, a sixth of the table's reads.
    // A control process waits twice as long before a server counts as drained.
    static constexpr std::chrono::milliseconds poll_period{2'000};

    using host_sink = std::function<void(std::vector<host_entry>)>;

    // `sink` gets the host list in which drained servers are leaving, so that
    // they receive no new work: whenever there is a new list, and whenever
    // the set of drained servers has changed. `platform` must outlive this
    // object.
    order_watch(platform_client& platform, host_sink sink, QObject* parent = nullptr);

    // Reads the rows, unless a read is under way. Without an answer, the last
    // set stands: a server is not given work on a guess.
    void poll();
    void set_hosts(std::vector<host_entry> hosts);

private:
    void read_page(const std::string& after);
    void publish() const;

    platform_client& m_platform;
    host_sink m_sink;
    std::optional<std::vector<host_entry>> m_hosts;
    bool m_pending = false;
    std::set<std::string> m_servers;
    std::set<std::string> m_reading;
};

}  // namespace verbenahold
