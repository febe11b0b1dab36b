// A deployment on loopback for test drivers: the platform, backend servers,
// proxies and the product's own programs as processes, with kernel-chosen
// ports, registered in the platform's host list. All processes end when the
// fleet is destroyed, and also when the driver itself is killed.
#pragma once

#include "child_process.hpp"
#include "http_exchange.hpp"

#include <QJsonObject>
#include <QStringList>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace verbenahold::standins {

// A program did not start or a fleet call was refused; the text says which.
class fleet_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class member_kind : std::uint8_t { engine, service, entry, control };

struct member_plan {
    std::string host;
    std::string zone;
    // Service that a backend server belongs to.
    std::string service;
    // Further flags of the program.
    QStringList arguments;
    // Registers the address of a fault proxy in place of the member's own:
    // the server address of a backend, the peer address of an entry.
    bool behind_proxy = false;
};

class fleet {
public:
    // Programs are taken from `program_folder`. Their standard error goes to
    // files in `log_folder`, or nowhere if it is empty.
    explicit fleet(std::string program_folder, std::string log_folder = {});
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    // The platform has to be started first. All start functions throw
    // fleet_error.
    void start_platform(const QStringList& arguments = {});
    void start(member_kind kind, const member_plan& plan);
    // The same without an entry in the platform's host list.
    void start_unregistered(member_kind kind, const member_plan& plan);
    // Starts the program again under the same addresses after it has ended.
    void restart(const std::string& host);

    void kill(const std::string& host);
    // Suspends the process (SIGSTOP) and resumes it (SIGCONT).
    void pause(const std::string& host);
    void resume(const std::string& host);
    // Asks the process to end itself (SIGTERM).
    void terminate(const std::string& host);
    [[nodiscard]] bool is_running(const std::string& host) const;
    bool wait_for_exit(const std::string& host, std::chrono::milliseconds limit);
    [[nodiscard]] std::chrono::milliseconds processor_time(const std::string& host) const;

    // Address where callers, operators or the admin interface are served.
    [[nodiscard]] const std::string& address(const std::string& host) const;
    [[nodiscard]] const std::string& platform_address() const { return m_platform_address; }

    // Marks the host as leaving or removes it from the host list.
    void mark_leaving(const std::string& host);
    void unregister(const std::string& host);

    // Counters and faults of a stand-in.
    [[nodiscard]] QJsonObject stats(const std::string& host) const;
    void set_faults(const std::string& host, const QJsonObject& faults);
    void set_platform_faults(const QJsonObject& faults);
    // Faults of the proxy in front of a host.
    void set_proxy_faults(const std::string& host, const QJsonObject& faults);

    // Writes a record through a control process and waits until it is
    // accepted.
    void put_record(const std::string& kind, const std::string& name, const QJsonObject& spec);
    // Writes records straight into the platform's table, for fleets without a
    // control process. They become the first configuration versions.
    struct initial_record {
        std::string kind;
        std::string name;
        QJsonObject spec;
    };
    void write_initial_records(const std::vector<initial_record>& records);

private:
    struct member {
        member_kind kind = member_kind::engine;
        member_plan plan;
        std::unique_ptr<child_process> process;
        // Addresses of the program's own listeners, by command-line flag.
        std::map<std::string, std::string> listeners;
        std::string address;
    };

    [[nodiscard]] const member& find(const std::string& host) const;
    member& find(const std::string& host);
    [[nodiscard]] std::string log_file(const std::string& host) const;
    std::unique_ptr<child_process> spawn(const std::string& program, const QStringList& arguments,
                                         const std::string& host, QJsonObject& ready_line) const;
    void start_process(member& to);
    void register_host(const member& which, const std::string& state) const;
    // Address of a new proxy in front of `target`.
    std::string add_proxy(const std::string& host, const std::string& target);
    [[nodiscard]] QStringList arguments_for(const member& of) const;
    [[nodiscard]] std::string control_address() const;

    std::string m_program_folder;
    std::string m_log_folder;
    std::unique_ptr<child_process> m_platform;
    std::string m_platform_address;
    std::unique_ptr<child_process> m_proxy;
    std::string m_proxy_address;
    std::map<std::string, std::string> m_proxied;
    std::map<std::string, member> m_members;
    std::uint64_t m_last_operation = 0;
};

// Operator key of the control processes in every fleet.
inline constexpr const char* fleet_operator_key = "fleet-operator-key";

}  // namespace verbenahold::standins
