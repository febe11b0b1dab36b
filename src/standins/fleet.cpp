#include "fleet.hpp"

#include <QCryptographicHash>
#include <QDateTime>
#include <QJsonArray>

#include <csignal>
#include <utility>

namespace verbenahold::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds start_limit(10'000);
constexpr milliseconds call_limit(5'000);
constexpr int http_ok = 200;

std::string program_of(member_kind kind) {
    switch (kind) {
        case member_kind::engine:
            return "fake-engine";
        case member_kind::service:
            return "fake-service";
        case member_kind::entry:
            return "verbenahold-entry";
        case member_kind::control:
            return "verbenahold-control";
    }
    return {};
}

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

// The flags that say where a program listens, and the name of each address in
// its JSON line.
std::vector<std::pair<std::string, std::string>> listeners_of(member_kind kind) {
    switch (kind) {
        case member_kind::entry:
            return {{"caller-address", "caller"}, {"peer-address", "peer"}};
        case member_kind::control:
            return {{"operator-address", "operator"}};
        case member_kind::engine:
        case member_kind::service:
            break;
    }
    return {{"listen", "listening"}};
}

std::string sha256_of(const std::string& value) {
    return QCryptographicHash::hash(QByteArray::fromStdString(value), QCryptographicHash::Sha256).toHex().toStdString();
}

// Change rows hold their version in 20 digits, so that their keys sort by it.
QString change_key(qint64 version) {
    return "config/change/" + QString::number(version).rightJustified(20, '0');
}

bool is_backend(member_kind kind) {
    return kind == member_kind::engine || kind == member_kind::service;
}

}  // namespace

fleet::fleet(std::string program_folder, std::string log_folder)
    : m_program_folder(std::move(program_folder)), m_log_folder(std::move(log_folder)) {}

fleet::~fleet() = default;

// ---- start and end

std::string fleet::log_file(const std::string& host) const {
    return m_log_folder.empty() ? std::string() : m_log_folder + "/" + host + ".log";
}

std::unique_ptr<child_process> fleet::spawn(const std::string& program, const QStringList& arguments,
                                            const std::string& host, QJsonObject& ready_line) const {
    auto process = std::make_unique<child_process>(m_program_folder + "/" + program, arguments, log_file(host));
    const auto line = process->read_ready_line(start_limit);
    if (!line) {
        throw fleet_error(program + " of " + host + " did not start");
    }
    ready_line = *line;
    return process;
}

void fleet::start_platform(const QStringList& arguments) {
    QJsonObject line;
    m_platform = spawn("fake-platform", arguments, "platform", line);
    m_platform_address = line["listening"].toString().toStdString();
}

std::string fleet::add_proxy(const std::string& host, const std::string& target) {
    if (!m_proxy) {
        QJsonObject line;
        m_proxy = spawn("fault-proxy", {}, "proxy", line);
        m_proxy_address = line["listening"].toString().toStdString();
    }
    const test_answer added =
        call_json("POST", m_proxy_address, "/v1/pairs", {{"name", text(host)}, {"target", text(target)}});
    if (added.status != http_ok) {
        throw fleet_error("no proxy for " + host);
    }
    return added.json["listening"].toString().toStdString();
}

QStringList fleet::arguments_for(const member& of) const {
    QStringList arguments;
    if (!is_backend(of.kind)) {
        arguments << "--host" << text(of.plan.host) << "--zone" << text(of.plan.zone) << "--platform-url"
                  << "http://" + text(m_platform_address);
    }
    if (of.kind == member_kind::control) {
        arguments << "--operator-key-sha256" << text(sha256_of(fleet_operator_key));
    }
    if (const auto proxied = m_proxied.find(of.plan.host);
        of.kind == member_kind::entry && proxied != m_proxied.end()) {
        arguments << "--advertised-peer-address" << text(proxied->second);
    }
    for (const auto& [flag, name] : listeners_of(of.kind)) {
        const auto known = of.listeners.find(flag);
        arguments << "--" + text(flag) << (known == of.listeners.end() ? "127.0.0.1:0" : text(known->second));
    }
    return arguments + of.plan.arguments;
}

void fleet::start_process(member& to) {
    QJsonObject line;
    to.process = spawn(program_of(to.kind), arguments_for(to), to.plan.host, line);
    for (const auto& [flag, name] : listeners_of(to.kind)) {
        to.listeners[flag] = line[text(name)].toString().toStdString();
    }
    to.address = to.listeners[listeners_of(to.kind).front().first];
}

void fleet::start_unregistered(member_kind kind, const member_plan& plan) {
    member& added = m_members[plan.host];
    added.kind = kind;
    added.plan = plan;
    if (plan.behind_proxy) {
        // An entry is told its proxy's address when it starts; the proxy
        // learns its target afterwards.
        m_proxied[plan.host] = add_proxy(plan.host, "127.0.0.1:0");
    }
    start_process(added);
    if (plan.behind_proxy) {
        const std::string& target = is_backend(kind) ? added.address : added.listeners["peer-address"];
        set_proxy_faults(plan.host, {{"target", text(target)}});
    }
}

void fleet::start(member_kind kind, const member_plan& plan) {
    start_unregistered(kind, plan);
    if (kind != member_kind::control) {
        register_host(find(plan.host), "live");
    }
}

void fleet::restart(const std::string& host) {
    member& which = find(host);
    which.process.reset();
    start_process(which);
}

void fleet::kill(const std::string& host) {
    find(host).process->kill();
}

void fleet::pause(const std::string& host) {
    find(host).process->send_signal(SIGSTOP);
}

void fleet::resume(const std::string& host) {
    find(host).process->send_signal(SIGCONT);
}

void fleet::terminate(const std::string& host) {
    find(host).process->send_signal(SIGTERM);
}

bool fleet::is_running(const std::string& host) const {
    return find(host).process->is_running();
}

bool fleet::wait_for_exit(const std::string& host, milliseconds limit) {
    return find(host).process->wait_for_exit(limit);
}

milliseconds fleet::processor_time(const std::string& host) const {
    return find(host).process->processor_time();
}

const fleet::member& fleet::find(const std::string& host) const {
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        throw fleet_error("no member named " + host);
    }
    return found->second;
}

