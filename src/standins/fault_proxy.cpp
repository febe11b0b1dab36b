#include "fault_proxy.hpp"

#include <QHostAddress>
#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace verbenahold::standins {

proxy_pair::proxy_pair(std::string target, timer_service& timers) : m_target(std::move(target)), m_timers(timers) {
    connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool proxy_pair::listen() {
    return m_server.listen(QHostAddress::LocalHost, 0);
}

void proxy_pair::accept() {
    while (QTcpSocket* socket = m_server.nextPendingConnection()) {
        if (m_drops_new) {
            ++m_dropped;
            socket->abort();
            socket->deleteLater();
            continue;
        }
        ++m_accepted;
        const QString target = QString::fromStdString(m_target);
        auto* link = new proxy_link(socket, target.section(':', 0, 0), target.section(':', 1, 1).toUShort(), m_delay,
                                    m_timers, [this](proxy_link* ended) { remove(ended); });
        link->setParent(this);
        m_links.push_back(link);
    }
}

void proxy_pair::remove(proxy_link* link) {
    std::erase(m_links, link);
    link->deleteLater();
}

void proxy_pair::cut() {
    const std::vector<proxy_link*> open = m_links;
    for (proxy_link* link : open) {
        link->cut();
    }
}

void proxy_pair::apply(const QJsonObject& faults) {
    if (faults.contains("delay_ms")) {
        // Delays between zones are fractions of a millisecond, which
        // toInteger() would read as 0.
        m_delay =
            std::chrono::round<duration>(std::chrono::duration<double, std::milli>(faults["delay_ms"].toDouble()));
    }
    if (faults.contains("drop_new")) {
        m_drops_new = faults["drop_new"].toBool();
    }
    if (faults.contains("target")) {
        m_target = faults["target"].toString().toStdString();
    }
    if (faults["cut"].toBool()) {
        cut();
    }
    if (faults["silence"].toBool()) {
        for (proxy_link* link : m_links) {
            link->silence();
        }
    }
}

QJsonObject proxy_pair::status() const {
    const auto silent =
        std::count_if(m_links.begin(), m_links.end(), [](const proxy_link* link) { return link->is_silent(); });
    return {{"listening", "127.0.0.1:" + QString::number(m_server.serverPort())},
            {"target", QString::fromStdString(m_target)},
            {"delay_ms", std::chrono::duration<double, std::milli>(m_delay).count()},
            {"open", static_cast<qint64>(m_links.size())},
            {"silent", static_cast<qint64>(silent)},
            {"accepted", static_cast<qint64>(m_accepted)},
            {"dropped", static_cast<qint64>(m_dropped)}};
}

std::optional<QJsonObject> fault_proxy::add(const std::string& name, const std::string& target) {
    if (name.empty() || m_pairs.contains(name)) {
        return std::nullopt;
    }
    auto pair = std::make_unique<proxy_pair>(target, m_timers);
    if (!pair->listen()) {
        return std::nullopt;
    }
    QJsonObject status = pair->status();
    status["name"] = QString::fromStdString(name);
    m_pairs.emplace(name, std::move(pair));
    return status;
}

void fault_proxy::handle(const http_call& call, const shared_reply& reply) {
    const QJsonObject body = call.json().value_or(QJsonObject());
    if (call.is("POST", "pairs")) {
        const auto added = add(body["name"].toString().toStdString(), body["target"].toString().toStdString());
        if (added) {
            send_json(reply, 200, *added);
        } else {
            send_error(reply, 409, "not_added");
        }
    } else if (call.is("GET", "pairs")) {
        QJsonObject pairs;
        for (const auto& [name, pair] : m_pairs) {
            pairs[QString::fromStdString(name)] = pair->status();
        }
        send_json(reply, 200, pairs);
    } else if (call.is("PUT", "pairs/*")) {
        const auto found = m_pairs.find(call.segments[2].toStdString());
        if (found == m_pairs.end()) {
            send_error(reply, 404, "unknown_pair");
            return;
        }
        found->second->apply(body);
        send_json(reply, 200, found->second->status());
    } else {
        send_error(reply, 404, "unknown_path");
    }
}

}  // namespace verbenahold::standins
