#include "daemon_process.hpp"

#include "coroutines.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace verbenahold::soak {

daemon_process::daemon_process(journal& notes, std::string program, std::string name, std::string zone, std::string ip,
                               std::string store, std::string folder)
    : m_journal(notes),
      m_program(std::move(program)),
      m_name(std::move(name)),
      m_zone(std::move(zone)),
      m_ip(std::move(ip)),
      m_store(std::move(store)),
      m_settings(folder + '/' + m_name + ".json"),
      m_log(folder + '/' + m_name + ".log") {
    write_settings(0);
}

daemon_process::~daemon_process() {
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void daemon_process::write_settings(int revision) const {
    const std::string fresh = m_settings + ".new";
    std::ofstream file(fresh);
    file << R"({"node":")" << m_name << R"(","role":"entry","machine-class":"front","serves":["front","directory"],)"
         << R"("ip":")" << m_ip << R"(","zone":")" << m_zone << R"(","region":"region-a","zones":{"zone-a":"region-a",)"
         << R"("zone-b":"region-a","zone-c":"region-a"},"listen":{"front":")" << front() << R"(","ready":")" << ready()
         << R"(","directory":")" << directory() << R"("},"internal-ports":[7340,7355],"seeds":[],"bootstrap":true,)"
         << R"("include-in-tolerance":false,"limits":{"cpu-share":0.25,"cpu-cores":1,"memory-mb":260,"max-fds":4100,)"
         << R"("bandwidth-mbps":1000.0,"disk-mb":0},"data-dir":null,"discovery":"platform","entry":"directory",)"
         << R"("heartbeat-ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream",)"
         << R"("tenants","places","platform","spans"],"fault-tolerance":{"machines":2,"zones":1,"regions":0},"bounds":)"
         << R"({"seed-staleness-s":3,"addr-reuse-s":2,"contact-ms":3000,"ack-ms":4000,"sync-s":4,"drain-ms":2000,)"
         << R"("grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,"back-ms":250,"max-skew-ms":5000,)"
         << R"("strict-revoke":false,"revoke-ms":5000,"budget-ratio":0.2,"budget-window-s":10,"budget-slack":)"
         << 106 + revision % 7 << R"(,"cold-overage":1.5,"cold-slack":5,"evacuation-ms":5000,"recovery-s":12,)"
         << R"("pass-ms":120,"retry-after-s":0,"stall_ms":1500,"hold-max-ms":20000,"free-ms":4000,"idle-max-ms":9000,)"
         << R"("ttl_max_s":5},"provider":{"address":")" << m_store << R"(","form":"table","writes-per-s":400,)"
         << R"("reads-per-s":2000,"tx-ms":3.0,"part-writes-per-s":300,"row-bytes":65536,"across":true,"history-s":20,)"
         << R"("blob-bytes":8388608,"blob-ms":25.0,"blob-mb-per-s":80.0}})" << '\n';
    file.close();
    std::filesystem::rename(fresh, m_settings);
}

void daemon_process::start() {
    const pid_t parent = getpid();
    m_end_expected = false;
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            std::_Exit(2);
        }
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        constexpr unsigned first_inherited = 3;
        close_range(first_inherited, ~0U, 0);
        setenv("VERBENAHOLD_CONFIG", m_settings.c_str(), 1);
        execl(m_program.c_str(), m_program.c_str(), "--metrics-port", "9464", nullptr);
        std::_Exit(127);
    }
}

void daemon_process::signal(int number) const {
    if (m_process > 0) {
        kill(m_process, number);
    }
}

void daemon_process::check() {
    int status = 0;
    if (m_process <= 0 || waitpid(m_process, &status, WNOHANG) != m_process) {
        return;
    }
    m_process = -1;
    const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                : "exit code " + std::to_string(WEXITSTATUS(status));
    m_journal.note(m_name + " ended: " + how + (m_end_expected ? "" : ", by itself"));
    if (!m_end_expected) {
        m_journal.ends.push_back({m_name, now_ms(), how});
    }
}

std::size_t daemon_process::memory() const {
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t pages = 0;
    file >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t daemon_process::descriptors() const {
    std::error_code failure;
    const auto begin = std::filesystem::directory_iterator("/proc/" + std::to_string(m_process) + "/fd", failure);
    return failure ? 0 : static_cast<std::size_t>(std::distance(begin, std::filesystem::directory_iterator{}));
}

}  // namespace verbenahold::soak