fleet::member& fleet::find(const std::string& host) {
    return const_cast<member&>(std::as_const(*this).find(host));
}

const std::string& fleet::address(const std::string& host) const {
    return find(host).address;
}

// ---- host list

void fleet::register_host(const member& which, const std::string& state) const {
    QJsonObject host{{"zone", text(which.plan.zone)}, {"state", text(state)}};
    const auto proxied = m_proxied.find(which.plan.host);
    const auto shown = [&](const std::string& own) { return text(proxied == m_proxied.end() ? own : proxied->second); };
    if (is_backend(which.kind)) {
        host["role"] = "backend";
        host["service"] = text(which.plan.service);
        host["server_endpoint"] = shown(which.address);
    } else {
        host["role"] = "entry";
        host["caller_endpoint"] = text(which.address);
        host["peer_endpoint"] = shown(which.listeners.at("peer-address"));
    }
    const test_answer answer = call_json("PUT", m_platform_address, "/v1/hosts/" + which.plan.host, host);
    if (answer.status != http_ok) {
        throw fleet_error("the platform did not register " + which.plan.host);
    }
}

void fleet::mark_leaving(const std::string& host) {
    register_host(find(host), "leaving");
}

void fleet::unregister(const std::string& host) {
    call_json("DELETE", m_platform_address, "/v1/hosts/" + host);
}

// ---- faults and counters

QJsonObject fleet::stats(const std::string& host) const {
    return call_json("GET", address(host), "/v1/admin/stats").json;
}

void fleet::set_faults(const std::string& host, const QJsonObject& faults) {
    if (call_json("POST", address(host), "/v1/admin/faults", faults).status != http_ok) {
        throw fleet_error(host + " did not take its faults");
    }
}

void fleet::set_platform_faults(const QJsonObject& faults) {
    if (call_json("POST", m_platform_address, "/v1/admin/faults", faults).status != http_ok) {
        throw fleet_error("the platform did not take its faults");
    }
}

void fleet::set_proxy_faults(const std::string& host, const QJsonObject& faults) {
    if (call_json("PUT", m_proxy_address, "/v1/pairs/" + host, faults).status != http_ok) {
        throw fleet_error("the proxy of " + host + " did not take its faults");
    }
}

// ---- records

std::string fleet::control_address() const {
    for (const auto& [host, item] : m_members) {
        if (item.kind == member_kind::control && item.process->is_running()) {
            return item.address;
        }
    }
    throw fleet_error("no control process runs");
}

void fleet::put_record(const std::string& kind, const std::string& name, const QJsonObject& spec) {
    const std::string address = control_address();
    const std::string path = "/v1/records/" + kind + "/" + name;
    const QList<QPair<QByteArray, QByteArray>> headers{{"Authorization", QByteArray("Bearer ") + fleet_operator_key}};
    const QJsonValue stored = call_json("GET", address, path, {}, headers).json.value("record");
    const QJsonObject body{{"schema_version", 2},
                           {"record_version", stored["record_version"].toInteger()},
                           {"spec", spec},
                           {"operation", "fleet-" + QString::number(++m_last_operation)}};
    const test_answer answer = call_json("PUT", address, path, body, headers, call_limit);
    if (answer.status != http_ok) {
        throw fleet_error("record " + kind + "/" + name + " was not accepted: status " + std::to_string(answer.status) +
                          " " + answer.body.toStdString());
    }
}

void fleet::write_initial_records(const std::vector<initial_record>& records) {
    QJsonArray puts;
    qint64 version = 0;
    for (const initial_record& item : records) {
        ++version;
        const QString name = text(item.kind) + "/" + text(item.name);
        const QJsonObject record{{"kind", text(item.kind)},
                                 {"name", text(item.name)},
                                 {"schema_version", 2},
                                 {"record_version", version},
                                 {"spec", item.spec}};
        const QJsonObject change{
            {"version", version}, {"written_at_s", QDateTime::currentSecsSinceEpoch()}, {"record", record}};
        puts.append(QJsonObject{{"key", "config/record/" + name}, {"value", record}});
        puts.append(QJsonObject{{"key", change_key(version)}, {"value", change}});
    }
    puts.append(QJsonObject{{"key", "config/head"}, {"value", QJsonObject{{"version", version}}}});
    const QJsonArray checks{QJsonObject{{"key", "config/head"}, {"revision", 0}}};
    const test_answer answer =
        call_json("POST", m_platform_address, "/v1/table/transact", {{"checks", checks}, {"puts", puts}});
    if (answer.status != http_ok) {
        throw fleet_error("the initial records were not written");
    }
}

}  // namespace verbenahold::standins
