// TCP proxies from listening ports to targets, with network faults that an
// HTTP admin interface switches:
//
//     POST /v1/pairs          {"name","target"}   adds a proxy; answers {"name","listening","target"}
//     GET /v1/pairs           all proxies with their counts of connections
//     PUT /v1/pairs/{name}    {"delay_ms":n,"drop_new":bool,"cut":true,"silence":true,"target":"..."}
//
// `delay_ms` is one way; `cut` resets the open connections; `silence` stops
// forwarding on the open connections for good; new connections work.
#pragma once

#include "proxy_link.hpp"
#include "standin_server.hpp"

#include <QJsonObject>
#include <QTcpServer>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenahold::standins {

class proxy_pair : public QObject {
public:
    proxy_pair(std::string target, timer_service& timers);

    // Listens on a port of 127.0.0.1 that the kernel chooses.
    bool listen();
    void apply(const QJsonObject& faults);
    [[nodiscard]] QJsonObject status() const;

private:
    void accept();
    void cut();
    void remove(proxy_link* link);

    std::string m_target;
    timer_service& m_timers;
    QTcpServer m_server;
    duration m_delay{};
    bool m_drops_new = false;
    std::vector<proxy_link*> m_links;
    std::int64_t m_accepted = 0;
    std::int64_t m_dropped = 0;
};

class fault_proxy {
public:
    explicit fault_proxy(timer_service& timers) : m_timers(timers) {}

    // Status of the new proxy, or nothing if the name is taken or no port is
    // available.
    std::optional<QJsonObject> add(const std::string& name, const std::string& target);
    void handle(const http_call& call, const shared_reply& reply);

private:
    timer_service& m_timers;
    std::map<std::string, std::unique_ptr<proxy_pair>> m_pairs;
};

}  // namespace verbenahold::standins
