// Serving daemons as processes of their own, each on a loopback address of its own.
#pragma once

#include "journal.hpp"

#include <optional>
#include <string>

#include <sys/types.h>

namespace verbenahold::soak {

class daemon_process {
public:
    // `ip` is a loopback address that no other daemon of the run has.
    daemon_process(journal& notes, std::string program, std::string name, std::string zone, std::string ip,
                   std::string store, std::string folder);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    void start();
    void signal(int number) const;
    // Writes the settings file, with a field that is changed by `revision`.
    void write_settings(int revision) const;
    [[nodiscard]] bool is_running() const { return m_process > 0; }
    // From now on the end of the process is expected.
    void expect_end() { m_end_expected = true; }
    // Notices that the process ended; an unexpected end goes into the journal.
    void check();
    // Resident memory in bytes, and open descriptors.
    [[nodiscard]] std::size_t memory() const;
    [[nodiscard]] std::size_t descriptors() const;
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& zone() const { return m_zone; }
    [[nodiscard]] std::string front() const { return m_ip + ":7001"; }
    [[nodiscard]] std::string ready() const { return m_ip + ":7002"; }
    [[nodiscard]] std::string directory() const { return m_ip + ":7003"; }
    [[nodiscard]] const std::string& log_path() const { return m_log; }

private:
    journal& m_journal;
    std::string m_program;
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_store;
    std::string m_settings;
    std::string m_log;
    pid_t m_process = -1;
    bool m_end_expected = false;
};

}  // namespace verbenahold::soak
