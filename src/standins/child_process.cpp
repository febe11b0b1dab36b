#include "child_process.hpp"

#include <QFile>
#include <QJsonDocument>

#include "http_exchange.hpp"

#include <sys/prctl.h>
#include <unistd.h>
#include <csignal>

namespace verbenahold::standins {

namespace {

constexpr int kill_wait_ms = 5000;

}  // namespace

child_process::child_process(const std::string& program, const QStringList& arguments, const std::string& log_file) {
    m_process.setProgram(QString::fromStdString(program));
    m_process.setArguments(arguments);
    m_process.setStandardErrorFile(log_file.empty() ? QProcess::nullDevice() : QString::fromStdString(log_file),
                                   QIODevice::Append);
    // The kernel kills the child when this process dies, also by SIGKILL.
    m_process.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    m_process.start();
}

child_process::~child_process() {
    kill();
}

std::optional<QJsonObject> child_process::read_ready_line(std::chrono::milliseconds limit) {
    wait_until([this] { return m_process.canReadLine() || !is_running(); }, limit);
    if (!m_process.canReadLine()) {
        return std::nullopt;
    }
    const QJsonDocument line = QJsonDocument::fromJson(m_process.readLine());
    if (!line.isObject()) {
        return std::nullopt;
    }
    return line.object();
}

std::chrono::milliseconds child_process::processor_time() const {
    QFile file("/proc/" + QString::number(m_process.processId()) + "/stat");
    if (!file.open(QIODevice::ReadOnly)) {
        return {};
    }
    // The fields after the program's name in parentheses; user and system
    // time are fields 14 and 15 of the line.
    const QByteArray line = file.readAll();
    const QList<QByteArray> fields = line.mid(line.lastIndexOf(')') + 2).split(' ');
    const qint64 ticks = fields.value(11).toLongLong() + fields.value(12).toLongLong();
    return std::chrono::milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
}

void child_process::send_signal(int signal_number) const {
    if (m_process.processId() > 0) {
        ::kill(static_cast<pid_t>(m_process.processId()), signal_number);
    }
}

void child_process::kill() {
    if (!is_running()) {
        return;
    }
    m_process.kill();
    m_process.waitForFinished(kill_wait_ms);
}

bool child_process::wait_for_exit(std::chrono::milliseconds limit) {
    return wait_until([this] { return !is_running(); }, limit);
}

}  // namespace verbenahold::standins
