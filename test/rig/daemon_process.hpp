// Runs the serving daemon as a process of its own, so that a test can read its memory.
#pragma once

#include "serving_settings.hpp"

#include <cstdint>
#include <filesystem>
#include <string>

#include <sys/types.h>

namespace verbenahold::serving {

// The settings file that the platform would write.
std::string settings_text(const serving_settings& settings);

class daemon_process {
public:
    // Throws std::runtime_error if the program can't be started.
    daemon_process(const std::string& program, const serving_settings& settings);
    // Kills the process.
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    daemon_process(daemon_process&&) = delete;
    daemon_process& operator=(daemon_process&&) = delete;

    [[nodiscard]] bool is_running();
    // Resident memory now, and at most so far; 0 if the process has ended.
    [[nodiscard]] std::uint64_t resident_bytes() const { return status_bytes("VmRSS:"); }
    [[nodiscard]] std::uint64_t peak_bytes() const { return status_bytes("VmHWM:"); }
    // Everything that was logged.
    [[nodiscard]] std::string log() const;

private:
    [[nodiscard]] std::uint64_t status_bytes(const std::string& name) const;

    std::filesystem::path m_folder;
    pid_t m_process = -1;
};

}  // namespace verbenahold::serving
