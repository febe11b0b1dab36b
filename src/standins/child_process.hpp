// A child process of a test driver. The kernel kills it when the driver dies.
#pragma once

#include <QJsonObject>
#include <QProcess>
#include <QStringList>

#include <chrono>
#include <optional>
#include <string>

namespace verbenahold::standins {

class child_process {
public:
    // Standard error goes to `log_file`, or nowhere if that is empty.
    child_process(const std::string& program, const QStringList& arguments, const std::string& log_file);
    // Kills the process if it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    // Waits for the JSON line that the program prints when it listens;
    // nothing if the program ends first or the limit passes.
    std::optional<QJsonObject> read_ready_line(std::chrono::milliseconds limit);

    [[nodiscard]] bool is_running() const { return m_process.state() != QProcess::NotRunning; }
    // Meaningful once it no longer runs.
    [[nodiscard]] int exit_code() const { return m_process.exitCode(); }
    [[nodiscard]] bool exited_normally() const { return m_process.exitStatus() == QProcess::NormalExit; }
    // Processor time used so far, user and system.
    [[nodiscard]] std::chrono::milliseconds processor_time() const;
    // Sends a signal, for example SIGSTOP; does nothing if it no longer runs.
    void send_signal(int signal_number) const;
    // Kills and waits for the end.
    void kill();
    bool wait_for_exit(std::chrono::milliseconds limit);

private:
    QProcess m_process;
};

}  // namespace verbenahold::standins
